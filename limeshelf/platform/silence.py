"""How long the store may send nothing before a call to it counts as failed.

No fixed limit tells a store that is slow from one that is gone, so the limit follows its recent
answers. :mod:`limeshelf.platform.late_calls` goes on waiting for calls beyond it.
"""

from __future__ import annotations

import attrs

from limeshelf.util.clock import boottime_s

#: Time without a byte from the store after which a call counts as failed, at least...
MIN_SILENCE_S = 1.2
#: ...and at most, for reads: the content of a late answer counts, and a store that is sound again
#: answers a new call at once...
MAX_READ_SILENCE_S = 3.0
#: ...and for writes, whose late answers only show how long to wait.
MAX_WRITE_SILENCE_S = 10.0
#: Time after which a call counts as failed although its answer is arriving.
MAX_CALL_S = 10.0
#: Share of the limit within which a connection should be open. Opening one takes the other end's
#: operating system only, however busy its programs are.
CONNECT_SHARE = 0.5
#: Ratio of the limit to the longest silence before recent answers.
SILENCE_MARGIN = 2.0
#: Share of that silence which remains after an answer that came sooner.
DECAY = 0.5


class SilenceLimit:
    """The time for which the store may send nothing, adapted to its recent answers."""

    def __init__(self) -> None:
        self._recent_s = 0.0

    def limit_s(self, max_s: float) -> float:
        """Return the limit, in seconds, which is at most *max_s*."""
        return min(max_s, max(MIN_SILENCE_S, SILENCE_MARGIN * self._recent_s))

    def record(self, silence_s: float) -> None:
        """Record the silence before an answer, in seconds."""
        self._recent_s = max(silence_s, DECAY * self._recent_s)


@attrs.define
class Progress:
    """When a call last received something from the store.

    :param max_silence_s: largest limit, in seconds.
    :ivar wait_s: for how long the store may hold the request that is sent next, in seconds.
    """

    limit: SilenceLimit
    max_silence_s: float = MAX_READ_SILENCE_S
    wait_s: float = 0.0
    _started_s: float = attrs.field(factory=boottime_s)
    _heard_s: float = attrs.field(factory=boottime_s)
    _share: float = 1.0

    def begin_connecting(self) -> None:
        """Record that a connection is being opened."""
        self._heard_s = boottime_s()
        self._share = CONNECT_SHARE

    def record_connected(self) -> None:
        """Record that the connection is open."""
        self.limit.record((boottime_s() - self._heard_s) / CONNECT_SHARE)
        self.begin_request()

    def begin_request(self) -> None:
        """Record that a request is sent."""
        self._heard_s = boottime_s() + self.wait_s
        self._share = 1.0

    def record_head(self) -> None:
        """Record the head of an answer, whose delay shows how long the store takes."""
        silence_s = boottime_s() - self._heard_s
        if silence_s >= 0.0:
            self.limit.record(silence_s)
        self.record_part()

    def record_part(self) -> None:
        """Record a part of an answer's body."""
        self._heard_s = boottime_s()

    @property
    def left_s(self) -> float:
        """Return how much longer the call may take if nothing arrives meanwhile, in seconds."""
        silent_until_s = self._heard_s + self._share * self.limit.limit_s(self.max_silence_s)
        end_s = self._started_s + self.wait_s + MAX_CALL_S
        return min(silent_until_s, end_s) - boottime_s()
