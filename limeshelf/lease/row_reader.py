"""Reads the lease's row, and decides whether it may be taken by what it says.

Owns since when a row that cannot be read has stood, and since when an era of the store is known.
Relies on the store for the row and its clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import InvalidDocument
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.lease.row import (
    LEASE_TABLE,
    LeaseValue,
    find_row,
    is_free,
    read_value,
    was_taken_in,
)
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from limeshelf.feeds.rows import Page, Row, RowStore
    from limeshelf.feeds.store_clock import StoreClock


@attrs.frozen
class LeaseView:
    """The lease's row as one read of the store showed it.

    :ivar asked_s: before the store answered, on the boot clock.
    :ivar value: what the row says; ``None`` without a row, and where it cannot be read.
    """

    asked_s: float
    page: Page
    row: Row | None
    value: LeaseValue | None

    @property
    def position(self) -> Position:
        """Return the position of the row, as the condition of a write."""
        return self.row.position if self.row else BEGINNING

    @property
    def era(self) -> int:
        """Return the era of the store when it answered."""
        return self.page.position.era

    @property
    def is_unreadable(self) -> bool:
        """Return whether another writer put something else there."""
        return self.row is not None and self.value is None

    @property
    def was_taken_in_this_era(self) -> bool:
        """Return whether the term of the row began in the era in which it was read."""
        return was_taken_in(self.era, self.value)

    @property
    def store_ahead_s(self) -> float:
        """Return by how much the store's clock is ahead of the boot clock, at the most."""
        return self.page.now_ms / MS_PER_S - self.asked_s


class LeaseReader:
    """Reads the row for one process that holds the lease or competes for it.

    :param holder: names this process's machine in the row.
    :param lease_s: life of a lease without renewal.
    :param clock: knows when the store last came back from a copy.
    """

    def __init__(self, store: RowStore, holder: str, lease_s: float, clock: StoreClock) -> None:
        self._store = store
        self._holder = holder
        self._lease_s = lease_s
        self._clock = clock
        self._era: int | None = None
        self._era_seen_s = 0.0
        self._unreadable_position = BEGINNING
        self._unreadable_since_s = 0.0

    async def read(self) -> LeaseView:
        """Ask the store for the row."""
        asked_s = boottime_s()
        page = await self._store.read(LEASE_TABLE)
        if page.position.era != self._era:
            self._era = page.position.era
            self._era_seen_s = boottime_s()
        row = find_row(page)
        return LeaseView(asked_s, page, row, self._value_of(row))

    def may_be_taken(self, view: LeaseView) -> bool:
        """Return whether nobody else holds the lease, as far as the row and its era say."""
        if view.is_unreadable and not self._outlasted(view.position):
            return False
        if not is_free(view.value, view.page.now_ms, self._holder):
            return False
        return view.was_taken_in_this_era or self._lost_leases_are_over(view.value)

    def _lost_leases_are_over(self, value: LeaseValue | None) -> bool:
        """Return whether nobody orders by a renewal that the store lost as it came back."""
        since_s = self._clock.era_changed_s
        if math.isinf(since_s) and value is not None:
            # This process does not know when it came back; before it was first read.
            since_s = self._era_seen_s
        return boottime_s() - since_s > self._lease_s

    def _value_of(self, row: Row | None) -> LeaseValue | None:
        try:
            return read_value(row)
        except InvalidDocument as error:
            if row is not None:
                self._note_unreadable(row.position, error)
            return None

    def _outlasted(self, position: Position) -> bool:
        """Return whether a row that cannot be read has stood for a whole lease.

        It may have replaced that of a holder, who finds it when its renewal is due.
        """
        stands_s = boottime_s() - self._unreadable_since_s
        return self._unreadable_position == position and stands_s > self._lease_s

    def _note_unreadable(self, position: Position, error: InvalidDocument) -> None:
        if self._unreadable_position != position:
            self._unreadable_position = position
            self._unreadable_since_s = boottime_s()
            log_change('lease_row_invalid', row_version=position.version, problem=str(error))
