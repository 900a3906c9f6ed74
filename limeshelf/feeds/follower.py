"""Follows a table of the store, while this process is to ask the store itself.

Owns whether this table was read lately. Relies on the store's feed of changes, on
:mod:`limeshelf.feeds.store_reach` for when to ask again after a failure, and brings what the
store answers to a :class:`~limeshelf.feeds.table_copy.TableCopy`.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import HistoryGone
from limeshelf.feeds.store_reach import StoreReach
from limeshelf.metrics.event_log import log_change

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.feeds.rows import Page, RowTable
    from limeshelf.feeds.table_copy import TableCopy


class StorePolling(Protocol):
    """Says whether this process asks the store itself, or goes by the updates of peers."""

    def is_due(self) -> bool:
        """Return whether it asks the store now."""

    async def until_due(self) -> None:
        """Return when it may have come to ask the store."""

    def spread_s(self) -> float:
        """Return the longest further pause after a failure.

        It spreads the processes that find the store out of reach together.
        """


class AlwaysDue:
    """For a process without peers."""

    def is_due(self) -> bool:
        """Return that the store is asked."""
        return True

    async def until_due(self) -> None:
        """Return at once."""

    def spread_s(self) -> float:
        """Return that no others have to be waited for."""
        return 0.0


class TableFollower:
    """Keeps the copy of one table up to date from the store.

    :param polling: whether this process asks the store now.
    :param reach: shared by all tables that this process follows.
    :param on_page: called with the copy and its version before an answer of the store.
    :ivar reached: whether the store has ever answered.
    """

    def __init__(
        self,
        copy: TableCopy,
        store: RowTable,
        polling: StorePolling | None = None,
        reach: StoreReach | None = None,
        on_page: Callable[[TableCopy, int], None] = lambda copy, after: None,
    ) -> None:
        self.copy = copy
        self.reached = False
        self._store = store
        self._polling = polling or AlwaysDue()
        self._reach = reach or StoreReach()
        self._on_page = on_page
        self._lost = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        copy = self.copy
        await asyncio.sleep(random.uniform(0.5, 1.0) * copy.rule.first_delay_s)
        while True:
            if copy.confirmed_s and not self._polling.is_due():
                await self._polling.until_due()
                continue
            after = copy.version
            try:
                async with self._reach.attempt(self._polling.spread_s) as is_try:
                    page = await self._ask(0.0 if is_try else copy.rule.wait_s)
            except HistoryGone:
                copy.needs_full_read = True
                log_change('table_history_gone', table=copy.table, version=copy.version)
                continue
            except (PlatformUnavailable, PlatformUnknown) as error:
                self._note_lost(repr(error))
                # A call without an answer may hide dropped history; a full read
                # settles it either way.
                copy.needs_full_read = True
                continue
            copy.note_confirmed(page.answered_s, page.as_of_ms)
            self._note_reached()
            self._on_page(copy, after)
            if page.rows:
                await asyncio.sleep(copy.rule.pace_s)

    async def _ask(self, wait_s: float) -> Page:
        """Ask the store for what changed, or for the whole table, and take the answer.

        :param wait_s: how long the store may hold the call while nothing changes, in seconds.
        """
        copy = self.copy
        if copy.needs_full_read:
            page = await self._store.read(copy.table)
            copy.take_full(page)
            return page
        page = await self._store.changes(copy.table, copy.version, wait_s)
        copy.take_changes(page)
        return page

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            log_change('store_lost', table=self.copy.table, reason=reason)

    def _note_reached(self) -> None:
        if self._lost or not self.reached:
            log_change('store_reached', table=self.copy.table, version=self.copy.version)
        self._lost = False
        self.reached = True
