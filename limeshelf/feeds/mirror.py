"""Follows a table of the platform; what is known never goes back to something older."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import HistoryGone, Page, Row
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import full_jitter_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import RowTable

#: Pause after a failed call: bound after the first failure, and the largest.
AGAIN_BASE_S = 0.15
AGAIN_LIMIT_S = 1.0
#: Who follows at second hand looks this often whether the words still come.
LOOK_S = 0.1


@attrs.frozen
class FollowRule:
    """How a table is followed.

    :ivar wait_s: how long the store holds a call for changes.
    :ivar pace_s: pause after changes, so that one call brings several.
    :ivar stale_s: words of others older than this make us ask the store.
    """

    wait_s: float = 8.0
    pace_s: float = 0.0
    stale_s: float = 1.0


class TableMirror:
    """The rows of one table, as new as they were ever seen.

    Pages may be older than what is known (a stale answer, a peer's word); the
    version of each row decides, also for rows that are gone.

    :param listener: called with each row that became newer.
    :param is_due: returns whether this process follows the store now, rather than
        going by the words of others.
    :param spread_s: returns the longest further pause after a failure, which
        spreads the processes that follow together.
    :param on_page: called with the version after which a page brought news.
    """

    def __init__(
        self,
        table: str,
        store: RowTable,
        listener: Callable[[Row], None],
        rule: FollowRule | None = None,
        is_due: Callable[[], bool] = lambda: True,
        spread_s: Callable[[], float] = lambda: 0.0,
        on_page: Callable[[TableMirror, int], None] = lambda mirror, after: None,
    ) -> None:
        self.table = table
        self.version = 0
        self.reached = False
        self.confirmed_s = 0.0
        self._rows: dict[str, Row] = {}
        self._store = store
        self._listener = listener
        self._rule = rule or FollowRule()
        self._is_due = is_due
        self._spread_s = spread_s
        self._on_page = on_page
        self._lost = False
        self._whole = True

    @property
    def age_s(self) -> float:
        """Return for how long nobody has confirmed that the rows are the newest."""
        return boottime_s() - self.confirmed_s

    @property
    def overdue_s(self) -> float:
        """Return for how long the rows have been older than they should be."""
        return self.age_s - self._rule.stale_s

    @property
    def is_stale(self) -> bool:
        """Return whether the rows may be older than they should be."""
        return self.overdue_s > 0

    def rows(self) -> list[Row]:
        """Return the rows that are there."""
        return [row for row in self._rows.values() if not row.gone]

    def rows_after(self, version: int) -> list[Row]:
        """Return the rows that changed after a version, those that went among them."""
        return [row for row in self._rows.values() if row.version > version]

    def take(self, rows: Iterable[Row]) -> None:
        """Keep each row that is newer than the known one."""
        for row in rows:
            known = self._rows.get(row.key)
            if known is None or row.version > known.version:
                self._rows[row.key] = row
                self._listener(row)

    def take_word(self, rows: Iterable[Row], after: int, upto: int, age_s: float) -> bool:
        """Take a peer's word of the changes after one version up to another.

        :param age_s: how long ago the store confirmed them to the peer.
        :return: whether nothing is missing between what was known and the word.
        """
        self.take(rows)
        if after > self.version:
            return False
        if upto >= self.version:
            self.version = upto
            self.confirmed_s = max(self.confirmed_s, boottime_s() - age_s)
            self._whole = False
        return True

    async def run(self) -> None:
        """Follow the table until cancelled, at first or at second hand."""
        failures = 0
        while True:
            if self.version and not self._is_due():
                await asyncio.sleep(LOOK_S)
                continue
            after = self.version
            try:
                asked_s = boottime_s()
                news = await self._ask()
            except HistoryGone:
                self._whole = True
                log_change('table_history_gone', table=self.table, version=self.version)
                continue
            except (PlatformUnavailable, PlatformUnknown) as error:
                failures += 1
                self._note_lost(repr(error))
                # A call without an answer may hide dropped history; a whole
                # read settles it either way.
                self._whole = True
                await asyncio.sleep(self._again_s(failures))
                continue
            failures = 0
            self.confirmed_s = max(self.confirmed_s, asked_s)
            self._note_reached()
            self._on_page(self, after)
            if news:
                await asyncio.sleep(self._rule.pace_s)

    def _again_s(self, failures: int) -> float:
        pause_s = full_jitter_s(failures, AGAIN_BASE_S, AGAIN_LIMIT_S)
        return pause_s + random.uniform(0.0, self._spread_s())

    async def _ask(self) -> bool:
        """Ask the store for what is new; return whether something is."""
        if self._whole:
            self._take_whole(await self._store.read(self.table))
            self._whole = False
            return True
        page = await self._store.changes(self.table, self.version, self._rule.wait_s)
        self.take(page.rows)
        self.version = max(self.version, page.version)
        return bool(page.rows)

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
