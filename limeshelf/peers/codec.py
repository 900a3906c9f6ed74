"""Encodes peer messages with msgpack, and validates received ones.

Defines the frame around a message. The message classes are registered in
:mod:`limeshelf.peers.messages`.
"""

from __future__ import annotations

from typing import Any

import attrs
import msgspec

from limeshelf.peers.framing import MAX_FRAME_BYTES, MalformedMessage
from limeshelf.peers.messages import kind_of, message_classes
from limeshelf.util.decoding import DECODE_ERRORS


@attrs.frozen
class Envelope:
    """A message with its sender.

    :param sender: address at which the sender listens.
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


_frame_decoder = msgspec.msgpack.Decoder(_Frame)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope, whose message must be of a registered class, as a frame."""
    body = msgspec.Raw(msgspec.msgpack.encode(envelope.message))
    kind = kind_of(envelope.message)
    return msgspec.msgpack.encode(_Frame(envelope.sender, envelope.data_centre, kind, body))


def decode(data: bytes) -> Envelope:
    """Decode a frame.

    :raises MalformedMessage: the data is too long, or no valid frame of a registered message.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise MalformedMessage
    try:
        frame = _frame_decoder.decode(data)
        message_class = message_classes.get(frame.kind)
        if message_class is None:
            raise MalformedMessage
        message = msgspec.msgpack.decode(frame.body, type=message_class)
    except DECODE_ERRORS:
        raise MalformedMessage from None
    return Envelope(frame.sender, frame.data_centre, message)
