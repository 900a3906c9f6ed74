"""Polls the store for the changes of a table, if this process is due to poll.

Owns whether the store answered the latest call for the table. Uses the store's feed of changes,
and :mod:`limeshelf.feeds.store_backoff` for the delay after failures. Applies the answers to a
:class:`~limeshelf.feeds.table_copy.TableCopy`.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from limeshelf.errors import AnswerLate, PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import HistoryGone
from limeshelf.feeds.store_backoff import StoreBackoff
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import jittered_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.feeds.rows import Page, RowStore
    from limeshelf.feeds.table_copy import TableCopy

#: If the store repeatedly lacks the requested history, the process pauses before each full read
#: for this ratio of the age at which the copy becomes stale...
FULL_READ_PAUSE_RATIO = 0.55
#: ...or for this time if that is shorter...
FULL_READ_PAUSE_LIMIT_S = 5.0
#: ...and requests changes again only after this number of full reads.
FULL_READS_PER_RETRY = 4


class StorePolling(Protocol):
    """Decides whether this process polls the store or relies on updates from peers."""

    def is_due(self) -> bool:
        """Return whether this process polls the store now."""

    async def until_due(self) -> None:
        """Wait until this process may have become due to poll the store."""

    def spread_s(self) -> float:
        """Return the longest additional pause after a failed call, in seconds.

        It spreads the calls of processes for which the store became unavailable at the same time.
        """


class AlwaysDue:
    """For a process without peers, which always polls the store."""

    def is_due(self) -> bool:
        """Return true."""
        return True

    async def until_due(self) -> None:
        """Return at once."""

    def spread_s(self) -> float:
        """Return 0, since there are no other processes."""
        return 0.0


class TableFollower:
    """Keeps the copy of one table up to date from the store.

    :param polling: decides whether this process polls the store now.
    :param backoff: back-off that is shared by all tables that this process follows.
    :param on_page: called after an answer of the store was applied, with the copy and its
        position before that.
    :ivar has_answered: whether the store has ever answered.
    """

    def __init__(
        self,
        copy: TableCopy,
        store: RowStore,
        polling: StorePolling | None = None,
        backoff: StoreBackoff | None = None,
        on_page: Callable[[TableCopy, Position], None] = lambda copy, after: None,
    ) -> None:
        self.copy = copy
        self.has_answered = False
        self._store = store
        self._polling = polling or AlwaysDue()
        self._backoff = backoff or StoreBackoff()
        self._on_page = on_page
        self._is_store_lost = False
        # Consecutive answers that did not continue the copy.
        self._unusable_answers = 0
        self._full_reads_before_retry = 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        copy = self.copy
        await asyncio.sleep(random.uniform(0.5, 1.0) * copy.follow_rule.max_start_delay_s)
        while True:
            if not self._needs_store():
                await self._polling.until_due()
                continue
            await self._pause_before_full_read()
            after = copy.position
            try:
                async with self._backoff.attempt(self._polling.spread_s) as is_probe:
                    page = await self._poll(0.0 if is_probe else copy.follow_rule.wait_s)
            except HistoryGone:
                self._handle_history_gone()
                continue
            except (PlatformUnavailable, PlatformUnknown) as error:
                # Where the store has dropped history meanwhile, it says so to the next call.
                self._log_lost(repr(error))
                continue
            self._record_answer(page, after)
            if page is not None and page.rows:
                await asyncio.sleep(copy.follow_rule.batch_delay_s)

    def _needs_store(self) -> bool:
        copy = self.copy
        return not copy.confirmed_s or copy.lacks_announced_rows or self._polling.is_due()

    def _record_answer(self, page: Page | None, after: Position) -> None:
        """Record an answer that was applied, and pass it on.

        :param page: ``None`` if it did not continue the copy.
        :param after: position of the copy before it was applied.
        """
        copy = self.copy
        if page is None:
            self._unusable_answers += 1
            return
        if copy.position.era > after.era:
            self._unusable_answers = self._full_reads_before_retry = 0
        copy.record_confirmation(page.answered_s, page.as_of_ms)
        self._log_reached()
        self._on_page(copy, after)

    async def _pause_before_full_read(self) -> None:
        """Pause if the last answers did not continue the copy, to prevent a busy loop."""
        if self._unusable_answers > 1 and self.copy.needs_full_read:
            limit_s = min(
                FULL_READ_PAUSE_RATIO * self.copy.follow_rule.stale_after_s,
                FULL_READ_PAUSE_LIMIT_S,
            )
            await asyncio.sleep(jittered_s(limit_s))

    async def _poll(self, wait_s: float) -> Page | None:
        """Request the changes or the whole table from the store, and apply the answer.

        :param wait_s: how long the store may hold the call while nothing changes, in seconds.
        :return: the answer; ``None`` if it does not continue the copy.
        """
        copy = self.copy
        after = copy.position
        is_full_read = copy.needs_full_read

        def apply(page: Page) -> bool:
            return (
                self._apply_full_read(page) if is_full_read else self._apply_changes(page, after)
            )

        try:
            if is_full_read:
                page = await self._store.read(copy.table)
            else:
                page = await self._store.changes(copy.table, after, wait_s)
        except AnswerLate as late:
            late.answer.add_done_callback(lambda answer: self._handle_late(answer, apply))
            raise
        return page if apply(page) else None

    def _apply_full_read(self, page: Page) -> bool:
        """Apply a full read; return whether it is of the newest known era."""
        is_newest = self.copy.apply_full_read(page)
        if self._full_reads_before_retry:
            self._full_reads_before_retry -= 1
            self.copy.needs_full_read = True
        return is_newest

    def _apply_changes(self, page: Page, after: Position) -> bool:
        """Apply changes; return whether they continue the copy.

        They do not if the copy has gone over to another era since they were requested.

        :param after: position after which they were requested.
        """
        if after.era != self.copy.position.era or not self.copy.apply_changes(page):
            self.copy.needs_full_read = True
            return False
        self._unusable_answers = 0
        return True

    def _handle_late(self, answer: asyncio.Task[Page], apply: Callable[[Page], bool]) -> None:
        """Apply an answer that arrived after its call counted as failed."""
        if answer.cancelled() or answer.exception() is not None:
            # The client has logged it; a later call has followed this one already.
            return
        after = self.copy.position
        page = answer.result()
        if not apply(page):
            return
        self._record_answer(page, after)
        self._backoff.record_answer()

    def _handle_history_gone(self) -> None:
        """Read the whole table next; if history is missing repeatedly, do so several times."""
        copy = self.copy
        copy.needs_full_read = True
        self._unusable_answers += 1
        if self._unusable_answers > 1 and not self._full_reads_before_retry:
            self._full_reads_before_retry = FULL_READS_PER_RETRY
        if self._unusable_answers <= 2:
            log_change(
                'table_history_gone',
                table=copy.table,
                era=copy.position.era,
                version=copy.position.version,
            )

    def _log_lost(self, reason: str) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            log_change('store_lost', table=self.copy.table, reason=reason)

    def _log_reached(self) -> None:
        if self._is_store_lost or not self.has_answered:
            log_change('store_reached', table=self.copy.table, version=self.copy.position.version)
        self._is_store_lost = False
        self.has_answered = True
