"""Converts store rows and positions to the message format of gateways and back.

Messages from earlier releases contain no store era. Their positions count as era 0, the era of a
store without eras. In a later era such versions would be ambiguous and count as out of date; a
gateway that receives only such messages polls the store itself.

An earlier release does not state either from which position on it knows all deletions. It answers
for any position, so only its whole tables can be relied on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.feeds.continuity import UpdateRange
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import Row
from limeshelf.membership.row_messages import (
    NO_ERA,
    NO_VERSION,
    RowsQuery,
    TableRow,
    TableUpdate,
)
from limeshelf.util.clock import MS_PER_S

if TYPE_CHECKING:
    from limeshelf.feeds.table_copy import TableCopy


def position_from_message(era: int, version: int) -> Position:
    """Return the position for an era and a version from a message."""
    return Position(0 if era == NO_ERA else era, version)


def rows_from_update(update: TableUpdate) -> list[Row]:
    """Return the rows of an update."""
    return [
        Row(row.key, row.value, position_from_message(row.era, row.version), row.gone)
        for row in update.rows
    ]


def range_of_update(update: TableUpdate) -> UpdateRange:
    """Return the positions that an update covers.

    One of an earlier release that is no answer begins where its sender's own copy was complete.
    """
    after = position_from_message(update.after_era, update.after)
    upto = position_from_message(update.upto_era, update.upto)
    if update.seen_from == NO_VERSION:
        covered = UpdateRange(after, upto, after)
        return attrs.evolve(covered, seen_from=upto) if covered.is_whole else covered
    return UpdateRange(after, upto, position_from_message(update.seen_from_era, update.seen_from))


def may_lack_deletions(update: TableUpdate) -> bool:
    """Return whether an answer to a query may lack rows that were deleted since.

    That is so if an earlier release was asked for the changes after a position.
    """
    covered = range_of_update(update)
    is_stated = update.seen_from != NO_VERSION
    return not is_stated and not covered.is_whole and covered.upto > covered.after


def update_from_copy(copy: TableCopy, after: Position) -> TableUpdate:
    """Return an update with at least the changes of a copy after a position."""
    covered = copy.update_range(after)
    rows = [
        TableRow(row.key, row.value, row.position.version, row.gone, row.position.era)
        for row in copy.rows_after(covered.after)
    ]
    return TableUpdate(
        copy.table,
        covered.after.version,
        covered.upto.version,
        int(copy.age_s * MS_PER_S),
        rows,
        copy.confirmed_ms,
        covered.after.era,
        covered.upto.era,
        covered.seen_from.version,
        covered.seen_from.era,
    )


def announcement_from_copy(copy: TableCopy) -> TableUpdate:
    """Return an update that states the position of a copy without the rows before it."""
    update = update_from_copy(copy, copy.position)
    update.omits_rows = True
    return update


def row_bytes(update: TableUpdate) -> int:
    """Return the bytes of the values of an update's rows."""
    return sum(len(row.value) for row in update.rows)


def query_for_positions(positions: dict[str, Position], asked_ms: int) -> RowsQuery:
    """Return a query for the changes of each table after a position."""
    versions = {table: position.version for table, position in positions.items()}
    eras = {table: position.era for table, position in positions.items()}
    return RowsQuery(versions, asked_ms, eras)


def requested_position(query: RowsQuery, table: str) -> Position | None:
    """Return the position after which a query requests a table; ``None`` if it does not."""
    version = query.versions.get(table)
    if version is None:
        return None
    return position_from_message(query.eras.get(table, NO_ERA), version)
