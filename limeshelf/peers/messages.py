"""The registry of messages between processes: each class under its name on the wire.

Owns the names; relies on nothing. The modules that define messages fill it as they are
imported.
"""

from __future__ import annotations

from typing import Any, TypeVar

T = TypeVar('T')

#: Message classes by the name that stands for them on the wire.
message_kinds: dict[str, type[Any]] = {}
_kind_names: dict[type[Any], str] = {}


def add_message(kind: str) -> Any:
    """Return a decorator that adds a message class under its wire name.

    :param kind: the wire name; one that is taken already would be replaced.
    """

    def add(cls: type[T]) -> type[T]:
        message_kinds[kind] = cls
        _kind_names[cls] = kind
        return cls

    return add


def kind_of(message: object) -> str:
    """Return the wire name of a message's class.

    :raises KeyError: the class is not registered.
    """
    return _kind_names[type(message)]
