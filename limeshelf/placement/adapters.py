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
MAX_LOADING = 4
#: An adapter that was asked for within this time is not evicted.
KEEP_S = 0.6
# Costs are in calls a slot: what a replica has under way, divided by its slots.
#: Cost of each adapter on its way there already.
LOADING_COST_SHARE = 0.1
#: Cost of an eviction.
EVICTION_COST_SHARE = 0.05

_NO_DEMAND = KeyTotals()


@attrs.frozen
class AdapterMove:
    """Load an adapter at a replica.

    :ivar key: the adapter.
    :ivar evicted: the adapter that is unloaded there first, if one has to go.
    """

    replica: Replica
    key: ModelKey
    evicted: ModelKey | None


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

    def plan(self, key: ModelKey, pending_orders: dict[str, PendingOrders]) -> AdapterMove | None:
        """Return the move that brings an adapter to a replica that holds its model.

        ``None`` if the adapter is there or on its way, or if no replica can take it now.

        :param pending_orders: by the id of each replica of the service.
        """
        adapter = Loadable(key.model, key.adapter)
        holders = [
            replica
            for replica in self.directory.of_service(self.service)
            if replica.holds(key.model)
        ]
        for replica in holders:
            pending = pending_orders[replica.replica_id]
            if replica.holds(key.model, key.adapter) or pending.expects(adapter):
                return None
        options = []
        for replica in holders:
            option = self._option(key, replica, pending_orders[replica.replica_id])
            if option is not None:
                options.append(option)
        if not options:
            return None
        return min(options, key=lambda option: option.cost).move

    def _option(self, key: ModelKey, replica: Replica, pending: PendingOrders) -> _Option | None:
        loading = _count_loading(replica, pending)
        is_known = pending.is_fresh and pending.is_claimed_under(self.fence)
        if not is_known or pending.models_expected() or loading >= MAX_LOADING:
            return None
        place = self._find_place(replica, pending, loading)
        if place is None:
            return None
        calls_per_slot = self.directory.load_of(replica).calls / max(1, replica.record.slots)
        cost = (
            calls_per_slot
            + LOADING_COST_SHARE * loading
            + (EVICTION_COST_SHARE if place.evicted else 0.0)
        )
        move = AdapterMove(replica, key, place.evicted)
        return _Option((replica.health.is_suspended(), cost), move)

    def _find_place(
        self, replica: Replica, pending: PendingOrders, loading: int
    ) -> AdapterPlace | None:
        """Return a place beside what is held and on its way, or ``None`` if all are in use.

        Of adapters that nobody runs or asked for lately, the one asked for longest ago goes.
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
        idle = [key for key in held if self._is_idle(key, now_s)]
        if not idle:
            return None
        return AdapterPlace(min(idle, key=lambda key: self._demand(key).seen_s))

    def _is_idle(self, key: ModelKey, now_s: float) -> bool:
        demand = self._demand(key)
        return demand.running == 0 and now_s - demand.seen_s > KEEP_S

    def _demand(self, key: ModelKey) -> KeyTotals:
        return self.totals.get(key, _NO_DEMAND)


def _count_loading(replica: Replica, pending: PendingOrders) -> int:
    """Return the adapters on their way, by the replica's report or by orders to it.

    A report lists also those that were given up here and still come
    (tests/orders/test_capacity.py::test_adapter_on_its_way_takes_a_place).
    """
    reported = set(replica.report.loading) if replica.report else set()
    return sum(1 for _, adapter in reported | set(pending.ready_times_s()) if adapter)
