"""Follows a table of the store, while this process is to ask the store itself.

Owns whether the store is in reach for this table. Relies on the store's feed of changes,
and brings what it answers to a :class:`~limeshelf.feeds.table_copy.TableCopy`.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import HistoryGone
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import full_jitter_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.feeds.rows import RowTable
    from limeshelf.feeds.table_copy import TableCopy

#: Pause after a failed call: bound after the first failure, and the largest. Chosen, not
#: measured.
RETRY_BASE_S = 0.15
RETRY_LIMIT_S = 1.0
#: While the updates of peers suffice, whether they still do is checked this often. Chosen, not
#: measured.
CHECK_INTERVAL_S = 0.1


class TableFollower:
    """Keeps the copy of one table up to date from the store.

    :param is_due: returns whether this process asks the store now, rather than going by
        the updates of peers.
    :param spread_s: returns the longest further pause after a failure, which spreads the
        processes that follow together.
    :param on_page: called with the copy and its version before an answer of the store.
    :ivar reached: whether the store has ever answered.
    """

    def __init__(
        self,
        copy: TableCopy,
        store: RowTable,
        is_due: Callable[[], bool] = lambda: True,
        spread_s: Callable[[], float] = lambda: 0.0,
        on_page: Callable[[TableCopy, int], None] = lambda copy, after: None,
    ) -> None:
        self.copy = copy
        self.reached = False
        self._store = store
        self._is_due = is_due
        self._spread_s = spread_s
        self._on_page = on_page
        self._lost = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        copy = self.copy
        failures = 0
        while True:
            if copy.version and not self._is_due():
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            after = copy.version
            try:
                asked_s = boottime_s()
                has_changes = await self._ask()
            except HistoryGone:
                copy.needs_full_read = True
                log_change('table_history_gone', table=copy.table, version=copy.version)
                continue
            except (PlatformUnavailable, PlatformUnknown) as error:
                failures += 1
                self._note_lost(repr(error))
                # A call without an answer may hide dropped history; a full read
                # settles it either way.
                copy.needs_full_read = True
                await asyncio.sleep(self._retry_pause_s(failures))
                continue
            failures = 0
            copy.note_confirmed(asked_s)
            self._note_reached()
            self._on_page(copy, after)
            if has_changes:
                await asyncio.sleep(copy.rule.pace_s)

    async def _ask(self) -> bool:
        """Ask the store for what changed; return whether something may have."""
        copy = self.copy
        if copy.needs_full_read:
            copy.take_full(await self._store.read(copy.table))
            return True
        page = await self._store.changes(copy.table, copy.version, copy.rule.wait_s)
        copy.take_changes(page)
        return bool(page.rows)

    def _retry_pause_s(self, failures: int) -> float:
        pause_s = full_jitter_s(failures, RETRY_BASE_S, RETRY_LIMIT_S)
        return pause_s + random.uniform(0.0, self._spread_s())

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            log_change('store_lost', table=self.copy.table, reason=reason)

    def _note_reached(self) -> None:
        if self._lost or not self.reached:
            log_change('store_reached', table=self.copy.table, version=self.copy.version)
        self._lost = False
        self.reached = True
