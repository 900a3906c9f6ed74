"""The messages between processes keep their bytes, whatever the classes are called.

``messages.json`` holds recorded frames: the wire kind, the frame in hex, and the same message
with the name of each field. When a test here turns red, a change altered the wire, and
processes of the old and the new release no longer understand one another: give the field (or
the kind, or the enum's value) its encoded name and place back. Change the recording only
together with a wire change that both releases bear; record a new kind with
``encode(Envelope('10.0.0.1:7001', 'z1', message)).hex()`` and :func:`named`, every field other
than its default.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import attrs
import msgspec
import pytest

# Importing a module registers its kinds; this is the one place that names the modules.
import limeshelf.dispatch.messages
import limeshelf.membership.messages
import limeshelf.standalone.messages  # noqa: F401
from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.peers.messages import message_kinds

RECORDED = json.loads((Path(__file__).parent / 'messages.json').read_text())
SENDER = ('10.0.0.1:7001', 'z1')


def named(value: Any) -> Any:
    """Return *value* as JSON with encoded field names, also where only the order is sent."""
    if isinstance(value, msgspec.Struct):
        names = zip(value.__struct_encode_fields__, value.__struct_fields__, strict=True)
        return {encoded: named(getattr(value, name)) for encoded, name in names}
    if attrs.has(type(value)):
        return {name: named(getattr(value, name)) for name in attrs.fields_dict(type(value))}
    if isinstance(value, list):
        return [named(item) for item in value]
    if isinstance(value, dict):
        return {key: named(item) for key, item in value.items()}
    return value.decode() if isinstance(value, bytes) else value


def test_kinds_are_those_recorded() -> None:
    assert set(message_kinds) == {record['kind'] for record in RECORDED}


@pytest.mark.parametrize('record', RECORDED, ids=lambda record: record['kind'])
def test_recorded_frame_is_read_and_written_the_same(record: dict[str, Any]) -> None:
    frame = bytes.fromhex(record['hex'])
    envelope = decode(frame)
    assert type(envelope.message) is message_kinds[record['kind']]
    assert envelope == Envelope(*SENDER, envelope.message)
    assert named(envelope.message) == record['message']
    assert encode(envelope) == frame


@pytest.mark.parametrize('record', RECORDED, ids=lambda record: record['kind'])
def test_recorded_message_names_every_field_with_a_value(record: dict[str, Any]) -> None:
    """A recording that leaves a field at its default would not hold that field."""
    message = decode(bytes.fromhex(record['hex'])).message
    for field in attrs.fields(type(message)):
        value = getattr(message, field.name)
        assert value != field.default
        assert value not in ([], {}, '', None)
