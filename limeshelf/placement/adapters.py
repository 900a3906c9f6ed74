"""Chooses the replica that an adapter is loaded on, and the adapter that is evicted there.

Only plans and keeps no state: it reads the replicas' holdings and reports, their pending orders
and the demand for each adapter. The caller sends the orders.
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

#: Maximum number of adapters being loaded on one replica at the same time.
MAX_CONCURRENT_LOADS = 4
#: An adapter that was requested within this time is evicted only for an overdue one.
MIN_IDLE_S = 0.6
#: An adapter is overdue once it has been requested for this long without any call being served: an
#: adapter that is being served is evicted for it, however many calls that one gets.
OVERDUE_AFTER_S = 3.0
#: An adapter with unserved callers is kept for this long after its last request, or until it
#: serves a call. It is loaded within fractions of a second, and its callers retry just as quickly.
ADAPTER_RETRY_WINDOW_S = 5.0
#: Shortest unserved time after which a retry for an adapter is expected. It is longer than the
#: first event of an answer takes: a busy adapter always has some call that waits for that.
ADAPTER_RETRY_EXPECTED_AFTER_S = 1.0
#: An adapter that goes unserved although one replica holds it is loaded on a second one after this
#: long. It gets no third place: an adapter that cannot be served would occupy all of them.
SECOND_PLACE_AFTER_S = 20.0
MAX_UNSERVED_PLACES = 2
# Costs are in calls per slot: the running calls of a replica divided by its slots.
#: Cost of each adapter that the replica is already loading.
LOADING_COST_CALLS_PER_SLOT = 0.1
#: Cost of an eviction.
EVICTION_COST_CALLS_PER_SLOT = 0.05

_NO_DEMAND = KeyTotals()


@attrs.frozen
class AdapterMove:
    """Loads an adapter on a replica.

    :ivar key: the adapter.
    :ivar evicted: the adapter that is unloaded there first, if one has to be.
    :ivar unserved_s: time for which it has been requested without any call being served.
    """

    replica: Replica
    key: ModelKey
    evicted: ModelKey | None
    unserved_s: float = 0.0


@attrs.frozen
class AdapterPlace:
    """A place for one more adapter on a replica.

    :ivar evicted: the adapter that has to be evicted; ``None`` if the place is free.
    """

    evicted: ModelKey | None = None


@attrs.frozen
class _Option:
    """A possible move; the one with the lowest cost is used.

    :ivar cost: whether the replica is suspended, then its cost in calls per slot.
    """

    cost: tuple[bool, float]
    move: AdapterMove


@attrs.define
class AdapterPlanner:
    """Plans the adapters of one engine service.

    :param totals: the demand for each key over all gateways.
    :param fence: the fence of the leader's term. A replica that has not acknowledged it may
        still execute orders of a predecessor (tests/placement/test_adapters.py::
        test_replica_that_was_not_claimed_takes_no_adapter).
    """

    service: str
    engine: EngineSpec
    directory: ReplicaDirectory
    totals: dict[ModelKey, KeyTotals]
    fence: int
    _holders_by_model: dict[str, list[Replica]] | None = None

    def unserved_adapters(self) -> list[ModelKey]:
        """Return the adapters that are requested but go unserved, longest waiting first.

        Some of them are already loaded and about to serve.
        """
        now_s = boottime_s()
        unserved = [
            key
            for key, demand in self.totals.items()
            if key.service == self.service
            and key.adapter
            and demand.may_be_retried(now_s)
            and self.engine.has_model(key.model, key.adapter)
        ]
        return sorted(unserved, key=lambda key: -self._demand(key).unserved_s(now_s))

    def plan(self, key: ModelKey, pending_orders: dict[str, PendingOrders]) -> AdapterMove | None:
        """Return the move that loads an adapter on a replica that holds its model.

        Returns ``None`` if the adapter is being loaded, if a reachable replica holds it, or if no
        replica can load it now.

        :param pending_orders: by the id of each replica of the service.
        """
        if not self.engine.has_model(key.model, key.adapter):
            return None
        adapter = Loadable(key.model, key.adapter)
        holders = [one for one in self._holders(key.model) if one.holds(key.model, key.adapter)]
        others = [one for one in self._holders(key.model) if one not in holders]
        if any(pending_orders[one.replica_id].is_load_expected(adapter) for one in others):
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
        """Return the replicas that hold a model; indexed once, since many adapters need it."""
        if self._holders_by_model is None:
            self._holders_by_model = {}
            for replica in self.directory.of_service(self.service):
                for name in replica.holdings:
                    self._holders_by_model.setdefault(name, []).append(replica)
        return self._holders_by_model.get(model, [])

    def _needs_another_place(
        self, key: ModelKey, holders: list[Replica], pending_orders: dict[str, PendingOrders]
    ) -> bool:
        """Return whether an adapter is loaded on one more replica than hold it already."""
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
        """Return the move to a replica with its cost; ``None`` if it cannot load it now."""
        loading = _count_loading(replica, pending)
        is_known = pending.is_fresh and pending.is_claimed_under(self.fence)
        if not is_known or pending.expected_models() or loading >= MAX_CONCURRENT_LOADS:
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
        """Return a free place, or one whose adapter can be evicted; ``None`` if there is neither.

        Places reserved by running loads are not free. The adapter requested longest ago is
        evicted, among those without running calls or recent requests; for an overdue adapter,
        among all that serve their callers.
        """
        held = [
            ModelKey(self.service, model, adapter)
            for model, adapters in replica.holdings.items()
            for adapter in adapters
            if not pending.is_unloading(Loadable(model, adapter))
            and not pending.is_load_expected(Loadable(model, adapter))
        ]
        if len(held) + loading < self.engine.adapter_places:
            return AdapterPlace()
        now_s = boottime_s()
        retryable = [key for key in held if self._may_be_retried(key, now_s)]
        served = [key for key in held if key not in retryable]
        idle = [key for key in served if self._is_idle(key, now_s)]
        if not idle and is_overdue and not any(self._is_overdue(key, now_s) for key in retryable):
            # One overdue adapter per replica at a time: the previous one has to serve a call or
            # expire.
            idle = served
        if not idle:
            return None
        return AdapterPlace(min(idle, key=self._eviction_order))

    def _eviction_order(self, key: ModelKey) -> tuple[float, float]:
        """Return the sort key for evictions; an unload has to wait for running calls."""
        demand = self._demand(key)
        return demand.running, demand.last_requested_s

    def _may_be_retried(self, key: ModelKey, now_s: float) -> bool:
        demand = self._demand(key)
        return (
            demand.unserved_s(now_s) >= ADAPTER_RETRY_EXPECTED_AFTER_S
            and now_s - demand.last_requested_s <= ADAPTER_RETRY_WINDOW_S
        )

    def _is_overdue(self, key: ModelKey, now_s: float) -> bool:
        return self._demand(key).unserved_s(now_s) >= OVERDUE_AFTER_S

    def _is_idle(self, key: ModelKey, now_s: float) -> bool:
        demand = self._demand(key)
        return demand.running == 0 and now_s - demand.last_requested_s > MIN_IDLE_S

    def _demand(self, key: ModelKey) -> KeyTotals:
        return self.totals.get(key, _NO_DEMAND)


def _count_loading(replica: Replica, pending: PendingOrders) -> int:
    """Return the number of adapters being loaded, by the replica's report or by orders to it.

    The report also lists loads that this process has given up on but that still complete
    (tests/orders/test_capacity.py::test_loading_adapter_takes_a_place).
    """
    reported = set(replica.report.loading) if replica.report else set()
    return sum(1 for _, adapter in reported | set(pending.expected_ready_s()) if adapter)
