"""The registry of message classes, by their names on the wire.

Modules that define messages register them when they are imported.
"""

from __future__ import annotations

from typing import Any, TypeVar

T = TypeVar('T')

#: Message classes by their name on the wire.
message_classes: dict[str, type[Any]] = {}
_kinds: dict[type[Any], str] = {}


def add_message(kind: str) -> Any:
    """Return a decorator that registers a message class.

    :param kind: name on the wire; a class registered under it before would be replaced.
    """

    def add(cls: type[T]) -> type[T]:
        message_classes[kind] = cls
        _kinds[cls] = kind
        return cls

    return add


def kind_of(message: object) -> str:
    """Return the name on the wire of a message's class.

    :raises KeyError: the class is not registered.
    """
    return _kinds[type(message)]
