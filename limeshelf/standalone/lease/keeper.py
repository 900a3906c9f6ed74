"""Acquires, renews and releases the leader lease of a data centre.

Owns the last known versions of the lease row and the epoch row. Needs a clock that advances
while the process is paused (docs/design/memory.rst).
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

#: A contender takes over after this many lease periods without a renewal. More than one, to allow
#: for clocks that run at slightly different rates (docs/design/memory.rst).
TAKE_OVER_LEASE_PERIODS = 1.5


@attrs.frozen
class HeldLease:
    """The lease from the view of its holder.

    :param valid_until_s: on the boot clock; counted from before the renewal was sent, so
        that the lease expires before any contender may take over.
    """

    epoch: int
    valid_until_s: float


@attrs.frozen
class _ObservedRow:
    """Version of another holder's lease row, and when this process first read that version."""

    version: int
    since_s: float


class LeaderLease:
    """One contender for the lease row of a data centre.

    :param clock: seconds on a clock that advances while the process is paused.
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
        """Return the epoch of the lease held or last held, ``None`` if superseded or released."""
        return self.held.epoch if self.held else None

    def is_valid(self) -> bool:
        """Return whether this process holds the lease and no other can hold it now."""
        return self.held is not None and self._clock() < self.held.valid_until_s

    async def step(self) -> None:
        """Renew the lease, or acquire it if it is free.

        While the table is unreachable the last holder keeps its epoch, even after the lease
        has expired.
        """
        try:
            if self.held is None:
                await self._acquire_if_free()
            else:
                await self._renew(self.held.epoch)
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The state is unchanged: the holder keeps its epoch, a contender acquires none.
            # The next step tries again.
            logging.log_every_n_seconds(
                logging.WARNING,
                'lease=%s state=not_kept error=%r',
                OUTAGE_LOG_S,
                self.lease_key,
                error,
            )

    async def release(self) -> None:
        """Release the lease, so that another placer can acquire it at once."""
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
            # The lease expires by itself; the next holder acquires it later.
            logging.warning('lease=%s state=not_released error=%r', self.lease_key, error)
            return
        logging.info('lease=%s state=released epoch=%d', self.lease_key, epoch)

    def supersede(self) -> None:
        """Give up the epoch, because a higher one was observed."""
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
            await self._read_back_renewal(epoch, started_s)
            return
        if isinstance(outcome, Committed):
            self._lease_version = outcome.versions[self.lease_key]
            self.held = HeldLease(epoch, started_s + self._lease_s)
            return
        await self._read_back_renewal(epoch, started_s)

    async def _read_back_renewal(self, epoch: int, started_s: float) -> None:
        """Read the row to find out whether this process still holds the lease."""
        row = await self._table.read(self.lease_key)
        if not _is_held_by(row, self._holder_id, epoch):
            self.supersede()
            return
        if row.version != self._lease_version:
            self._lease_version = row.version
            self.held = HeldLease(epoch, started_s + self._lease_s)

    async def _acquire_if_free(self) -> None:
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
            # The rows show whether the write took effect; if they cannot be read now, the
            # next step reads them.
            await self._read_back_acquisition(epoch, started_s)
            return
        if isinstance(outcome, Committed):
            versions = outcome.versions
            self._record_acquired(
                epoch, started_s, versions[self.lease_key], versions[self.epoch_key]
            )

    async def _read_back_acquisition(self, epoch: int, started_s: float) -> None:
        """Record the lease as held if the rows show that the unanswered write took effect."""
        self._observed = None
        row = await self._table.read(self.lease_key)
        if not _is_held_by(row, self._holder_id, epoch):
            return
        epoch_row = await self._table.read(self.epoch_key)
        # Another placer may have written the epoch row between the two reads; the version of
        # that write must not be recorded as that of this epoch.
        if _is_held_by(epoch_row, self._holder_id, epoch):
            self._record_acquired(epoch, started_s, row.version, epoch_row.version)

    def _record_acquired(
        self, epoch: int, started_s: float, lease_version: int, epoch_version: int
    ) -> None:
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
        return now_s - self._observed.since_s > TAKE_OVER_LEASE_PERIODS * self._lease_s


def _is_held_by(row: VersionedRow, holder_id: str, epoch: int) -> bool:
    value = row.value or {}
    return value.get('holder') == holder_id and value.get('epoch') == epoch
