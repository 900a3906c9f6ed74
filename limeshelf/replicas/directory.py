"""All replicas by service: their records, what they hold and what is under way there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs

from limeshelf.errors import InvalidDocument
from limeshelf.metrics.event_log import log_change
from limeshelf.replicas.health import ReplicaHealth
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import Row

#: What a peer told of its running calls counts for this long.
PEER_LOAD_LIFE_S = 2.0
#: A report goes before heartbeats for this long.
REPORT_LIFE_S = 2.5
#: Stands for all peers together.
ALL_OTHERS = '*'


@attrs.define
class Load:
    """Calls and tokens under way at a replica."""

    calls: int = 0
    tokens: int = 0


class LoadAt(Protocol):
    """Calls and tokens under way at a named replica."""

    replica_id: str
    calls: int
    tokens: int


@attrs.define(eq=False)
class Replica:
    """One incarnation of a replica as this process knows it.

    :ivar holdings: model to its ready adapters.
    :ivar order_number: orders that it has taken; ``None`` until it was asked.
    :ivar gone: it answered as another incarnation, or its record was dropped.
    :ivar retiring: models that are about to be unloaded; they take no new calls.
    :ivar own: calls of this process under way there.
    :ivar report: the latest report, with the time of its arrival.
    """

    record: ReplicaRecord
    holdings: dict[str, frozenset[str]]
    order_number: int | None = None
    gone: bool = False
    own: Load = attrs.field(factory=Load)
    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    report: ReplicaReport | None = None
    reported_s: float = 0.0
    leaving: bool = False
    retiring: set[str] = attrs.field(factory=set)

    @property
    def replica_id(self) -> str:
        """Return the id of the incarnation."""
        return self.record.replica_id

    @property
    def takes_calls(self) -> bool:
        """Return whether it is there and does not leave."""
        return not self.gone and not self.leaving

    def holds(self, model: str, adapter: str = '') -> bool:
        """Return whether a model, or an adapter of it, is ready there."""
        adapters = self.holdings.get(model)
        if adapters is None or model in self.retiring:
            return False
        return not adapter or adapter in adapters


class ReplicaDirectory:
    """Every replica that the store or a peer told of.

    :param read_record: reads a row into a record; raises :exc:`InvalidDocument`.
    """

    def __init__(self, read_record: Callable[[str, bytes], ReplicaRecord]) -> None:
        self._read_record = read_record
        self._replicas: dict[str, Replica] = {}
        self._peer_loads: dict[str, tuple[float, dict[str, Load]]] = {}
        self._changed = asyncio.Event()
        #: Told when what a replica holds has changed.
        self.on_change: Callable[[str], None] = lambda replica_id: None

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
        """Take a newer row of a replica."""
        if row.gone:
            self._drop(row.key)
            return
        try:
            record = self._read_record(row.key, row.value)
        except InvalidDocument as error:
            log_change('replica_row_invalid', replica=row.key, problem=str(error))
            return
        self._take_record(record)
        self.wake()

    def _take_record(self, record: ReplicaRecord) -> None:
        replica = self._replicas.get(record.replica_id)
        if replica is None or replica.gone:
            self._supersede(record)
            holdings = _as_dict(record.holdings)
            self._replicas[record.replica_id] = Replica(record, holdings, leaving=record.leaving)
            log_change(
                'replica_found',
                replica=record.replica_id,
                service=record.service,
                leaving=record.leaving,
                models=sorted(holdings),
            )
            return
        if record.beat_number < replica.record.beat_number:
            return
        replica.record = record
        if record.leaving and not replica.leaving:
            replica.leaving = True
            log_change('replica_leaving', replica=record.replica_id, left_s=record.leaves_in_s)
        # A heartbeat may tell of a time before the latest report.
        if boottime_s() - replica.reported_s > REPORT_LIFE_S:
            replica.holdings = _as_dict(record.holdings)

    def _supersede(self, record: ReplicaRecord) -> None:
        """An address belongs to the newest incarnation that was told of there."""
        for other in self._replicas.values():
            if other.record.address == record.address and not other.gone:
                other.leaving = True

    def _drop(self, replica_id: str) -> None:
        replica = self._replicas.get(replica_id)
        if replica is not None and not replica.gone:
            replica.gone = True
            log_change('replica_gone', replica=replica_id, cause='record_dropped')
            self.wake()

    def mark_gone(self, replica: Replica, cause: str) -> None:
        """Note that the incarnation is no longer there."""
        if not replica.gone:
            replica.gone = True
            log_change('replica_gone', replica=replica.replica_id, cause=cause)

    def take_report(self, replica_id: str, report: ReplicaReport, settled: bool = False) -> None:
        """Take what a replica reported, to this process or to a peer.

        :param settled: nothing was ordered there for longer than reports lag, so
            a lower number than the known one is right, not old.
        """
        replica = self._replicas.get(replica_id)
        if replica is None:
            return
        if report.order_number < (replica.order_number or 0) and not settled:
            return
        replica.report = report
        replica.reported_s = boottime_s()
        replica.order_number = report.order_number
        if report.leaving and not replica.leaving:
            replica.leaving = True
            log_change('replica_leaving', replica=replica_id, cause='report')
        holdings = _as_dict(report.holdings)
        if holdings != replica.holdings:
            replica.holdings = holdings
            self.wake()
            self.on_change(replica_id)

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
        """Note the replica's word that something is not there; calls go elsewhere.

        The report stays as it is: such a word frees no room for a load.
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
        by_replica = {load.replica_id: Load(load.calls, load.tokens) for load in loads}
        self._peer_loads[peer] = (boottime_s(), by_replica)

    def take_total_loads(self, loads: Iterable[LoadAt]) -> None:
        """Take what all entry instances have under way, this one among them."""
        others = {}
        for load in loads:
            replica = self._replicas.get(load.replica_id)
            own = replica.own if replica is not None else Load()
            others[load.replica_id] = Load(
                max(0, load.calls - own.calls), max(0, load.tokens - own.tokens)
            )
        self._peer_loads = {ALL_OTHERS: (boottime_s(), others)}

    def load_of(self, replica: Replica) -> Load:
        """Return what all entry instances together have under way at a replica."""
        total = Load(replica.own.calls, replica.own.tokens)
        oldest_s = boottime_s() - PEER_LOAD_LIFE_S
        for told_s, loads in self._peer_loads.values():
            load = loads.get(replica.replica_id)
            if load is not None and told_s >= oldest_s:
                total.calls += load.calls
                total.tokens += load.tokens
        return total

    def wake(self) -> None:
        """Let the waiting calls look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self, limit_s: float) -> None:
        """Return when something changed, or after *limit_s* seconds."""
        try:
            async with asyncio.timeout(max(0.0, limit_s)):
                await self._changed.wait()
        except TimeoutError:
            return


def _as_dict(holdings: tuple[Holding, ...]) -> dict[str, frozenset[str]]:
    return {holding.model: holding.adapters for holding in holdings}
