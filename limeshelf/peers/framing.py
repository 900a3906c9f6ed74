"""Separates the frames on a connection between two processes.

The wire format is the TCP mapping of the Scalability Protocols, with one-way pipes only
(https://nanomsg.org/rfcs/sp-tcp-v1.html). Both ends first send a greeting of eight bytes. Each
frame is then sent as its length, in eight bytes, followed by its content.
"""

from __future__ import annotations

import enum
import struct

from limeshelf.errors import LimeshelfError

#: A frame that states a greater length is rejected before its content is buffered.
MAX_FRAME_BYTES = 8 << 20

_GREETING = struct.Struct('>4sHH')
_LENGTH = struct.Struct('>Q')
_SIGNATURE = b'\0SP\0'


class MalformedMessage(LimeshelfError):
    """Received data is not a valid message of this protocol."""


class PipeEnd(enum.IntEnum):
    """The ends of a one-way pipe; the values are their protocol numbers in the greeting."""

    SENDER = 0x50
    RECEIVER = 0x51


def greeting(end: PipeEnd) -> bytes:
    """Return the greeting that an end sends first."""
    return _GREETING.pack(_SIGNATURE, end, 0)


def add_length_prefix(frame: bytes) -> bytes:
    """Return a frame as it is sent over a connection."""
    return _LENGTH.pack(len(frame)) + frame


class FrameReader:
    """Splits the bytes received on one connection into frames.

    :param remote_end: the end that sends the bytes.
    """

    def __init__(self, remote_end: PipeEnd) -> None:
        self._expected_greeting = greeting(remote_end)
        self._has_greeting = False
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Buffer *data* and return the frames that it completes.

        :raises MalformedMessage: the greeting is wrong, or a frame is too long; the connection
            must not be read further.
        """
        self._buffer += data
        if not self._has_greeting and not self._consume_greeting():
            return []
        frames = []
        start = 0
        while (end := self._frame_end(start)) is not None:
            frames.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return frames

    def _consume_greeting(self) -> bool:
        if len(self._buffer) < len(self._expected_greeting):
            return False
        if not self._buffer.startswith(self._expected_greeting):
            raise MalformedMessage
        del self._buffer[: len(self._expected_greeting)]
        self._has_greeting = True
        return True

    def _frame_end(self, start: int) -> int | None:
        """Return the end of the frame that begins at *start*; ``None`` if it is incomplete."""
        if len(self._buffer) - start < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack_from(self._buffer, start)
        if size > MAX_FRAME_BYTES:
            raise MalformedMessage
        end: int = start + _LENGTH.size + size
        return end if end <= len(self._buffer) else None
