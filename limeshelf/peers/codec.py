"""Encodes peer messages with msgpack and checks them when they arrive.

Owns the frame around a message. Relies on the registry of
:mod:`limeshelf.peers.messages` for which classes there are.
"""

from __future__ import annotations

from typing import Any

import attrs
import msgspec

from limeshelf.peers.framing import MAX_FRAME_BYTES, MalformedMessage
from limeshelf.peers.messages import kind_of, message_kinds
from limeshelf.util.decoding import DECODE_ERRORS


@attrs.frozen
class Envelope:
    """A message with its sender.

    :param sender: address where the sender listens.
    :param data_centre: data centre of the sender.
    """

    sender: str
    data_centre: str
    message: Any


@attrs.frozen
class _Frame:
    sender: str
    data_centre: str
    kind: str
    body: msgspec.Raw


_frames = msgspec.msgpack.Decoder(_Frame)


def encode(envelope: Envelope) -> bytes:
    """Return the frame of *envelope*; its message is of a registered class."""
    body = msgspec.Raw(msgspec.msgpack.encode(envelope.message))
    kind = kind_of(envelope.message)
    return msgspec.msgpack.encode(_Frame(envelope.sender, envelope.data_centre, kind, body))


def decode(data: bytes) -> Envelope:
    """Return the envelope in *data*; raises :exc:`MalformedMessage`."""
    if len(data) > MAX_FRAME_BYTES:
        raise MalformedMessage
    try:
        frame = _frames.decode(data)
        kind = message_kinds.get(frame.kind)
        if kind is None:
            raise MalformedMessage
        message = msgspec.msgpack.decode(frame.body, type=kind)
    except DECODE_ERRORS:
        raise MalformedMessage from None
    return Envelope(frame.sender, frame.data_centre, message)
