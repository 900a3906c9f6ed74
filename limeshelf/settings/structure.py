"""Converts JSON documents to attrs classes and reports all faults at once.

Stricter than the library: values are never converted to another type, and unknown keys are
faults. Stateless.
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

from limeshelf.errors import IncompleteDocument, InvalidDocument, Problem

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar('T')

#: Meaning of the unit suffixes of field names, for error messages.
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
    # String enums are subclasses of str; without a separate hook, the hook for str would
    # leave them as plain strings (tests/settings/test_load.py::test_enums_stay_enums).
    converter.register_structure_hook(enum.StrEnum, lambda value, cls: cls(value))
    return converter


_converter = _make_converter()


def structure_file(path: Path, cls: type[T]) -> T:
    """Return an instance of *cls* built from the JSON file at *path*.

    :raises IncompleteDocument: the file cannot be read, or is not JSON.
    :raises InvalidDocument: with one :class:`Problem` for each other fault.
    """
    return structure_content(read_content(path), cls)


def read_content(path: Path) -> bytes:
    """Return the content of a file.

    :raises IncompleteDocument: it cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise IncompleteDocument([Problem('.', f'cannot be read: {error.strerror}')]) from None


def structure_content(content: bytes, cls: type[T]) -> T:
    """Return an instance of *cls* built from JSON text; raises as :func:`structure_file`."""
    try:
        document = msgspec.json.decode(content)
    except msgspec.DecodeError as error:
        raise IncompleteDocument([Problem('.', f'is not JSON: {error}')]) from None
    return structure(document, cls)


def structure(document: Any, cls: type[T]) -> T:
    """Return an instance of *cls* built from parsed JSON.

    Errors of the library are converted to problems; an error without any is a defect of this
    program and is raised unchanged.

    :raises InvalidDocument: with one :class:`Problem` for each fault.
    """
    try:
        return _converter.structure(document, cls)
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
    problems: list[Problem] = []
    with_note, without_note = error.group_exceptions()
    for inner, note in with_note:
        child = path if isinstance(inner, KeyError) else _join(path, note.name)
        problems.extend(_problems(inner, child))
    for other in without_note:
        problems.extend(_problems(other, path))
    return problems


def _item_problems(error: IterableValidationError, path: str) -> list[Problem]:
    problems: list[Problem] = []
    with_note, without_note = error.group_exceptions()
    for inner, note in with_note:
        problems.extend(_problems(inner, f'{path}[{note.index}]'))
    for other in without_note:
        problems.extend(_problems(other, path))
    return problems


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _with_unit(path: str, message: str) -> str:
    for suffix, unit in UNITS.items():
        if path.endswith(suffix):
            return f'{message} (unit: {unit})'
    return message
