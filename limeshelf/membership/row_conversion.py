"""Converts store rows and positions to the message format of gateways and back.

Messages from earlier releases contain no store era. Their positions count as era 0, the era of a
store without eras. In a later era such versions would be ambiguous and count as out of date; a
gateway that receives only such messages polls the store itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import Row
from limeshelf.membership.row_messages import NO_ERA, RowsQuery, TableRow, TableUpdate
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


def update_from_copy(copy: TableCopy, after: Position) -> TableUpdate:
    """Return an update with the changes of a copy after a position."""
    rows = [
        TableRow(row.key, row.value, row.position.version, row.gone, row.position.era)
        for row in copy.rows_after(after)
    ]
    age_ms = int(copy.age_s * MS_PER_S)
    upto = copy.position
    return TableUpdate(
        copy.table,
        after.version,
        upto.version,
        age_ms,
        rows,
        copy.confirmed_ms,
        after.era,
        upto.era,
    )


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
