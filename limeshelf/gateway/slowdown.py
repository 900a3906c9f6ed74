"""Slows down connections whose data takes much processor time for its size.

Small chunks and short lines take about as much time to parse as large ones. Connections with many
of them are paused after each piece of data. The more there are, the longer the pause of each is,
so that all of them together take a bounded part of the processor.
"""

from __future__ import annotations

#: Chunks or lines in one piece of data from which on its connection is slowed down. A piece with
#: chunks of 64 bytes has fewer.
SLOWED_FROM_LINES = 256
#: Processor time for parsing a chunk or a line.
LINE_PARSE_S = 4e-6
#: The part of the processor that slowed connections may take together is one by this.
SLOWED_SHARE_DIVISOR = 4


class Slowdown:
    """Decides on the pauses of the connections of one listener."""

    def __init__(self) -> None:
        self._slowed: set[object] = set()

    def pause_s(self, connection: object, lines: int) -> float:
        """Return how long a connection is not read after a piece of data, in seconds.

        :param lines: chunks or lines in the piece.
        """
        if lines < SLOWED_FROM_LINES:
            return 0.0
        self._slowed.add(connection)
        return lines * LINE_PARSE_S * SLOWED_SHARE_DIVISOR * len(self._slowed)

    def end_pause(self, connection: object) -> None:
        """Record that a connection is read again, or has ended."""
        self._slowed.discard(connection)
