"""Store positions for tests, most of which use a single era."""

from __future__ import annotations

from limeshelf.feeds.position import Position


def make_position(version: int, era: int = 0) -> Position:
    """Return a position; era 0 stands for a store that does not state an era."""
    return Position(era, version)
