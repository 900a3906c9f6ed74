"""Generates the reference page of the standalone programs' settings from their classes."""

from __future__ import annotations

import typing
from typing import Any

import attrs

from limeshelf.settings.model import Settings

HEADER = """Settings reference
==================

Generated from the settings classes by ``limeshelf settings reference``.

"""


def settings_reference() -> str:
    """Return the reference page in reST."""
    return HEADER + '\n'.join(_class_lines(Settings, '')) + '\n'


def _class_lines(cls: type[Any], path: str) -> list[str]:
    lines: list[str] = []
    hints = typing.get_type_hints(cls)
    for field in attrs.fields(cls):
        field_path = f'{path}.{field.name}' if path else field.name
        lines += _field_lines(field, hints[field.name], field_path)
        inner = _inner_class(hints[field.name])
        if inner is not None:
            lines += _class_lines(inner, field_path)
    return lines


def _field_lines(field: attrs.Attribute[Any], hint: Any, field_path: str) -> list[str]:
    text = field.metadata.get('doc', '')
    return [f'``{field_path}`` ({_type_name(hint)}, {_default(field)})', f'    {text}', '']


def _inner_class(hint: Any) -> type[Any] | None:
    for candidate in (hint, *typing.get_args(hint)):
        if isinstance(candidate, type) and attrs.has(candidate):
            return candidate
    return None


def _type_name(hint: Any) -> str:
    inner = _inner_class(hint)
    if inner is not None:
        return 'object'
    return str(getattr(hint, '__name__', hint)) if not typing.get_args(hint) else str(hint)


def _default(field: attrs.Attribute[Any]) -> str:
    if field.default is attrs.NOTHING:
        return 'required'
    if isinstance(field.default, attrs.Factory):  # type: ignore[arg-type]
        return 'default empty'
    return f'default ``{field.default!r}``'
