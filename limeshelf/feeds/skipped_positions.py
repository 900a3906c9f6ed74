"""Positions of the store that the copy of a table has skipped.

A copy that goes from one position to a later one without all changes in between cannot tell which
rows were written and deleted there. So it cannot answer for a position that lies in between.
"""

from __future__ import annotations

import attrs

from limeshelf.feeds.position import BEGINNING, Position

#: Ranges that are kept. Beyond that number the two earliest ones become one.
MAX_RANGES = 8


@attrs.frozen
class SkippedRange:
    """Positions that a copy has skipped.

    :param start: position of the copy before.
    :param end: its position afterwards.
    """

    start: Position
    end: Position


@attrs.define
class SkippedPositions:
    """The positions that one copy has skipped, in rising order."""

    _ranges: list[SkippedRange] = attrs.field(factory=list)

    def add(self, start: Position, end: Position) -> None:
        """Record that the copy went from *start* to *end* without the changes in between."""
        if end <= start:
            return
        self._ranges.append(SkippedRange(start, end))
        if len(self._ranges) > MAX_RANGES:
            first, second, *later = self._ranges
            self._ranges = [SkippedRange(first.start, second.end), *later]

    def contains(self, position: Position) -> bool:
        """Return whether the copy cannot tell what was deleted since a position."""
        return any(skipped.start < position < skipped.end for skipped in self._ranges)

    def seen_from(self) -> Position:
        """Return the position from which on the copy has skipped none."""
        return self._ranges[-1].end if self._ranges else BEGINNING
