"""Measures what a chunked body takes on the connection beyond its own bytes.

Chunks of one byte, extensions of chunks and trailers are valid, and may go on without end while
the body does not grow.
"""

from __future__ import annotations

import attrs

#: Bytes of framing that are allowed without regard to the size of a body...
FRAMING_BYTES = 1 << 16
#: ...and for each byte of it. A chunk of one byte takes five, without an extension.
FRAMING_BYTES_PER_BYTE = 8
#: Bytes around a chunk, at least.
CHUNK_FRAMING_BYTES = 5


@attrs.define
class BodyFraming:
    """The framing of one body.

    :param received_bytes: bytes received so far, framing included, without the part that arrived
        with the head.
    :param framing_bytes: those that are no part of the body.
    """

    received_bytes: int = 0
    framing_bytes: int = 0

    def update(self, body_bytes: int) -> int:
        """Return the framing that was added since the last update.

        :param body_bytes: bytes of the body so far.
        """
        added_bytes = max(0, self.received_bytes - body_bytes - self.framing_bytes)
        self.framing_bytes += added_bytes
        return added_bytes

    def is_excessive(self, body_bytes: int) -> bool:
        """Return whether there is more framing than any sensible client sends."""
        return self.framing_bytes > FRAMING_BYTES + FRAMING_BYTES_PER_BYTE * body_bytes
