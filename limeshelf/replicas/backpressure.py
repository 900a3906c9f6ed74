"""Limits, pause and leaving state that one start of a replica has requested.

Depends only on the boot clock; :mod:`limeshelf.replicas.notices` records the notices. The result
does not depend on the order in which notices arrive: responses on two connections may overtake
each other, and notices relayed by peers arrive late.
"""

from __future__ import annotations

import math

import attrs

from limeshelf.util.clock import boottime_s

#: Longer pauses are cut to this. A pause given in a wrong unit by mistake must not
#: exclude the replica from calls permanently.
MAX_PAUSE_S = 300.0
#: Longest pause after a rejection by a replica that falls over from rejections.
MAX_REJECTION_PAUSE_S = 3.0
#: A lower limit counts as this, as it takes calls to hear of a higher one.
MIN_REJECTIONS_PER_S = 0.5


@attrs.define
class StatedLimit:
    """A limit that a replica states in each response while it applies.

    It remains active until a response without it arrives to a call that was sent after the limit
    was last received; only then was the response certainly sent later. It does not expire while
    there are no responses, since calls sent to test it would exceed it.

    :ivar received_s: when the latest response with it arrived, on the boot clock.
    :ivar absent_sent_s: when the latest call was sent whose response did not have it, on the boot
        clock.
    """

    received_s: float = -math.inf
    absent_sent_s: float = -math.inf
    _latest: float | None = None

    @property
    def value(self) -> float | None:
        """Return the limit; ``None`` if there is none."""
        return self._latest if self.received_s >= self.absent_sent_s else None

    @property
    def known_s(self) -> float:
        """Return the time on the boot clock from which the present value is known."""
        return self.absent_sent_s if self.value is None else self.received_s

    def record(self, value: float, received_s: float) -> None:
        """Record the limit from a response.

        :param received_s: when the response began to arrive, on the boot clock.
        """
        if received_s >= self.received_s:
            self._latest, self.received_s = value, received_s

    def record_absent(self, sent_s: float) -> None:
        """Record a response without the limit.

        :param sent_s: when the call was sent, on the boot clock.
        """
        self.absent_sent_s = max(self.absent_sent_s, sent_s)


@attrs.define
class Backpressure:
    """Requests of one start of a replica to the gateways.

    :ivar leaving: the replica has announced that it is leaving; it never withdraws that.
    :ivar paused_until_s: no calls from this gateway until then, on the boot clock. A replica
        pauses each gateway separately. A later, shorter pause does not shorten an earlier one.
    :ivar rate: calls per second that it accepts from all gateways.
    :ivar rejections: rejections per second, to all gateways, beyond which it falls over.
    """

    leaving: bool = False
    paused_until_s: float = -math.inf
    rate: StatedLimit = attrs.field(factory=StatedLimit)
    rejections: StatedLimit = attrs.field(factory=StatedLimit)

    @property
    def rate_per_s(self) -> float | None:
        """Return the limit for the calls of all gateways per second; ``None`` if unlimited."""
        return self.rate.value

    @property
    def rejections_per_s(self) -> float | None:
        """Return how many rejections per second it bears; ``None`` if it states no limit."""
        return self.rejections.value

    @property
    def is_paused(self) -> bool:
        """Return whether this gateway may not send calls now."""
        return self.remaining_pause_s > 0

    @property
    def remaining_pause_s(self) -> float:
        """Return the remaining time of the pause, in seconds; 0 if there is none."""
        return max(0.0, self.paused_until_s - boottime_s())

    def record_pause(self, pause_s: float) -> None:
        """Record a pause requested of this gateway, in seconds."""
        until_s = boottime_s() + min(MAX_PAUSE_S, pause_s)
        self.paused_until_s = max(self.paused_until_s, until_s)

    def record_rejection(self, gateways: int) -> None:
        """Pause calls from this gateway to a replica that falls over from rejections.

        If each gateway causes one rejection per pause, all together stay within the limit.

        :param gateways: number of gateways that may send to the replica.
        """
        limit_per_s = self.rejections_per_s
        if limit_per_s is not None:
            pause_s = gateways / max(limit_per_s, MIN_REJECTIONS_PER_S)
            self.record_pause(min(MAX_REJECTION_PAUSE_S, pause_s))
