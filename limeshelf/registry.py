"""Named registries of implementations, the extension points of the project."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from limeshelf.errors import UnknownName

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')


class Registry(Generic[T]):
    """Maps names to implementations of one kind.

    Built-in and external implementations register in the same way::

        @placement_policies.register('greedy')
        class Greedy: ...

    :param kind: kind of the entries, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Return a decorator that adds a class under *name*."""

        def add(entry: type[T]) -> type[T]:
            self.add_entry(name, entry)
            return entry

        return add

    def add_entry(self, name: str, entry: type[T]) -> None:
        """Add *entry* under *name*.

        :raises UnknownName: the name is already registered.
        """
        if name in self._entries:
            raise UnknownName(self.kind, f'{name} (registered twice)', self.names())
        self._entries[name] = entry

    def get(self, name: str) -> type[T]:
        """Return the entry called *name*.

        :raises UnknownName: there is no such entry.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownName(self.kind, name, self.names()) from None

    def names(self) -> tuple[str, ...]:
        """Return all names, sorted."""
        return tuple(sorted(self._entries))
