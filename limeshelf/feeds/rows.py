"""The port to a table of rows with versions, conditions and a feed of changes.

Owns nothing: it says what this product needs of the store; the adapter to the users'
platform does it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import attrs

from limeshelf.errors import LimeshelfError


@attrs.frozen
class Row:
    """One row as of its version.

    :param version: from one counter of the whole store, rising.
    :param gone: whether the row was deleted at this version.
    """

    key: str
    value: bytes
    version: int
    gone: bool = False


@attrs.frozen
class Page:
    """Rows of a table, or its changes, as of one version of the store.

    :param now_ms: the store's steady clock when it answered.
    :param answered_s: the same moment, on this machine's boot clock; no part of what the page
        says, so pages are equal without it.
    :param as_of_ms: the store's clock at the first of its answers, where it took several: since
        then no row may be missing.
    """

    rows: tuple[Row, ...]
    version: int
    now_ms: int = 0
    answered_s: float = attrs.field(default=0.0, eq=False)
    as_of_ms: int = attrs.field(default=0, eq=False)


@dataclass(eq=False)
class HistoryGone(LimeshelfError):
    """The changes after the asked version are no longer kept; read the whole."""

    table: str


@dataclass(eq=False)
class ConditionFailed(LimeshelfError):
    """A row did not have the expected version; nothing was written.

    :param rows: the rows of the condition as they are.
    """

    rows: tuple[Row, ...] = field(default_factory=tuple)


class RowTable(Protocol):
    """The calls of the platform's table that the product needs.

    Every call raises :exc:`limeshelf.errors.PlatformUnavailable` where it had
    no effect and :exc:`limeshelf.errors.PlatformUnknown` where that is open.
    """

    async def read(self, table: str) -> Page:
        """Return all rows of *table* as of one moment."""

    async def changes(self, table: str, after: int, wait_s: float) -> Page:
        """Return what changed after a version, as soon as something has.

        :raises HistoryGone: that history is no longer kept.
        """

    async def write(self, table: str, key: str, value: bytes, expected: int | None) -> int:
        """Write a row and return the store's version.

        :param expected: version that the row must have, 0 for none; ``None``
            writes whatever there is.
        :raises ConditionFailed: the row has another version.
        """

    async def delete(self, table: str, key: str, expected: int | None) -> None:
        """Delete a row; arguments and errors as for :meth:`write`."""
