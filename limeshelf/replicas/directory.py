"""All replicas: their rows, reports and what they hold, as they arrived here.

Owns the :class:`~limeshelf.replicas.replica.Replica` of each start, and wakes
who waits for one to change. Relies on the adapter to read rows, on
:mod:`limeshelf.replicas.starts` for which start a statement speaks of, on
:mod:`limeshelf.replicas.freshness` for which statement of a start counts, and on
:mod:`limeshelf.replicas.loads` for what other gateways have under way.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import InvalidDocument
from limeshelf.metrics.event_log import log_change
from limeshelf.replicas.freshness import (
    heartbeat_counts,
    is_late_heartbeat,
    is_late_report,
)
from limeshelf.replicas.loads import PeerLoads
from limeshelf.replicas.replica import Load, Replica, by_model
from limeshelf.replicas.starts import KnownStart, ReplicaStart, StartOrder, StatementWay
from limeshelf.util.clock import boottime_s
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import Row
    from limeshelf.replicas.loads import LoadAt
    from limeshelf.replicas.record import ReplicaRecord, ReplicaReport


class ReplicaDirectory:
    """Every replica that has a row in the store, or had one.

    :param read_record: reads a row into a record; raises :exc:`InvalidDocument`.
    :param on_change: called with the id of a replica when what it holds has changed.
    :param on_restart: called with how it was learned that a replica has started again.
    """

    def __init__(
        self,
        read_record: Callable[[str, bytes], ReplicaRecord],
        on_change: Callable[[str], None] = lambda replica_id: None,
        on_restart: Callable[[StatementWay], None] = lambda way: None,
    ) -> None:
        self._read_record = read_record
        self._on_change = on_change
        self._on_restart = on_restart
        self._replicas: dict[str, Replica] = {}
        self._peer_loads = PeerLoads()
        self._changed = asyncio.Event()

    def all(self) -> list[Replica]:
        """Return every replica that is there."""
        return [replica for replica in self._replicas.values() if not replica.gone]

    def of_service(self, service: str) -> list[Replica]:
        """Return the replicas of *service* that take calls."""
        return [
            replica
            for replica in self._replicas.values()
            if replica.record.service == service and replica.takes_calls
        ]

    def get(self, replica_id: str) -> Replica | None:
        """Return the current start of a replica, or the last one."""
        return self._replicas.get(replica_id)

    def take_row(self, row: Row) -> bool:
        """Take a newer row of a replica; return whether it could be read.

        One that cannot be read names no replica to use: who had it takes no new calls until a
        readable row comes, with the next heartbeat if it lives. The last good row would go on
        leading calls to whoever has its address now.
        """
        if row.gone:
            self._drop(row.key, 'record_dropped')
            return True
        try:
            record = self._read_record(row.key, row.value)
        except InvalidDocument as error:
            log_change('replica_row_invalid', replica=row.key, problem=str(error))
            self._drop(row.key, 'record_unreadable')
            return False
        self.take_record(record)
        self.notify_change()
        return True

    def take_record(self, record: ReplicaRecord) -> None:
        """Add a replica, or update it unless the record came late."""
        replica = self._replicas.get(record.replica_id)
        if replica is None:
            self._add(Replica(record, by_model(record.holdings)))
            return
        order = replica.known_start.order_of(record.born_ms, boottime_s())
        if order is StartOrder.EARLIER:
            return
        if order is StartOrder.LATER:
            self._restart(replica, record, StatementWay.ROW)
        elif replica.gone:
            # The row went and came back, as with a cut: no other start.
            same = Replica(
                record,
                by_model(record.holdings),
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
        if heartbeat_counts(boottime_s() - replica.reported_s):
            replica.holdings = by_model(record.holdings)

    def _restart(self, before: Replica, record: ReplicaRecord, way: StatementWay) -> Replica:
        """Begin another start of a replica; nothing is known of it but *record*.

        Its calls and loads of before are over. What was kept for it by other parts is kept by
        its start, so that it is not taken for the new one's.
        """
        now_s = boottime_s()
        log_change(
            'replica_restarted',
            replica=before.replica_id,
            born_ms=record.born_ms,
            earlier_born_ms=before.known_start.born_ms,
            learned_by=way,
        )
        self._on_restart(way)
        self.mark_gone(before, 'restarted')
        self._peer_loads.forget_replica(before.replica_id)
        replica = Replica(
            record,
            by_model(record.holdings),
            start=ReplicaStart(before.replica_id, before.start.number + 1),
            known_start=KnownStart(record.born_ms, now_s),
        )
        self._add(replica)
        self._on_change(replica.replica_id)
        return replica

    def _add(self, replica: Replica) -> None:
        record = replica.record
        self._supersede(record)
        # Whatever this row says: that of a replica that leaves may lapse while the store is away,
        # and come back as it was.
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
        """Give an address to who stated it last; who had it takes no new calls."""
        for other in self._replicas.values():
            if other.record.address == record.address and not other.gone:
                other.leaving = True

    def _drop(self, replica_id: str, cause: str) -> None:
        replica = self._replicas.get(replica_id)
        if replica is not None and not replica.gone:
            self.mark_gone(replica, cause)
            self.notify_change()

    def mark_gone(self, replica: Replica, cause: str) -> None:
        """Note that this start of a replica is no longer there.

        :param cause: how this was learned, for the log.
        """
        if not replica.gone:
            replica.gone = True
            log_change('replica_gone', replica=replica.replica_id, cause=cause)

    def mark_leaving(self, replica: Replica, cause: str, left_s: float | None = None) -> None:
        """Note that this start of a replica has said that it leaves.

        :param cause: how this was learned, for the log.
        :param left_s: until it is gone, in seconds; ``None`` where it does not say so.
        """
        replica.backpressure.leaving = True
        if not replica.leaving:
            replica.leaving = True
            log_change('replica_leaving', replica=replica.replica_id, cause=cause, left_s=left_s)
            self.notify_change()

    def take_report(
        self,
        replica_id: str,
        report: ReplicaReport,
        way: StatementWay = StatementWay.REPORT,
        settled: bool = False,
        asked_s: float | None = None,
    ) -> bool:
        """Take what a replica reported, to this process or to a peer; return whether it counts.

        :param settled: see :func:`~limeshelf.replicas.freshness.is_late_report`.
        :param asked_s: see :meth:`~limeshelf.replicas.starts.KnownStart.order_of`.
        """
        replica = self._replicas.get(replica_id)
        if replica is None:
            return False
        order = replica.known_start.order_of(report.born_ms, boottime_s(), asked_s)
        if order is StartOrder.EARLIER:
            return False
        if order is StartOrder.LATER:
            replica = self._restart_by_report(replica, report, way)
        if is_late_report(report.order_number, replica.order_number, settled):
            return False
        replica.report = report
        replica.reported_s = boottime_s()
        replica.order_number = report.order_number
        if report.leaving:
            self.mark_leaving(replica, cause='report')
        holdings = by_model(report.holdings)
        if holdings != replica.holdings:
            replica.holdings = holdings
            self.notify_change()
            self._on_change(replica_id)
        return True

    def _restart_by_report(
        self, before: Replica, report: ReplicaReport, way: StatementWay
    ) -> Replica:
        """Begin a start whose row has not come yet; its heartbeats count from the beginning."""
        record = attrs.evolve(
            before.record, holdings=(), beat_number=0, born_ms=report.born_ms, leaving=False
        )
        was_gone = before.gone
        replica = self._restart(before, record, way)
        # A replica without a row is used by nobody until it has one.
        replica.gone = was_gone
        return replica

    def take_peer_loads(self, peer: str, loads: Iterable[LoadAt]) -> None:
        """Take what a peer has under way at each replica."""
        self._peer_loads.take(peer, loads)

    def forget_peer(self, peer: str) -> None:
        """Count the calls of a peer no longer; another one speaks for them."""
        self._peer_loads.forget(peer)

    def take_total_loads(self, loads: Iterable[LoadAt]) -> None:
        """Take what all gateways have under way, this one among them."""
        self._peer_loads.take_totals(loads, self._own_at)

    def _own_at(self, replica_id: str) -> Load:
        replica = self._replicas.get(replica_id)
        return replica.own if replica is not None else Load()

    def load_of(self, replica: Replica) -> Load:
        """Return what all gateways together have under way at a replica."""
        others = self._peer_loads.at(replica.replica_id)
        return Load(replica.own.calls + others.calls, replica.own.tokens + others.tokens)

    def notify_change(self) -> None:
        """Wake everyone in :meth:`wait_for_change`."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, limit_s: float) -> None:
        """Return when something changed, or after *limit_s* seconds."""
        try:
            async with boot_timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            # Callers check for themselves what there is, changed or not.
            return
