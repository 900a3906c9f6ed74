"""The leader's planning loop, which loads and unloads models and adapters.

Owns the demand totals and the limiter for loads from the weight store.
:mod:`limeshelf.placement.replica_monitor` describes the replicas, the planners choose the moves,
and :mod:`limeshelf.placement.move_runner` carries them out.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.demand.keys import ModelKey
from limeshelf.demand.model_demand import demand_by_model
from limeshelf.demand.totals import DemandTotals
from limeshelf.demand.unserved import UnservedStats, unserved_stats
from limeshelf.placement.adapters import AdapterPlanner
from limeshelf.placement.move_runner import MoveRunner
from limeshelf.placement.overdue import OverdueLoads
from limeshelf.placement.placement_log import PlacementLog
from limeshelf.placement.planner import CopyPlanner, MoveReason
from limeshelf.placement.replica_monitor import ReplicaMonitor
from limeshelf.placement.starvation import StarvationTracker
from limeshelf.placement.store_load_limiter import StoreLoadLimiter
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from limeshelf.calls.routes import EngineSpec, ServingConfig
    from limeshelf.crashes.lost_loads import LostLoads
    from limeshelf.demand.totals import KeyTotals
    from limeshelf.demand.unserved import UnservedKind
    from limeshelf.lease.leadership import Leadership
    from limeshelf.orders.sender import OrderSender
    from limeshelf.placement.snapshot import ReplicaView
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.util.tasks import TaskSet

#: Interval between plans, unless a call that waits for a model triggers one earlier.
ROUND_INTERVAL_S = 0.2
#: Minimum interval between two plans, however many calls wait: each gateway reports each model
#: that it lacks several times a second.
MIN_ROUND_INTERVAL_S = 0.05
#: Interval while another process leads; only the demand totals are updated.
FOLLOWER_ROUND_INTERVAL_S = 0.5
#: Replica records arrive for this long after the process starts. Copies counted earlier would miss
#: those of busy models.
STARTUP_DISCOVERY_S = 1.5
#: Delay between the claims of a new term and its first plan, for orders that a predecessor sent
#: late. Reports are about 100 ms old.
TERM_START_DELAY_S = 0.25


class PlacementService:
    """Places models and adapters while this process holds the lease.

    :param config: returns the current configuration.
    :param window_s: window in which loads from the weight store are counted.
    :param prefill_ms: returns the prefill time of a number of tokens for a model, in milliseconds.
    :param on_load_start: called when the load of a model starts.
    :param lost_loads: determines which loads must not be ordered any more.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        leadership: Leadership,
        sender: OrderSender,
        tasks: TaskSet,
        config: Callable[[], ServingConfig | None],
        window_s: float,
        prefill_ms: Callable[[str, float], float],
        on_load_start: Callable[[], None],
        lost_loads: LostLoads,
    ) -> None:
        self.totals = DemandTotals()
        self._directory = directory
        self._leadership = leadership
        self._sender = sender
        self._config = config
        self._prefill_ms = prefill_ms
        self._replica_monitor = ReplicaMonitor(directory, leadership, sender, tasks)
        self._lost_loads = lost_loads
        self._on_load_start = on_load_start
        self._move_runner = MoveRunner(directory, sender, tasks, on_load_start, lost_loads)
        self._store_load_limiter = StoreLoadLimiter(window_s)
        self._starvation = StarvationTracker()
        self._overdue_loads = OverdueLoads()
        self._placement_log = PlacementLog()
        self._predicted_ready_s: dict[ModelKey, float] = {}
        self._term_fence = 0
        self._started_s = boottime_s()
        self._plan_requested = asyncio.Event()
        self._last_plan_s = 0.0

    def may_order(self) -> bool:
        """Return whether this process may send orders now."""
        return self._leadership.order_time_left_s() > 0

    async def run(self) -> None:
        """Plan and send orders while this process leads; otherwise only update demand totals."""
        while True:
            await self._wait_for_next_round()
            self._last_plan_s = boottime_s()
            key_totals = self.totals.update_averages()
            config = self._config()
            if not self.may_order() or config is None:
                continue
            if self._leadership.fence != self._term_fence:
                await self._start_term(config)
            for name, engine in _services_with_models(config):
                await self._plan(name, engine, key_totals)

    async def _wait_for_next_round(self) -> None:
        """Wait until the next plan is due; a call for a missing model triggers it early."""
        try:
            async with asyncio.timeout(
                ROUND_INTERVAL_S if self._leadership.term else FOLLOWER_ROUND_INTERVAL_S
            ):
                await self._plan_requested.wait()
        except TimeoutError:
            # The usual case: no call waits for a missing model.
            return
        await asyncio.sleep(max(0.0, self._last_plan_s + MIN_ROUND_INTERVAL_S - boottime_s()))
        self._plan_requested.clear()

    async def _start_term(self, config: ServingConfig) -> None:
        self._term_fence = self._leadership.fence
        self._predicted_ready_s.clear()
        for name, engine in _services_with_models(config):
            self._store_load_limiter.reset(engine.loads_per_s)
            await self._replica_monitor.claim_all(name, engine)
        # After this delay, late orders of a predecessor have arrived, or they never will.
        await asyncio.sleep(TERM_START_DELAY_S)

    async def _plan(
        self, service: str, engine: EngineSpec, key_totals: dict[ModelKey, KeyTotals]
    ) -> None:
        self._replica_monitor.record_initial_copies(service)
        self._replica_monitor.start_due_polls(service, engine)
        if boottime_s() - self._started_s < STARTUP_DISCOVERY_S:
            # Replica records are still arriving.
            return
        demands = demand_by_model(service, engine, key_totals, self._prefill_ms)
        self._load_unserved_adapters(service, engine)
        views = self._replica_monitor.replica_views(service)
        starved_s = self._starvation.track(service, demands, views)
        initial_copies = self._replica_monitor.initial_copies(service)
        barred = {name for name in engine.models if self._lost_loads.is_blocked(service, name)}
        planner = CopyPlanner(
            engine, demands, initial_copies, starved_s, barred, self._overdue_loads
        )
        self._placement_log.log_replicas(service, views)
        await self._start_moves(service, engine, planner, views)

    async def _start_moves(
        self, service: str, engine: EngineSpec, planner: CopyPlanner, views: list[ReplicaView]
    ) -> None:
        while True:
            # Yield to calls and peers: with 161 models on 59 replicas a plan takes tens of
            # milliseconds, and a single move several.
            await asyncio.sleep(0)
            if not self.may_order():
                return
            store_allowed = self._store_load_limiter.may_load(engine.loads_per_s)
            may_prefetch = self._replica_monitor.is_replica_set_stable(service)
            move = planner.next_move(views, store_allowed, may_prefetch=may_prefetch)
            if move is None:
                waiting = planner.waiting_models(views, store_allowed)
                self._update_predicted_times(service, waiting.ready_in_s)
                self._placement_log.log_not_loaded(service, waiting.not_loaded)
                return
            if move.from_store:
                self._store_load_limiter.record_load()
            self._move_runner.start(move)
            if move.reason is MoveReason.OVERDUE:
                self._overdue_loads.record_start(move.replica_id, move.model)
            for replica in views:
                if replica.replica_id == move.replica_id:
                    replica.apply_move(move.model, move.evicted, move.load_s)

    def request_load(self, key: ModelKey) -> None:
        """Load *key*, which a call waits for: an adapter at once, a model with the next plan.

        If it cannot be loaded now, or the request is lost, a later plan loads it.
        """
        self.totals.record_missing(key)
        engine = self._engine_of(key)
        if not self._replica_monitor.is_held_or_loading(key):
            self._plan_requested.set()
        if self.may_order() and engine is not None and key.adapter and key.model in engine.models:
            self._load_adapters(key.service, engine, [key])

    def _engine_of(self, key: ModelKey) -> EngineSpec | None:
        config = self._config()
        service = config.services.get(key.service) if config else None
        return service.engine if service else None

    def _load_unserved_adapters(self, service: str, engine: EngineSpec) -> None:
        self._load_adapters(
            service, engine, self._adapter_planner(service, engine).unserved_adapters()
        )

    def _load_adapters(self, service: str, engine: EngineSpec, keys: list[ModelKey]) -> None:
        replicas = self._directory.of_service(service)
        pending = {replica.replica_id: self._sender.pending(replica) for replica in replicas}
        planner = self._adapter_planner(service, engine)
        for key in keys:
            barred = self._lost_loads.is_blocked(service, key.model, key.adapter)
            if barred or not self._move_runner.may_try_adapter(key):
                continue
            move = planner.plan(key, pending)
            if move is not None:
                self._move_runner.start_adapter(move)

    def _adapter_planner(self, service: str, engine: EngineSpec) -> AdapterPlanner:
        fence = self._leadership.fence
        return AdapterPlanner(service, engine, self._directory, self.totals.latest(), fence)

    def unserved(self, kind: UnservedKind) -> UnservedStats:
        """Return the statistics of unserved keys of a kind; empty while another process leads."""
        if not self.may_order():
            return UnservedStats()
        return unserved_stats(kind, self.totals.latest(), boottime_s())

    def expected_ready_times(self) -> dict[ModelKey, float]:
        """Return the models that are being loaded or will be ordered next.

        :returns: the time at which each should be ready, on the boot clock.
        """
        return self._predicted_ready_s | self._replica_monitor.loading_ready_times()

    def _update_predicted_times(self, service: str, ready_in_s: dict[str, float]) -> None:
        now_s = boottime_s()
        others = {
            key: at_s for key, at_s in self._predicted_ready_s.items() if key.service != service
        }
        planned = {ModelKey(service, name): now_s + in_s for name, in_s in ready_in_s.items()}
        is_new = not planned.keys() <= self._predicted_ready_s.keys()
        self._predicted_ready_s = others | planned
        if is_new:
            self._on_load_start()


def _services_with_models(config: ServingConfig) -> Iterator[tuple[str, EngineSpec]]:
    """Yield the engine services that have models, with their names."""
    for service in config.engine_services():
        assert service.engine is not None
        if service.engine.models:
            yield service.name, service.engine
