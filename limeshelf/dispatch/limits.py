"""How much a replica may read, and hold, at once.

Reading a prompt holds up every stream of the replica's batch. An event takes as long as
its steps and what is read between them, whichever step that falls in. So what is granted
in any window of time as long as the bearable pause between two events has to stay below
that pause less the steps. Bounding only what is read at one moment left 160 of some 560
streams of a quiet day with longer pauses, the window left 49.
Owns these rules alone; relies on :mod:`limeshelf.dispatch.granted_load` for the sums.
"""

from __future__ import annotations

import attrs

#: Part of the bearable pause, less the steps of an event, that reading may take.
READING_SHARE = 0.84
#: Length of the window in bearable pauses: a replica may begin to read later than granted.
WINDOW_PAUSES = 1.15
#: A step of a replica's batch in which nothing is read. See ``FIRST_EVENT_OVERHEAD_MS`` for the
#: figures of steps that differ.
PLAIN_STEP_MS = 12.0
#: Part of a replica's memory that calls may fill before others wait.
MEMORY_SHARE = 0.9


@attrs.frozen
class ReadingWindow:
    """What a replica may read within any stretch of time of a given length.

    :param span_s: length of the stretch.
    :param limit_ms: reading that may be granted within it.
    """

    span_s: float
    limit_ms: float

    @classmethod
    def from_pause(
        cls, pause_ms: int, steps_per_event: int, granted_share: float
    ) -> ReadingWindow:
        """Return the window of a request.

        :param pause_ms: longest pause between events that keeps its answer in time.
        :param steps_per_event: steps of the batch between two events of a stream.
        :param granted_share: part of the reading, 0 to 1, that this process may grant.
        """
        steps_ms = PLAIN_STEP_MS * steps_per_event
        limit_ms = READING_SHARE * granted_share * max(0.0, pause_ms - steps_ms)
        return cls(WINDOW_PAUSES * pause_ms / 1000, limit_ms)

    def admits(self, granted_ms: float, read_ms: float) -> bool:
        """Return whether a replica may read one more prompt now.

        A prompt that is longer than the limit by itself is read where nothing else is.

        :param granted_ms: reading granted there within the window.
        :param read_ms: of the new prompt.
        """
        return not granted_ms or granted_ms + read_ms <= self.limit_ms


@attrs.frozen
class Occupancy:
    """What calls hold of a replica.

    :param calls: under way.
    :param tokens: that they likely fill of its memory.
    :param slots: calls that the replica runs at once.
    :param memory_tokens: size of its memory.
    """

    calls: int
    tokens: int
    slots: int
    memory_tokens: int

    def admits(self, tokens: int) -> bool:
        """Return whether a call of so many tokens may be added; a lone one always may."""
        if self.calls >= self.slots:
            return False
        return not self.calls or self.tokens + tokens <= MEMORY_SHARE * self.memory_tokens
