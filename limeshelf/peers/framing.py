"""How frames follow one another on a connection between two processes.

Owns the form on the wire: the TCP mapping of the Scalability Protocols, one-way pipes only
(https://nanomsg.org/rfcs/sp-tcp-v1.html). Both ends send a greeting of eight bytes; then
each frame goes as its length, eight bytes, and its bytes. Relies on nothing.
"""

from __future__ import annotations

import enum
import struct

from limeshelf.errors import LimeshelfError

#: A longer frame is refused before it is kept.
MAX_FRAME_BYTES = 8 << 20

_GREETING = struct.Struct('>4sHH')
_LENGTH = struct.Struct('>Q')
_MARK = b'\0SP\0'


class MalformedMessage(LimeshelfError):
    """What arrived is no message of ours."""


class PipeEnd(enum.IntEnum):
    """The ends of a one-way pipe, by the numbers that stand in their greetings."""

    SENDER = 0x50
    RECEIVER = 0x51


def greeting(end: PipeEnd) -> bytes:
    """Return what an end sends first."""
    return _GREETING.pack(_MARK, end, 0)


def framed(frame: bytes) -> bytes:
    """Return a frame as it goes over a connection."""
    return _LENGTH.pack(len(frame)) + frame


class FrameReader:
    """Cuts the bytes of one connection into frames.

    :param other: the end that the bytes come from.
    """

    def __init__(self, other: PipeEnd) -> None:
        self._expected = greeting(other)
        self._greeted = False
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that *data* completes.

        :raises MalformedMessage: the greeting is another one, or a frame is too long; the
            connection cannot be read further.
        """
        self._rest += data
        if not self._greeted and not self._take_greeting():
            return []
        frames = []
        start = 0
        while (end := self._frame_end(start)) is not None:
            frames.append(bytes(self._rest[start + _LENGTH.size : end]))
            start = end
        del self._rest[:start]
        return frames

    def _take_greeting(self) -> bool:
        if len(self._rest) < len(self._expected):
            return False
        if not self._rest.startswith(self._expected):
            raise MalformedMessage
        del self._rest[: len(self._expected)]
        self._greeted = True
        return True

    def _frame_end(self, start: int) -> int | None:
        """Return where the frame that begins at *start* ends; ``None`` if it is not whole."""
        if len(self._rest) - start < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack_from(self._rest, start)
        if size > MAX_FRAME_BYTES:
            raise MalformedMessage
        end: int = start + _LENGTH.size + size
        return end if end <= len(self._rest) else None
