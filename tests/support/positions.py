"""Store positions for tests, most of which use a single era."""

from __future__ import annotations

from limeshelf.feeds.continuity import UpdateRange
from limeshelf.feeds.position import Position


def make_position(version: int, era: int = 0) -> Position:
    """Return a position; era 0 stands for a store that does not state an era."""
    return Position(era, version)


def make_range(after: int, upto: int, seen_from: int | None = None) -> UpdateRange:
    """Return the range of an update whose sender has skipped no position since *after*.

    :param seen_from: position from which on the sender has skipped none, if that is another one.
    """
    start = after if seen_from is None else seen_from
    return UpdateRange(make_position(after), make_position(upto), make_position(start))
