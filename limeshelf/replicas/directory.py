"""All replicas: their rows, reports and what they hold, as they arrived here.

Owns the :class:`~limeshelf.replicas.replica.Replica` of each incarnation, and wakes
who waits for one to change. Relies on the adapter to read rows, on
:mod:`limeshelf.replicas.freshness` for which statement counts, and on
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
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import Row
    from limeshelf.replicas.loads import LoadAt
    from limeshelf.replicas.record import ReplicaRecord, ReplicaReport


class ReplicaDirectory:
    """Every replica that has a row in the store, or had one.

    :param read_record: reads a row into a record; raises :exc:`InvalidDocument`.
    :param on_change: called with the id of a replica when what it holds has changed.
    """

    def __init__(
        self,
        read_record: Callable[[str, bytes], ReplicaRecord],
        on_change: Callable[[str], None] = lambda replica_id: None,
    ) -> None:
        self._read_record = read_record
        self._on_change = on_change
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
        """Return a replica by the id of its incarnation."""
        return self._replicas.get(replica_id)

    def take_row(self, row: Row) -> None:
        """Take a newer row of a replica.

        One that cannot be read names no replica to use: who had it takes no new calls until a
        readable row comes, with the next heartbeat if it lives. The last good row would go on
        leading calls to whoever has its address now.
        """
        if row.gone:
            self._drop(row.key, 'record_dropped')
            return
        try:
            record = self._read_record(row.key, row.value)
        except InvalidDocument as error:
            log_change('replica_row_invalid', replica=row.key, problem=str(error))
            self._drop(row.key, 'record_unreadable')
            return
        self.take_record(record)
        self.notify_change()

    def take_record(self, record: ReplicaRecord) -> None:
        """Add a replica, or update it unless the record came late."""
        replica = self._replicas.get(record.replica_id)
        if replica is None or replica.gone:
            self._add(record)
        elif not is_late_heartbeat(record.beat_number, replica.record.beat_number):
            _update(replica, record)

    def _add(self, record: ReplicaRecord) -> None:
        self._supersede(record)
        holdings = by_model(record.holdings)
        self._replicas[record.replica_id] = Replica(record, holdings, leaving=record.leaving)
        log_change(
            'replica_found',
            replica=record.replica_id,
            service=record.service,
            leaving=record.leaving,
            models=sorted(holdings),
        )

    def _supersede(self, record: ReplicaRecord) -> None:
        """Give an address to the newest incarnation; who had it takes no new calls."""
        for other in self._replicas.values():
            if other.record.address == record.address and not other.gone:
                other.leaving = True

    def _drop(self, replica_id: str, cause: str) -> None:
        replica = self._replicas.get(replica_id)
        if replica is not None and not replica.gone:
            self.mark_gone(replica, cause)
            self.notify_change()

    def mark_gone(self, replica: Replica, cause: str) -> None:
        """Note that the incarnation is no longer there.

        :param cause: how this was learned, for the log.
        """
        if not replica.gone:
            replica.gone = True
            log_change('replica_gone', replica=replica.replica_id, cause=cause)

    def take_report(self, replica_id: str, report: ReplicaReport, settled: bool = False) -> bool:
        """Take what a replica reported, to this process or to a peer; return whether it counts.

        :param settled: see :func:`~limeshelf.replicas.freshness.is_late_report`.
        """
        replica = self._replicas.get(replica_id)
        if replica is None:
            return False
        if is_late_report(report.order_number, replica.order_number, settled):
            return False
        replica.report = report
        replica.reported_s = boottime_s()
        replica.order_number = report.order_number
        if report.leaving and not replica.leaving:
            replica.leaving = True
            log_change('replica_leaving', replica=replica_id, cause='report')
        holdings = by_model(report.holdings)
        if holdings != replica.holdings:
            replica.holdings = holdings
            self.notify_change()
            self._on_change(replica_id)
        return True

    def drop_adapter(self, replica: Replica, model: str, adapter: str) -> None:
        """Note that an order has unloaded an adapter, before a report shows it."""
        self.forget_holding(replica, model, adapter)
        report = replica.report
        if report is not None:
            holdings = tuple(
                attrs.evolve(held, adapters=held.adapters - {adapter})
                if held.model == model
                else held
                for held in report.holdings
            )
            replica.report = attrs.evolve(report, holdings=holdings)

    def forget_holding(self, replica: Replica, model: str, adapter: str) -> None:
        """Note that a replica refused a call for lack of a model or an adapter.

        Calls go elsewhere from now on. The report stays as it is: a refusal is no
        proof that the replica has room for another load
        (tests/placement/test_service.py).

        :param adapter: empty where the model itself is not there.
        """
        adapters = replica.holdings.get(model)
        if adapters is None:
            return
        if adapter and adapter in adapters:
            replica.holdings[model] = adapters - {adapter}
        elif not adapter:
            del replica.holdings[model]

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
            async with asyncio.timeout(max(0.0, limit_s)):
                await self._changed.wait()
        except TimeoutError:
            # Callers check for themselves what there is, changed or not.
            return


def _update(replica: Replica, record: ReplicaRecord) -> None:
    replica.record = record
    if record.leaving and not replica.leaving:
        replica.leaving = True
        log_change('replica_leaving', replica=record.replica_id, left_s=record.leaves_in_s)
    if heartbeat_counts(boottime_s() - replica.reported_s):
        replica.holdings = by_model(record.holdings)
