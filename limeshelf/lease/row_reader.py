"""Reads the lease row, and decides whether the lease may be acquired.

Owns the times since when an unreadable row has been observed, and since when the current era of
the store has been known.
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
    was_acquired_in,
)
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from limeshelf.feeds.rows import Page, Row, RowStore
    from limeshelf.feeds.store_clock import StoreClock


@attrs.frozen
class LeaseView:
    """The lease row as one read of the store returned it.

    :ivar requested_s: when the read was sent, on the boot clock.
    :ivar value: decoded value; ``None`` without a row, and if the row cannot be decoded.
    """

    requested_s: float
    page: Page
    row: Row | None
    value: LeaseValue | None

    @property
    def position(self) -> Position:
        """Return the position of the row, for the condition of a write."""
        return self.row.position if self.row else BEGINNING

    @property
    def era(self) -> int:
        """Return the era of the store when it answered."""
        return self.page.position.era

    @property
    def is_unreadable(self) -> bool:
        """Return whether there is a row that cannot be decoded; another writer wrote it."""
        return self.row is not None and self.value is None

    def names(self, holder: str) -> bool:
        """Return whether *holder* was the last to acquire the lease, by the row."""
        return self.value is not None and self.value.holder == holder

    @property
    def was_acquired_in_this_era(self) -> bool:
        """Return whether the term of the row began in the era in which it was read."""
        return was_acquired_in(self.era, self.value)

    @property
    def store_clock_offset_s(self) -> float:
        """Return an upper bound of the store clock minus the boot clock."""
        return self.page.now_ms / MS_PER_S - self.requested_s


class LeaseReader:
    """Reads the lease row for a process that holds the lease or competes for it.

    :param holder: name of this instance in the row.
    :param lease_s: duration of a lease without renewal.
    :param clock: gives the time when the store was last restored from a copy.
    """

    def __init__(self, store: RowStore, holder: str, lease_s: float, clock: StoreClock) -> None:
        self._store = store
        self._holder = holder
        self._lease_s = lease_s
        self._clock = clock
        self._era: int | None = None
        self._era_known_since_s = 0.0
        self._unreadable_position = BEGINNING
        self._unreadable_since_s = 0.0

    async def read(self) -> LeaseView:
        """Read the lease row from the store."""
        requested_s = boottime_s()
        page = await self._store.read(LEASE_TABLE)
        if page.position.era != self._era:
            self._era = page.position.era
            self._era_known_since_s = boottime_s()
        row = find_row(page)
        return LeaseView(requested_s, page, row, self._value_of(row))

    def may_be_acquired(self, view: LeaseView) -> bool:
        """Return whether no other process can hold the lease, by the row and the store's era."""
        if view.is_unreadable and not self._unreadable_for_whole_lease(view.position):
            return False
        if not is_free(view.value, view.page.now_ms, self._holder):
            return False
        return view.was_acquired_in_this_era or self._lost_leases_have_expired(view.value)

    def _lost_leases_have_expired(self, value: LeaseValue | None) -> bool:
        """Return whether every lease renewed by a write that the store has lost has expired."""
        since_s = self._clock.era_changed_s
        if math.isinf(since_s) and value is not None:
            # The time of the restore is unknown; it was before the first read in this era.
            since_s = self._era_known_since_s
        return boottime_s() - since_s > self._lease_s

    def _value_of(self, row: Row | None) -> LeaseValue | None:
        try:
            return read_value(row)
        except InvalidDocument as error:
            if row is not None:
                self._record_unreadable(row.position, error)
            return None

    def _unreadable_for_whole_lease(self, position: Position) -> bool:
        """Return whether an unreadable row has been in place for longer than a lease lasts.

        It may have replaced the row of a holder, which notices that only at its next renewal.
        """
        age_s = boottime_s() - self._unreadable_since_s
        return self._unreadable_position == position and age_s > self._lease_s

    def _record_unreadable(self, position: Position, error: InvalidDocument) -> None:
        if self._unreadable_position != position:
            self._unreadable_position = position
            self._unreadable_since_s = boottime_s()
            log_change('lease_row_invalid', row_version=position.version, problem=str(error))
