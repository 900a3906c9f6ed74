"""Rate limit, pause and leaving state that one start of a replica has requested.

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


@attrs.define
class Backpressure:
    """Requests of one start of a replica to the gateways.

    A rate limit remains active until a response without one arrives to a call that was sent after
    the limit was last received; only then was the response certainly sent later. The limit does
    not expire while there are no responses, since calls sent at full rate to test it would exceed
    it.

    :ivar leaving: the replica has announced that it is leaving; it never withdraws that.
    :ivar paused_until_s: no calls from this gateway until then, on the boot clock. A replica
        pauses each gateway separately. A later, shorter pause does not shorten an earlier one.
    :ivar rate_received_s: when the latest response with a rate limit arrived, on the boot clock.
    :ivar no_rate_sent_s: when the latest call was sent whose response had no rate limit, on the
        boot clock.
    """

    leaving: bool = False
    paused_until_s: float = -math.inf
    rate_received_s: float = -math.inf
    no_rate_sent_s: float = -math.inf
    _latest_rate_per_s: float | None = None

    @property
    def rate_per_s(self) -> float | None:
        """Return the limit for the calls of all gateways per second; ``None`` if unlimited."""
        return self._latest_rate_per_s if self.rate_received_s >= self.no_rate_sent_s else None

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

    def record_rate(self, rate_per_s: float, received_s: float) -> None:
        """Record a rate limit from a response.

        :param received_s: when the response began to arrive, on the boot clock.
        """
        if received_s >= self.rate_received_s:
            self._latest_rate_per_s, self.rate_received_s = rate_per_s, received_s

    def record_no_rate(self, sent_s: float) -> None:
        """Record a response without a rate limit.

        :param sent_s: when the call was sent, on the boot clock.
        """
        self.no_rate_sent_s = max(self.no_rate_sent_s, sent_s)
