"""Turns JSON documents into attrs classes and lists every fault at once.

Stricter than the library: no value is converted to another type, and unknown keys
are faults. Owns no state.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, TypeVar

import cattrs
import msgspec
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from limeshelf.errors import InvalidDocument, Problem

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar('T')

#: Unit suffixes of field names and what they mean, for error messages.
UNITS = {
    '_s': 'seconds',
    '_ms': 'milliseconds',
    '_bytes': 'bytes',
    '_ratio': 'a share between 0 and 1',
    '_port': 'a port number',
    '_tokens': 'tokens',
}


def _strict_int(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'expected a whole number, got {type(value).__name__}')
    return value


def _strict_float(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'expected a number, got {type(value).__name__}')
    return float(value)


def _strict_str(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f'expected a string, got {type(value).__name__}')
    return value


def _strict_bool(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f'expected true or false, got {type(value).__name__}')
    return value


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, _strict_int)
    converter.register_structure_hook(float, _strict_float)
    converter.register_structure_hook(str, _strict_str)
    converter.register_structure_hook(bool, _strict_bool)
    # Enums of strings are strings too; without a hook of their own the one for
    # str would take them and leave them plain
    # (tests/settings/test_load.py::test_enums_stay_enums).
    converter.register_structure_hook(enum.StrEnum, lambda value, kind: kind(value))
    return converter


_converter = _make_converter()


def structure_file(path: Path, kind: type[T]) -> T:
    """Build a *kind* from the JSON file at *path*.

    :raises InvalidDocument: with one :class:`Problem` for each fault.
    """
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise InvalidDocument([Problem('.', f'cannot be read: {error.strerror}')]) from None
    except msgspec.DecodeError as error:
        raise InvalidDocument([Problem('.', f'is not JSON: {error}')]) from None
    return structure(document, kind)


def structure(document: Any, kind: type[T]) -> T:
    """Build a *kind* from parsed JSON.

    Any error of the library is turned into problems; one that names none is a
    fault of ours and is raised as it is.

    :raises InvalidDocument: with one :class:`Problem` for each fault.
    """
    try:
        return _converter.structure(document, kind)
    except Exception as error:
        problems = _problems(error, '')
        if not problems:
            raise
        raise InvalidDocument(problems) from None


def unstructure(value: Any) -> Any:
    """Return plain JSON data for an attrs value."""
    return _converter.unstructure(value)


def _problems(error: BaseException, path: str) -> list[Problem]:
    if isinstance(error, ClassValidationError):
        return _class_problems(error, path)
    if isinstance(error, IterableValidationError):
        return _item_problems(error, path)
    if isinstance(error, ForbiddenExtraKeysError):
        return [Problem(_join(path, key), 'unknown key') for key in sorted(error.extra_fields)]
    if isinstance(error, KeyError):
        return [Problem(_join(path, str(error.args[0])), 'missing')]
    return [Problem(path or '.', _with_unit(path, str(error)))]


def _class_problems(error: ClassValidationError, path: str) -> list[Problem]:
    found: list[Problem] = []
    noted, unnoted = error.group_exceptions()
    for inner, note in noted:
        child = path if isinstance(inner, KeyError) else _join(path, note.name)
        found.extend(_problems(inner, child))
    for bare in unnoted:
        found.extend(_problems(bare, path))
    return found


def _item_problems(error: IterableValidationError, path: str) -> list[Problem]:
    found: list[Problem] = []
    noted, unnoted = error.group_exceptions()
    for inner, note in noted:
        found.extend(_problems(inner, f'{path}[{note.index}]'))
    for bare in unnoted:
        found.extend(_problems(bare, path))
    return found


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _with_unit(path: str, message: str) -> str:
    for suffix, unit in UNITS.items():
        if path.endswith(suffix):
            return f'{message} (unit: {unit})'
    return message
