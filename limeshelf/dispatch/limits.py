"""Limits on the prefill time and the memory that calls may use on a replica at once.

A prefill delays every stream in the replica's batch, and the pause between two events of a stream
is the sum of its decode steps and the prefills between them, whichever step these fall in. So the
prefill time granted within any window as long as the allowed pause must stay below that pause
minus the decode steps. Limiting only the prefills in progress at one moment left longer pauses in
160 of about 560 streams under normal load; limiting the window left them in 49.

Owns these rules only; :mod:`limeshelf.dispatch.granted_load` keeps the sums.
"""

from __future__ import annotations

import attrs

#: Share of the allowed pause, minus the decode steps of an event, that prefills may take.
PREFILL_SHARE = 0.84
#: Length of the window in allowed pauses; above 1 because a replica may start a prefill later than
#: it was granted.
WINDOW_PAUSES = 1.15
#: Duration of a batch step without prefill. See ``FIRST_EVENT_OVERHEAD_MS`` in
#: :mod:`limeshelf.demand.prefill_speed` for the other estimates of step time, which measure
#: something else.
DECODE_STEP_MS = 12.0
#: Share of a replica's memory that calls may fill before further calls wait.
USABLE_MEMORY_SHARE = 0.9


@attrs.frozen
class PrefillWindow:
    """The prefill time that a replica may be granted within a sliding window.

    :param span_s: length of the window.
    :param limit_ms: prefill time that may be granted within it.
    """

    span_s: float
    limit_ms: float

    @classmethod
    def from_pause(
        cls, pause_ms: int, steps_per_event: int, granted_share: float
    ) -> PrefillWindow:
        """Return the window of a request.

        :param pause_ms: longest pause between events within the latency objective.
        :param steps_per_event: decode steps between two events of a stream.
        :param granted_share: share of the prefill capacity, 0 to 1, that this process may grant.
        """
        steps_ms = DECODE_STEP_MS * steps_per_event
        limit_ms = PREFILL_SHARE * granted_share * max(0.0, pause_ms - steps_ms)
        return cls(WINDOW_PAUSES * pause_ms / 1000, limit_ms)

    def admits(self, granted_prefill_ms: float, prefill_ms: float) -> bool:
        """Return whether one more prefill may be granted now.

        A prompt that exceeds the limit by itself is admitted if no other prefill is in the window.

        :param granted_prefill_ms: prefill time granted at the replica within the window.
        :param prefill_ms: estimated prefill time of the new prompt.
        """
        return not granted_prefill_ms or granted_prefill_ms + prefill_ms <= self.limit_ms


@attrs.frozen
class Occupancy:
    """The slots and memory of a replica that calls occupy.

    :param calls: calls in progress.
    :param tokens: estimated tokens that these occupy in its memory.
    :param slots: calls that the replica runs concurrently.
    :param memory_tokens: size of its memory.
    """

    calls: int
    tokens: int
    slots: int
    memory_tokens: int

    def admits(self, tokens: int) -> bool:
        """Return whether a call of *tokens* tokens fits; on an idle replica it always does."""
        if self.calls >= self.slots:
            return False
        return not self.calls or self.tokens + tokens <= USABLE_MEMORY_SHARE * self.memory_tokens
