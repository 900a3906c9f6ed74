"""Decides which rows of a table are valid after the store was restored from an older copy.

The restored store contains rows that had been replaced or deleted since the copy was made, and
lacks rows that were written since then. Their writers write them again, after an unknown time.
:class:`limeshelf.feeds.table_copy.TableCopy` applies the decisions;
:mod:`limeshelf.programs.followed_tables` holds the rules of all tables.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeAlias

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.feeds.rows import Row

#: Version that the writer stored in a row's value; empty if it cannot be decoded.
WriterVersion: TypeAlias = tuple[int, ...]


@attrs.frozen
class RestoreRule:
    """Which of two rows of different eras is valid, and how long rows of earlier eras are kept.

    :ivar writer_version_of: returns the writer's version from a row's value, which increases with
        each write; ``None`` if the rows of the table contain no such version.
    :ivar retention_s: how long a row that is missing from the later era is kept, in seconds.
    """

    writer_version_of: Callable[[bytes], WriterVersion] | None = None
    retention_s: float = math.inf

    def replaces(self, row: Row, known: Row) -> bool:
        """Return whether *row* replaces *known*, which is of another era."""
        is_later = row.position > known.position
        if self.writer_version_of is None:
            return is_later
        if row.gone and is_later:
            return True
        if known.gone and not is_later:
            return False
        version = self.writer_version_of(row.value)
        known_version = self.writer_version_of(known.value)
        if version != known_version:
            return version > known_version
        # The same write: still or again present in the later era, or deleted in the earlier one.
        return row.gone or (is_later and not known.gone)
