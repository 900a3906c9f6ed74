"""What granted requests take of one replica, and when a prompt counts as read.

Owns the sums over the granted requests of a replica, what was granted there lately, and
the prompt blocks that it has read; relies on the dispatcher to add and remove each
request once.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import attrs

from limeshelf.dispatch.prompt_blocks import PromptBlocks

if TYPE_CHECKING:
    from limeshelf.dispatch.requests import GrantedRequest

#: A prompt counts as read after this many times the likely reading time of all that is being
#: read there...
READ_MARGIN = 1.2
#: ...and this long in addition, for a step of the batch and the request's way to the replica.
#: See ``FIRST_EVENT_OVERHEAD_MS`` for the figures of steps that differ.
FIRST_STEP_MS = 20.0
#: A grant is remembered this much longer than the window that was asked for, because the next
#: request may ask for a longer one.
RECENT_KEPT_S = 2.0


class GrantedReading(NamedTuple):
    """Reading that was granted, and when on the steady clock."""

    granted_s: float
    read_ms: float


@attrs.define
class GrantedLoad:
    """What granted requests take of a replica.

    :ivar calls: requests that were granted and have not ended.
    :ivar tokens: that these likely fill of the replica's memory.
    :ivar reading: those whose prompts are likely still being read.
    :ivar reading_ms: how long their prompts take together.
    :ivar blocks: prompt blocks that were read there.
    """

    calls: int = 0
    tokens: int = 0
    reading_ms: float = 0.0
    reading: set[GrantedRequest] = attrs.field(factory=set)
    blocks: PromptBlocks = attrs.field(factory=PromptBlocks)
    _recent: deque[GrantedReading] = attrs.field(factory=deque)

    def read_ms_since(self, oldest_s: float) -> float:
        """Return the milliseconds of reading that were granted since a moment."""
        while self._recent and self._recent[0].granted_s < oldest_s - RECENT_KEPT_S:
            self._recent.popleft()
        return sum(one.read_ms for one in self._recent if one.granted_s >= oldest_s)

    def add(self, granted: GrantedRequest) -> None:
        """Count a request that was just granted."""
        for other in self.reading:
            other.read_alone = False
            granted.read_alone = False
        self.calls += 1
        self.tokens += granted.tokens
        self.reading_ms += granted.read_ms
        self.reading.add(granted)
        self._recent.append(GrantedReading(granted.granted_s, granted.read_ms))
        self.blocks.note_read(granted.query, granted.granted_s)

    def end_reading(self, granted: GrantedRequest) -> None:
        """Note that a prompt was read, if it still counts as being read."""
        if granted not in self.reading:
            return
        self.reading.discard(granted)
        # An empty set ends what rounding would leave over.
        self.reading_ms = max(0.0, self.reading_ms - granted.read_ms) if self.reading else 0.0

    def end_overdue_reading(self, now_s: float) -> None:
        """Take the prompts as read that must have been read by now.

        The first event comes a step and a round trip after the prompt was read; the next
        prompt need not wait for the report of it.
        """
        for granted in list(self.reading):
            if granted.elapsed_ms(now_s) > READ_MARGIN * self.reading_ms + FIRST_STEP_MS:
                self.end_reading(granted)

    def remove(self, granted: GrantedRequest) -> None:
        """Stop counting a request that has ended."""
        self.calls -= 1
        self.tokens -= granted.tokens
        self.end_reading(granted)
