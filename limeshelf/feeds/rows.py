"""The interface to the store: tables of versioned rows, conditional writes, a feed of changes.

The adapter to the users' platform implements it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import attrs

from limeshelf.errors import LimeshelfError
from limeshelf.feeds.position import Position


@attrs.frozen
class Row:
    """One row as of its last change.

    :param value: for a deleted row, the last value before the deletion, if it is known.
    :param position: store position of the last change.
    :param gone: whether that change deleted the row.
    """

    key: str
    value: bytes
    position: Position
    gone: bool = False


@attrs.frozen
class Page:
    """Rows of a table, or its changes, as of one position of the store.

    :param now_ms: the store's steady clock when it answered.
    :param answered_s: estimate of the same moment on this machine's boot clock. Not part of the
        content, so it is excluded from comparison.
    :param as_of_ms: the store's clock at its first answer, if reading took several. The page
        may lack rows that were written after that.
    """

    rows: tuple[Row, ...]
    position: Position
    now_ms: int = 0
    answered_s: float = attrs.field(default=0.0, eq=False)
    as_of_ms: int = attrs.field(default=0, eq=False)


@dataclass(eq=False)
class HistoryGone(LimeshelfError):
    """The store no longer has the changes after the given position; read the whole table."""

    table: str


@dataclass(eq=False)
class ConditionFailed(LimeshelfError):
    """A row did not have the expected position; nothing was written.

    :param rows: the current rows that the condition refers to.
    """

    rows: tuple[Row, ...] = field(default_factory=tuple)


class RowStore(Protocol):
    """The store operations that this product needs.

    Every operation raises :exc:`limeshelf.errors.PlatformUnavailable` if it had no effect, and
    :exc:`limeshelf.errors.PlatformUnknown` if it may have had one.
    """

    async def read(self, table: str) -> Page:
        """Return all rows of *table* as of one position."""

    async def changes(self, table: str, after: Position, wait_s: float) -> Page:
        """Return the changes after a position, as soon as there are any.

        If the page is of a later era, it does not contain all changes after that position.

        :param wait_s: how long the store may hold the call while there are none, in seconds.
        :raises HistoryGone: the store no longer has those changes.
        """

    async def write(
        self, table: str, key: str, value: bytes, expected: Position | None
    ) -> Position:
        """Write a row and return the store's position.

        :param expected: position that the row must have, :data:`BEGINNING
            <limeshelf.feeds.position.BEGINNING>` if it must not exist; ``None`` writes
            unconditionally.
        :raises ConditionFailed: the row has another position.
        """

    async def delete(self, table: str, key: str, expected: Position | None) -> None:
        """Delete a row; parameters and errors as for :meth:`write`."""
