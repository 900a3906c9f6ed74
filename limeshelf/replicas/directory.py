"""Directory of all replicas, kept up to date from rows, reports and peer messages.

Owns the :class:`~limeshelf.replicas.replica.Replica` of each replica's current start, and wakes
tasks that wait for a change. The platform adapter decodes rows;
:mod:`limeshelf.replicas.starts` finds out which start a row or report describes,
:mod:`limeshelf.replicas.freshness` rejects outdated ones, and :mod:`limeshelf.replicas.loads`
keeps the load of other gateways.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import InvalidDocument
from limeshelf.metrics.event_log import log_change
from limeshelf.replicas.freshness import (
    is_heartbeat_used,
    is_late_heartbeat,
    is_late_report,
)
from limeshelf.replicas.loads import PeerLoads
from limeshelf.replicas.replica import Load, Replica, holdings_by_model
from limeshelf.replicas.starts import KnownStart, ReplicaStart, StartOrder, StateSource
from limeshelf.util.clock import boottime_s
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import Row
    from limeshelf.replicas.loads import ReportedLoad
    from limeshelf.replicas.record import ReplicaRecord, ReplicaReport


class ReplicaDirectory:
    """Every replica that has or had a row in the store.

    :param read_record: decodes a row into a record; raises :exc:`InvalidDocument`.
    :param on_change: called with the id of a replica that has restarted or whose report changed
        its holdings.
    :param on_restart: called when a restart is detected, with the source that showed it.
    """

    def __init__(
        self,
        read_record: Callable[[str, bytes], ReplicaRecord],
        on_change: Callable[[str], None] = lambda replica_id: None,
        on_restart: Callable[[StateSource], None] = lambda source: None,
    ) -> None:
        self._read_record = read_record
        self._on_change = on_change
        self._on_restart = on_restart
        self._replicas: dict[str, Replica] = {}
        self._peer_loads = PeerLoads()
        self._changed = asyncio.Event()

    def all(self) -> list[Replica]:
        """Return every replica that is not gone."""
        return [replica for replica in self._replicas.values() if not replica.gone]

    def of_service(self, service: str) -> list[Replica]:
        """Return the replicas of *service* that may get new calls."""
        return [
            replica
            for replica in self._replicas.values()
            if replica.record.service == service and replica.takes_calls
        ]

    def get(self, replica_id: str) -> Replica | None:
        """Return the latest start of a replica, which may be gone."""
        return self._replicas.get(replica_id)

    def apply_row(self, row: Row) -> bool:
        """Apply a newer row of a replica; return whether it could be decoded.

        An invalid row marks its replica as gone until a valid row arrives, with the next
        heartbeat if the replica is running. With the last valid row, calls might be sent to
        another replica that now uses the address.
        """
        if row.gone:
            self._remove(row.key, 'record_dropped')
            return True
        try:
            record = self._read_record(row.key, row.value)
        except InvalidDocument as error:
            log_change('replica_row_invalid', replica=row.key, problem=str(error))
            self._remove(row.key, 'record_unreadable')
            return False
        self.apply_record(record)
        self.notify_change()
        return True

    def apply_record(self, record: ReplicaRecord) -> None:
        """Add a replica, or update it unless the record is outdated."""
        replica = self._replicas.get(record.replica_id)
        if replica is None:
            self._add(Replica(record, holdings_by_model(record.holdings)))
            return
        order = replica.known_start.compare(record.born_ms, boottime_s())
        if order is StartOrder.EARLIER:
            return
        if order is StartOrder.LATER:
            self._restart(replica, record, StateSource.ROW)
        elif replica.gone:
            # The row was deleted and written again, as in a partition: not a new start.
            same = Replica(
                record,
                holdings_by_model(record.holdings),
                start=replica.start,
                known_start=replica.known_start,
                backpressure=replica.backpressure,
            )
            self._add(same)
        elif not is_late_heartbeat(record, replica.record):
            self._update(replica, record)

    def _update(self, replica: Replica, record: ReplicaRecord) -> None:
        replica.record = record
        if record.leaving:
            self.mark_leaving(replica, 'row', record.leaves_in_s)
        if is_heartbeat_used(boottime_s() - replica.reported_s):
            replica.holdings = holdings_by_model(record.holdings)

    def _restart(self, before: Replica, record: ReplicaRecord, source: StateSource) -> Replica:
        """Replace a replica by a new start, of which only *record* is known.

        The calls and loads of the earlier start have ended. Other modules key their state by
        start, so that it is not applied to the new one.
        """
        now_s = boottime_s()
        log_change(
            'replica_restarted',
            replica=before.replica_id,
            born_ms=record.born_ms,
            earlier_born_ms=before.known_start.born_ms,
            learned_by=source,
        )
        self._on_restart(source)
        self.mark_gone(before, 'restarted')
        self._peer_loads.forget_replica(before.replica_id)
        replica = Replica(
            record,
            holdings_by_model(record.holdings),
            start=ReplicaStart(before.replica_id, before.start.number + 1),
            known_start=KnownStart(record.born_ms, now_s),
        )
        self._add(replica)
        self._on_change(replica.replica_id)
        return replica

    def _add(self, replica: Replica) -> None:
        record = replica.record
        self._supersede(record)
        # The row of a leaving replica may expire while the store is unavailable, and be written
        # again in its earlier state.
        replica.leaving = replica.backpressure.leaving = (
            record.leaving or replica.backpressure.leaving
        )
        holdings = replica.holdings
        self._replicas[record.replica_id] = replica
        log_change(
            'replica_found',
            replica=record.replica_id,
            service=record.service,
            leaving=replica.leaving,
            models=sorted(holdings),
        )

    def _supersede(self, record: ReplicaRecord) -> None:
        """Mark other replicas with the same address: the last row to arrive counts."""
        for other in self._at_address(record.address):
            other.superseded = True

    def _restore_superseded(self, address: str) -> None:
        """Use the latest of the replicas left at an address, whose rows have outlasted the others.

        The last row to arrive may be a late write of a replica that had ended before.
        """
        left = self._at_address(address)
        if left and all(replica.superseded for replica in left):
            latest = max(left, key=lambda replica: replica.known_start.known_since_s)
            latest.superseded = False
            log_change('replica_restored', replica=latest.replica_id)

    def _at_address(self, address: str) -> list[Replica]:
        return [replica for replica in self.all() if replica.record.address == address]

    def _remove(self, replica_id: str, cause: str) -> None:
        replica = self._replicas.get(replica_id)
        if replica is not None and not replica.gone:
            self.mark_gone(replica, cause)
            self.notify_change()

    def mark_gone(self, replica: Replica, cause: str) -> None:
        """Mark a replica as gone.

        :param cause: what showed this, for the log.
        """
        if not replica.gone:
            replica.gone = True
            log_change('replica_gone', replica=replica.replica_id, cause=cause)
            self._restore_superseded(replica.record.address)

    def mark_leaving(self, replica: Replica, cause: str, left_s: float | None = None) -> None:
        """Mark a replica as leaving, because it has announced that.

        :param cause: what showed this, for the log.
        :param left_s: time until it is gone, in seconds; ``None`` if not stated.
        """
        replica.backpressure.leaving = True
        if not replica.leaving:
            replica.leaving = True
            log_change('replica_leaving', replica=replica.replica_id, cause=cause, left_s=left_s)
            self.notify_change()

    def apply_report(
        self,
        replica_id: str,
        report: ReplicaReport,
        source: StateSource = StateSource.REPORT,
        no_recent_orders: bool = False,
        requested_s: float | None = None,
    ) -> bool:
        """Apply a replica's report to this process or to a peer; return whether it was current.

        :param no_recent_orders: see :func:`~limeshelf.replicas.freshness.is_late_report`.
        :param requested_s: see :meth:`~limeshelf.replicas.starts.KnownStart.compare`.
        """
        replica = self._replicas.get(replica_id)
        if replica is None:
            return False
        order = replica.known_start.compare(report.born_ms, boottime_s(), requested_s)
        if order is StartOrder.EARLIER:
            return False
        if order is StartOrder.LATER:
            replica = self._restart_by_report(replica, report, source)
        if is_late_report(report.order_number, replica.order_number, no_recent_orders):
            return False
        replica.report = report
        replica.reported_s = boottime_s()
        replica.order_number = report.order_number
        if report.leaving:
            self.mark_leaving(replica, cause='report')
        holdings = holdings_by_model(report.holdings)
        if holdings != replica.holdings:
            replica.holdings = holdings
            self.notify_change()
            self._on_change(replica_id)
        return True

    def _restart_by_report(
        self, before: Replica, report: ReplicaReport, source: StateSource
    ) -> Replica:
        """Replace a replica by a new start that a report showed before its row arrived.

        The heartbeats of the new start are numbered from the beginning.
        """
        record = attrs.evolve(
            before.record, holdings=(), heartbeat_number=0, born_ms=report.born_ms, leaving=False
        )
        was_gone = before.gone
        replica = self._restart(before, record, source)
        # A replica without a row stays gone until its row arrives.
        replica.gone = was_gone
        return replica

    def update_peer_loads(self, peer: str, loads: Iterable[ReportedLoad]) -> None:
        """Replace the load of one peer at all replicas."""
        self._peer_loads.update(peer, loads)

    def remove_peer_loads(self, peer: str) -> None:
        """Remove the load of a peer, which another peer now reports."""
        self._peer_loads.forget(peer)

    def update_total_loads(self, loads: Iterable[ReportedLoad]) -> None:
        """Replace the load of all peers by totals, which include this gateway."""
        self._peer_loads.update_totals(loads, self._own_load_at)

    def _own_load_at(self, replica_id: str) -> Load:
        replica = self._replicas.get(replica_id)
        return replica.own_load if replica is not None else Load()

    def load_of(self, replica: Replica) -> Load:
        """Return the total load of all gateways at a replica."""
        others = self._peer_loads.load_at(replica.replica_id)
        return Load(replica.own_load.calls + others.calls, replica.own_load.tokens + others.tokens)

    def notify_change(self) -> None:
        """Wake all tasks in :meth:`wait_for_change`."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, limit_s: float) -> None:
        """Return when something changed, or after *limit_s* seconds."""
        try:
            async with boot_timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            # Callers check the state themselves, whether it changed or not.
            return
