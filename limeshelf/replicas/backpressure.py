"""What one start of a replica has asked the gateways for, merged from all that was heard of it.

Relies on the boot clock alone; :mod:`limeshelf.replicas.notices` takes what comes. The result
is the same in whatever order statements arrive: answers on two connections may pass each other,
and what peers pass on comes late.
"""

from __future__ import annotations

import math

import attrs

from limeshelf.util.clock import boottime_s

#: No pause is longer, in seconds: one that is stated in another unit by mistake must not take the
#: replica out of use for good.
MAX_PAUSE_S = 300.0


@attrs.define
class Backpressure:
    """What a start of a replica asks for.

    A rate holds until an answer to a call that was sent after the rate was last heard names none:
    only of such an answer is it sure that the replica gave it later. It is kept however long no
    answer comes, since calls that were sent at full speed to find out would exceed it.

    :ivar leaving: it has said, in whatever way, that it leaves; it never takes that back.
    :ivar paused_until_s: until when it wants nothing of this gateway, on the boot clock. It asks
        each gateway by itself, so that others go on. A shorter pause that it asks for later ends
        none that it asked for before.
    :ivar heard_s: when an answer last named a rate, on the boot clock.
    :ivar ended_s: when the latest call was sent whose answer named none, on the boot clock.
    """

    leaving: bool = False
    paused_until_s: float = -math.inf
    heard_s: float = -math.inf
    ended_s: float = -math.inf
    _named_per_s: float | None = None

    @property
    def rate_per_s(self) -> float | None:
        """Return the calls a second that it takes from all gateways; ``None`` for any number."""
        return self._named_per_s if self.heard_s >= self.ended_s else None

    @property
    def is_paused(self) -> bool:
        """Return whether it wants nothing of this gateway now."""
        return self.pause_left_s > 0

    @property
    def pause_left_s(self) -> float:
        """Return for how much longer it wants nothing of this gateway, in seconds."""
        return max(0.0, self.paused_until_s - boottime_s())

    def note_pause(self, pause_s: float) -> None:
        """Note that it asked this gateway for a pause, in seconds."""
        until_s = boottime_s() + min(MAX_PAUSE_S, pause_s)
        self.paused_until_s = max(self.paused_until_s, until_s)

    def note_rate(self, rate_per_s: float, heard_s: float) -> None:
        """Note that an answer named a rate.

        :param heard_s: when that answer began to arrive, on the boot clock.
        """
        if heard_s >= self.heard_s:
            self._named_per_s, self.heard_s = rate_per_s, heard_s

    def note_no_rate(self, sent_s: float) -> None:
        """Note that an answer to a call named no rate.

        :param sent_s: when that call was sent, on the boot clock.
        """
        self.ended_s = max(self.ended_s, sent_s)
