"""Decides at which replica an adapter is loaded, and which one gives way there."""

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
MAX_COMING = 4
#: An adapter that was asked for within this time does not give way.
KEEP_S = 0.6


@attrs.frozen
class AdapterMove:
    """Load an adapter at a replica, after another one there is unloaded."""

    replica: Replica
    key: ModelKey
    evicted: ModelKey | None


@attrs.define
class AdapterPlanner:
    """Plans adapters of one engine service."""

    service: str
    engine: EngineSpec
    directory: ReplicaDirectory
    loads: dict[ModelKey, KeyTotals]

    def plan(self, key: ModelKey, pending_orders: dict[str, PendingOrders]) -> AdapterMove | None:
        """Return the move that brings *key*, if it is not there or coming."""
        wanted = Loadable(key.model, key.adapter)
        holders = [
            replica
            for replica in self.directory.of_service(self.service)
            if replica.holds(key.model)
        ]
        for replica in holders:
            pending = pending_orders[replica.replica_id]
            if replica.holds(key.model, key.adapter) or pending.expects(wanted):
                return None
        options = []
        for replica in holders:
            pending = pending_orders[replica.replica_id]
            loading = set(replica.report.loading) if replica.report else set()
            adapters_coming = sum(
                1 for _, adapter in loading | set(pending.ready_times_s()) if adapter
            )
            if not pending.is_fresh or pending.models_expected() or adapters_coming >= MAX_COMING:
                continue
            found, evicted = self._make_room(replica, pending, adapters_coming)
            if not found:
                continue
            cost = (
                replica.health.is_suspended(),
                self.directory.load_of(replica).calls / max(1, replica.record.slots)
                + 0.1 * adapters_coming
                + (0.05 if evicted else 0.0),
            )
            options.append((cost, replica, evicted))
        if not options:
            return None
        options.sort(key=lambda option: option[0])
        _, replica, evicted = options[0]
        return AdapterMove(replica, key, evicted)

    def _make_room(
        self, replica: Replica, pending: PendingOrders, coming: int
    ) -> tuple[bool, ModelKey | None]:
        held = [
            ModelKey(self.service, model, adapter)
            for model, adapters in replica.holdings.items()
            for adapter in adapters
            if not pending.is_unloading(Loadable(model, adapter))
            and not pending.expects(Loadable(model, adapter))
        ]
        if len(held) + coming < self.engine.adapter_places:
            return True, None
        now_s = boottime_s()
        idle = [
            key
            for key in held
            if self._load(key).running == 0 and now_s - self._load(key).seen_s > KEEP_S
        ]
        if not idle:
            return False, None
        return True, min(idle, key=lambda key: self._load(key).seen_s)

    def _load(self, key: ModelKey) -> KeyTotals:
        return self.loads.get(key) or KeyTotals()
