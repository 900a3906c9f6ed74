"""Follows a table of the platform; what is known never goes back to something older."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import HistoryGone, Page, Row
from limeshelf.metrics.journal import log_change
from limeshelf.util.backoff import full_jitter_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import RowTable

#: How long the store holds a call for changes.
WAIT_S = 8.0
#: Pause after a failed call: bound after the first failure, and the largest.
AGAIN_BASE_S = 0.15
AGAIN_LIMIT_S = 1.0


class TableMirror:
    """The rows of one table, as new as they were ever seen.

    Pages may be older than what is known (a stale answer, a peer's word); the
    version of each row decides, also for rows that are gone.

    :param listener: called with each row that became newer.
    """

    def __init__(self, table: str, store: RowTable, listener: Callable[[Row], None]) -> None:
        self.table = table
        self.version = 0
        self.reached = False
        self._rows: dict[str, Row] = {}
        self._store = store
        self._listener = listener
        self._lost = False

    @property
    def in_touch(self) -> bool:
        """Return whether the store answered the last call."""
        return self.reached and not self._lost

    @property
    def highest(self) -> int:
        """Return the highest version of any row that is known."""
        return max((row.version for row in self._rows.values()), default=0)

    def rows(self) -> list[Row]:
        """Return the rows that are there."""
        return [row for row in self._rows.values() if not row.gone]

    def all_rows(self) -> list[Row]:
        """Return the rows that are there and those known to be gone."""
        return list(self._rows.values())

    def take(self, rows: Iterable[Row]) -> None:
        """Keep each row that is newer than the known one."""
        for row in rows:
            known = self._rows.get(row.key)
            if known is None or row.version > known.version:
                self._rows[row.key] = row
                self._listener(row)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        failures = 0
        whole = True
        while True:
            try:
                if whole:
                    self._take_whole(await self._store.read(self.table))
                    whole = False
                else:
                    page = await self._store.changes(self.table, self.version, WAIT_S)
                    self.take(page.rows)
                    self.version = max(self.version, page.version)
            except HistoryGone:
                whole = True
                log_change('table_history_gone', table=self.table, version=self.version)
                continue
            except (PlatformUnavailable, PlatformUnknown) as error:
                failures += 1
                self._note_lost(repr(error))
                # A call without an answer may hide dropped history; a whole
                # read settles it either way.
                whole = True
                await asyncio.sleep(full_jitter_s(failures, AGAIN_BASE_S, AGAIN_LIMIT_S))
                continue
            failures = 0
            self._note_reached()

    def _take_whole(self, page: Page) -> None:
        if page.version >= self.version:
            present = {row.key for row in page.rows}
            missing = [
                Row(row.key, b'', page.version, gone=True)
                for row in self.rows()
                if row.key not in present and row.version <= page.version
            ]
            self.take(missing)
            self.version = page.version
        self.take(page.rows)

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            log_change('store_lost', table=self.table, reason=reason)

    def _note_reached(self) -> None:
        if self._lost or not self.reached:
            log_change('store_reached', table=self.table, version=self.version)
        self._lost = False
        self.reached = True
