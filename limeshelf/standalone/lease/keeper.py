"""Holds, renews, loses and gives back the leader lease of a data centre.

Owns what this process knows of the lease row and of the epoch row. Relies on the table
and on a clock that goes on while the process is paused (docs/design/memory.rst).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from absl import logging

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.services.outages import OUTAGE_LOG_S
from limeshelf.standalone.services.table import Committed, Condition, VersionedRow, Write
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.standalone.services.table import TableClient

#: A contender waits for this many lease lives without a renewal. Being above
#: one, it leaves room for clocks that run at slightly different rates. See
#: docs/design/memory.rst.
TAKE_OVER_LIVES = 1.5


@attrs.frozen
class HeldLease:
    """The lease as its holder knows it.

    :param valid_until_s: on the boot clock; counted from before the renewal
        was sent, so it ends before any contender may take over.
    """

    epoch: int
    valid_until_s: float


@attrs.frozen
class _ObservedRow:
    """The lease row of another holder: its version, and since when it has that."""

    version: int
    since_s: float


class LeaseKeeper:
    """One contender for the lease row of a data centre.

    :param clock: seconds that go on while the process is paused.
    """

    def __init__(
        self,
        table: TableClient,
        data_centre: str,
        holder_id: str,
        lease_s: float,
        clock: Callable[[], float] = boottime_s,
    ) -> None:
        self.lease_key = f'lease/placer/{data_centre}'
        self.epoch_key = f'epoch/placer/{data_centre}'
        self.held: HeldLease | None = None
        self._table = table
        self._holder_id = holder_id
        self._lease_s = lease_s
        self._clock = clock
        self._observed: _ObservedRow | None = None
        self._lease_version = 0
        self.epoch_version = 0

    @property
    def epoch(self) -> int | None:
        """Return the epoch of the lease held or last held, if not superseded."""
        return self.held.epoch if self.held else None

    def is_valid(self) -> bool:
        """Return whether nobody else can hold the lease at this moment."""
        return self.held is not None and self._clock() < self.held.valid_until_s

    async def step(self) -> None:
        """Renew the lease, or try to take it when it is free.

        While the table cannot be reached a holder keeps its epoch, though the
        lease is no longer valid: it is then the last holder.
        """
        try:
            if self.held is None:
                await self._contend()
            else:
                await self._renew(self.held.epoch)
        except (PlatformUnavailable, PlatformUnknown) as error:
            # A holder stays the last one, a contender stays out; the next step tries
            # again.
            logging.log_every_n_seconds(
                logging.WARNING,
                'lease=%s state=not_kept error=%r',
                OUTAGE_LOG_S,
                self.lease_key,
                error,
            )

    async def release(self) -> None:
        """Give the lease back, so that a successor need not wait."""
        if self.held is None:
            return
        epoch = self.held.epoch
        self.held = None
        value = {'holder': '', 'epoch': epoch}
        try:
            await self._table.transact(
                [Condition(self.lease_key, self._lease_version)],
                [Write(self.lease_key, value)],
            )
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The lease runs out by itself; a successor waits a little longer.
            logging.warning('lease=%s state=not_released error=%r', self.lease_key, error)
            return
        logging.info('lease=%s state=released epoch=%d', self.lease_key, epoch)

    def supersede(self) -> None:
        """Give up the epoch, because a higher one was seen somewhere."""
        if self.held is not None:
            logging.info('lease=%s state=superseded epoch=%d', self.lease_key, self.held.epoch)
        self.held = None
        self._observed = None

    async def _renew(self, epoch: int) -> None:
        started_s = self._clock()
        value = {'holder': self._holder_id, 'epoch': epoch}
        try:
            outcome = await self._table.transact(
                [Condition(self.lease_key, self._lease_version)],
                [Write(self.lease_key, value)],
            )
        except PlatformUnknown:
            await self._settle(epoch, started_s)
            return
        if isinstance(outcome, Committed):
            self._lease_version = outcome.versions[self.lease_key]
            self.held = HeldLease(epoch, started_s + self._lease_s)
            return
        await self._settle(epoch, started_s)

    async def _settle(self, epoch: int, started_s: float) -> None:
        """Read back whether the lease is still ours after a lost answer."""
        row = await self._table.read(self.lease_key)
        if not _is(row, self._holder_id, epoch):
            self.supersede()
            return
        if row.version != self._lease_version:
            self._lease_version = row.version
            self.held = HeldLease(epoch, started_s + self._lease_s)

    async def _contend(self) -> None:
        row = await self._table.read(self.lease_key)
        if not self._is_free(row):
            return
        epoch_row = await self._table.read(self.epoch_key)
        epoch = 1 + (epoch_row.value or {}).get('epoch', 0)
        started_s = self._clock()
        value = {'holder': self._holder_id, 'epoch': epoch}
        conditions = [
            Condition(self.lease_key, row.version),
            Condition(self.epoch_key, epoch_row.version),
        ]
        writes = [Write(self.lease_key, value), Write(self.epoch_key, value)]
        try:
            outcome = await self._table.transact(conditions, writes)
        except PlatformUnknown:
            # Whether the lease was taken stands in the row, which is read now or by the
            # next step.
            await self._settle_lost_answer(epoch, started_s)
            return
        if isinstance(outcome, Committed):
            versions = outcome.versions
            self._take(epoch, started_s, versions[self.lease_key], versions[self.epoch_key])

    async def _settle_lost_answer(self, epoch: int, started_s: float) -> None:
        """Take the lease if its rows show that the write without an answer took it."""
        self._observed = None
        row = await self._table.read(self.lease_key)
        if not _is(row, self._holder_id, epoch):
            return
        epoch_row = await self._table.read(self.epoch_key)
        # Between the two reads a successor may have written the epoch row;
        # its version must never pass for ours.
        if _is(epoch_row, self._holder_id, epoch):
            self._take(epoch, started_s, row.version, epoch_row.version)

    def _take(self, epoch: int, started_s: float, lease_version: int, epoch_version: int) -> None:
        self.held = HeldLease(epoch, started_s + self._lease_s)
        self._lease_version = lease_version
        self.epoch_version = epoch_version
        logging.info('lease=%s state=held epoch=%d', self.lease_key, epoch)

    def _is_free(self, row: VersionedRow) -> bool:
        if row.value is None or not row.value['holder']:
            return True
        now_s = self._clock()
        if self._observed is None or self._observed.version != row.version:
            self._observed = _ObservedRow(row.version, now_s)
            return False
        return now_s - self._observed.since_s > TAKE_OVER_LIVES * self._lease_s


def _is(row: VersionedRow, holder_id: str, epoch: int) -> bool:
    value = row.value or {}
    return value.get('holder') == holder_id and value.get('epoch') == epoch
