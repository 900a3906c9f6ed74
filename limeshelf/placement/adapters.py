"""Decides at which replica an adapter is loaded, and which adapter is evicted there.

Owns that rule; keeps nothing. Relies on the replicas' holdings and reports, on the orders
to them that are pending, and on the demand for each adapter. Who calls orders the move.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.keys import ModelKey
from limeshelf.demand.totals import KeyTotals
from limeshelf.orders.task import Loadable
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec
    from limeshelf.orders.pending import PendingOrders
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Adapters that may be on their way to one replica together.
MAX_CONCURRENT_LOADS = 4
#: An adapter that was asked for within this time is not evicted, except by a turn.
MIN_IDLE_S = 0.6
#: An adapter that was asked for and served to nobody for this long has its turn: one that is
#: served goes for it, whoever asks for that.
OVERDUE_AFTER_S = 3.0
#: One that came for somebody stays for this long after it was last asked for, or until it was
#: served. It comes within fractions of a second, and so do its callers.
RETRY_WINDOW_S = 5.0
#: It counts as awaited once it has gone unserved for longer than the first event of an answer
#: takes: of a busy one, some call always waits for that.
AWAITED_AFTER_S = 1.0
#: One that goes unserved beside the one place that it has gets a second after this long, and no
#: further one: what nobody can serve would take them all.
SECOND_PLACE_AFTER_S = 20.0
MAX_UNSERVED_PLACES = 2
# Costs are in calls a slot: what a replica has under way, divided by its slots.
#: Cost of each adapter on its way there already.
LOADING_COST_CALLS_PER_SLOT = 0.1
#: Cost of an eviction.
EVICTION_COST_CALLS_PER_SLOT = 0.05

_NO_DEMAND = KeyTotals()


@attrs.frozen
class AdapterMove:
    """Load an adapter at a replica.

    :ivar key: the adapter.
    :ivar evicted: the adapter that is unloaded there first, if one has to go.
    :ivar unserved_s: for how long it has been asked for and served to nobody.
    """

    replica: Replica
    key: ModelKey
    evicted: ModelKey | None
    unserved_s: float = 0.0


@attrs.frozen
class AdapterPlace:
    """A place for one more adapter at a replica.

    :ivar evicted: the adapter whose place it is; ``None`` for a free place.
    """

    evicted: ModelKey | None = None


@attrs.frozen
class _Option:
    """A possible move; the one of least cost is made.

    :ivar cost: whether the replica is suspended, and then its cost in calls a slot.
    """

    cost: tuple[bool, float]
    move: AdapterMove


@attrs.define
class AdapterPlanner:
    """Plans adapters of one engine service.

    :param totals: the demand for each key over all gateways.
    :param fence: of the term; a replica that was not shown it may still carry out what a
        predecessor ordered (tests/placement/test_adapters.py::
        test_replica_that_was_not_claimed_takes_no_adapter).
    """

    service: str
    engine: EngineSpec
    directory: ReplicaDirectory
    totals: dict[ModelKey, KeyTotals]
    fence: int
    _holders_by_model: dict[str, list[Replica]] | None = None

    def due(self) -> list[ModelKey]:
        """Return the adapters that are asked for and go unserved, who waited longest first.

        Some of them are held and about to serve.
        """
        now_s = boottime_s()
        due = [
            key
            for key, demand in self.totals.items()
            if key.service == self.service
            and key.adapter
            and demand.is_awaited(now_s)
            and self.engine.knows(key.model, key.adapter)
        ]
        return sorted(due, key=lambda key: -self._demand(key).unserved_s(now_s))

    def plan(self, key: ModelKey, pending_orders: dict[str, PendingOrders]) -> AdapterMove | None:
        """Return the move that brings an adapter to a replica that holds its model.

        ``None`` if the adapter is on its way, or there within reach, or if no replica can take
        it now.

        :param pending_orders: by the id of each replica of the service.
        """
        if not self.engine.knows(key.model, key.adapter):
            return None
        adapter = Loadable(key.model, key.adapter)
        holders = [one for one in self._holders(key.model) if one.holds(key.model, key.adapter)]
        others = [one for one in self._holders(key.model) if one not in holders]
        if any(pending_orders[one.replica_id].expects(adapter) for one in others):
            return None
        if holders and not self._needs_another_place(key, holders, pending_orders):
            return None
        is_overdue = self._is_overdue(key, boottime_s())
        options = [
            option
            for replica in others
            if (
                option := self._option(
                    key, replica, pending_orders[replica.replica_id], is_overdue
                )
            )
        ]
        if not options:
            return None
        return min(options, key=lambda option: option.cost).move

    def _holders(self, model: str) -> list[Replica]:
        """Return the replicas that hold a model; counted once, since many adapters ask."""
        if self._holders_by_model is None:
            self._holders_by_model = {}
            for replica in self.directory.of_service(self.service):
                for name in replica.holdings:
                    self._holders_by_model.setdefault(name, []).append(replica)
        return self._holders_by_model.get(model, [])

    def _needs_another_place(
        self, key: ModelKey, holders: list[Replica], pending_orders: dict[str, PendingOrders]
    ) -> bool:
        """Return whether an adapter is loaded again beside the places that it has."""
        if all(
            replica.health.is_suspended() or pending_orders[replica.replica_id].is_lost
            for replica in holders
        ):
            return True
        unserved_s = self._demand(key).unserved_s(boottime_s())
        return len(holders) < MAX_UNSERVED_PLACES and unserved_s >= SECOND_PLACE_AFTER_S

    def _option(
        self, key: ModelKey, replica: Replica, pending: PendingOrders, is_overdue: bool
    ) -> _Option | None:
        loading = _count_loading(replica, pending)
        is_known = pending.is_fresh and pending.is_claimed_under(self.fence)
        if not is_known or pending.models_expected() or loading >= MAX_CONCURRENT_LOADS:
            return None
        place = self._find_place(replica, pending, loading, is_overdue)
        if place is None:
            return None
        calls_per_slot = self.directory.load_of(replica).calls / max(1, replica.record.slots)
        cost = (
            calls_per_slot
            + LOADING_COST_CALLS_PER_SLOT * loading
            + (EVICTION_COST_CALLS_PER_SLOT if place.evicted else 0.0)
        )
        move = AdapterMove(replica, key, place.evicted, self._demand(key).unserved_s(boottime_s()))
        return _Option((replica.health.is_suspended(), cost), move)

    def _find_place(
        self, replica: Replica, pending: PendingOrders, loading: int, is_overdue: bool
    ) -> AdapterPlace | None:
        """Return a place beside what is held and on its way, or ``None`` if all are in use.

        Of adapters that nobody runs or asked for lately, the one asked for longest ago goes; in
        a turn, of all that were served.
        """
        held = [
            ModelKey(self.service, model, adapter)
            for model, adapters in replica.holdings.items()
            for adapter in adapters
            if not pending.is_unloading(Loadable(model, adapter))
            and not pending.expects(Loadable(model, adapter))
        ]
        if len(held) + loading < self.engine.adapter_places:
            return AdapterPlace()
        now_s = boottime_s()
        awaited = [key for key in held if self._is_awaited(key, now_s)]
        served = [key for key in held if key not in awaited]
        idle = [key for key in served if self._is_idle(key, now_s)]
        if not idle and is_overdue and not any(self._is_overdue(key, now_s) for key in awaited):
            # One turn at a replica at a time: the one before has served somebody, or is over.
            idle = served
        if not idle:
            return None
        return AdapterPlace(min(idle, key=self._eviction_order))

    def _eviction_order(self, key: ModelKey) -> tuple[float, float]:
        """Return what orders adapters for eviction; an unload waits for the calls that run."""
        demand = self._demand(key)
        return demand.running, demand.seen_s

    def _is_awaited(self, key: ModelKey, now_s: float) -> bool:
        demand = self._demand(key)
        return (
            demand.unserved_s(now_s) >= AWAITED_AFTER_S and now_s - demand.seen_s <= RETRY_WINDOW_S
        )

    def _is_overdue(self, key: ModelKey, now_s: float) -> bool:
        return self._demand(key).unserved_s(now_s) >= OVERDUE_AFTER_S

    def _is_idle(self, key: ModelKey, now_s: float) -> bool:
        demand = self._demand(key)
        return demand.running == 0 and now_s - demand.seen_s > MIN_IDLE_S

    def _demand(self, key: ModelKey) -> KeyTotals:
        return self.totals.get(key, _NO_DEMAND)


def _count_loading(replica: Replica, pending: PendingOrders) -> int:
    """Return the adapters on their way, by the replica's report or by orders to it.

    A report lists also those that were given up here and still come
    (tests/orders/test_capacity.py::test_adapter_on_its_way_takes_a_place).
    """
    reported = set(replica.report.loading) if replica.report else set()
    return sum(1 for _, adapter in reported | set(pending.ready_times_s()) if adapter)
