"""Holds the operator RPC: methods, messages, and each field's number, type and label.

Red means that an operator's client of yesterday may not be understood. Put the
schema back; a new method or field is a change that the users agree to first,
and then ``recorded/rpc.txt`` and the hash below change in the same commit.
"""

from __future__ import annotations

import hashlib
from typing import Any

from limeshelf.admin import admin_pb2
from tests.forms.recorded import ROOT, check_recorded

WHAT_TO_DO = 'The RPC schema is a contract; see the docstring of tests/forms/test_rpc.py.'
#: Of the schema's text; the users' clients are generated from that file.
SCHEMA_SHA256 = '504907b3dd1bd026459f5f57aa331dcde87ffecaa8caa2f532b36bba9d0333b9'
TYPES = {1: 'double', 3: 'int64', 8: 'bool', 9: 'string', 11: 'message', 12: 'bytes', 14: 'enum'}


def type_text(field: Any) -> str:
    named = field.message_type or field.enum_type
    kind = TYPES.get(field.type, str(field.type))
    repeated = 'repeated ' if field.is_repeated else ''
    return f'{repeated}{kind}{f" {named.full_name}" if named else ""}'


def lines() -> list[str]:
    """Return one line for each method, message, field and enum value."""
    schema = admin_pb2.DESCRIPTOR
    found = [f'package {schema.package}']
    for service in schema.services_by_name.values():
        for method in service.methods:
            shape = f'{method.input_type.full_name} -> {method.output_type.full_name}'
            streams = f'{method.client_streaming} {method.server_streaming}'
            found.append(f'rpc {service.full_name}/{method.name}: {shape}; streams {streams}')
    for message in schema.message_types_by_name.values():
        found.append(f'message {message.full_name}: {len(message.fields)} fields')
        for field in message.fields:
            found.append(f'field {message.full_name} {field.number} {field.name}: ')
            found[-1] += f'{type_text(field)}; presence {field.has_presence}'
    for enum in schema.enum_types_by_name.values():
        found += [f'value {enum.full_name} {value.number} {value.name}' for value in enum.values]
    return found


def test_schema_is_the_recorded_one() -> None:
    check_recorded('rpc.txt', lines(), WHAT_TO_DO)


def test_text_of_the_schema_is_unchanged() -> None:
    (path,) = (ROOT / 'limeshelf').rglob('admin.proto')
    assert hashlib.sha256(path.read_bytes()).hexdigest() == SCHEMA_SHA256, WHAT_TO_DO
