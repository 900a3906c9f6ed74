"""The leader's work: look at the replicas, plan, order, and tell the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.demand.keys import ModelKey
from limeshelf.demand.model_demand import demand_by_model
from limeshelf.demand.totals import DemandTotals
from limeshelf.metrics.event_log import log_change
from limeshelf.orders.order import OrderKind
from limeshelf.orders.sender import OrderSender
from limeshelf.orders.task import Loadable, OrderTask
from limeshelf.placement.adapters import AdapterPlanner
from limeshelf.placement.pace import LoadPace
from limeshelf.placement.planner import CopyPlanner
from limeshelf.placement.starvation import Starvation
from limeshelf.placement.survey import ReplicaCopies
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import EngineSpec, ServingConfig
    from limeshelf.lease.leadership import Leadership
    from limeshelf.placement.planner import CopyMove
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.util.tasks import TaskSet

STEP_S = 0.2
#: After a process's start, records of replicas come in for this long.
START_SETTLE_S = 1.5
#: Between the claim of the replicas by a new fence and the first plan.
CLAIM_SETTLE_S = 0.25
#: An unload before a load takes about this long.
UNLOAD_S = 0.6
#: Every replica is asked for its report this often.
LOOK_S = 0.5


class FleetService:
    """Places models and adapters while this process holds the lease.

    :param config: returns the configuration in force.
    :param window_s: window in which loads from the weight store are counted.
    :param read_ms: returns the time that reading tokens of a model takes.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        leadership: Leadership,
        sender: OrderSender,
        tasks: TaskSet,
        config: Callable[[], ServingConfig | None],
        window_s: float,
        read_ms: Callable[[str, float], float],
    ) -> None:
        self.totals = DemandTotals()
        self._directory = directory
        self._leadership = leadership
        self._sender = sender
        self._tasks = tasks
        self._config = config
        self._read_ms = read_ms
        self._pace = LoadPace(window_s)
        self._starvation = Starvation()
        self._term_fence = 0
        self._looked_s: dict[str, float] = {}
        self._first_copies: dict[str, dict[str, int]] = {}
        self._first_seen: set[str] = set()
        self._started_s = boottime_s()
        self._wanted = asyncio.Event()
        #: Told when a load was ordered, so that waiting calls hear of it.
        self.on_move: Callable[[], None] = lambda: None

    def leads(self) -> bool:
        """Return whether this process gives the orders now."""
        return self._leadership.fence > 0

    async def run(self) -> None:
        """Plan and order for as long as this process leads; wait otherwise."""
        while True:
            await self._until_due()
            loads = self.totals.step()
            config = self._config()
            if not self.leads() or config is None:
                continue
            if self._leadership.fence != self._term_fence:
                await self._begin_term(config)
            for service in config.engine_services():
                assert service.engine is not None
                if not service.engine.models:
                    continue
                self._note_first_copies(service.name)
                self._look(service.name, service.engine)
                if boottime_s() - self._started_s < START_SETTLE_S:
                    # Records of replicas are still coming in.
                    continue
                first_copies = self._first_copies.get(service.name, {})
                demands = demand_by_model(service.name, service.engine, loads, self._read_ms)
                holders = self._holders(service.name)
                starved_s = self._starvation.step(service.name, demands, holders)
                planner = CopyPlanner(service.engine, demands, first_copies, starved_s)
                self._order_moves(service.engine, planner, holders)

    async def _until_due(self) -> None:
        """Wait for the next plan; a model that is waited for brings it forward."""
        try:
            async with asyncio.timeout(STEP_S):
                await self._wanted.wait()
        except TimeoutError:
            return
        self._wanted.clear()

    async def _begin_term(self, config: ServingConfig) -> None:
        self._term_fence = self._leadership.fence
        for service in config.engine_services():
            assert service.engine is not None
            if not service.engine.models:
                continue
            self._pace.reset(service.engine.loads_per_s)
            replicas = self._directory.of_service(service.name)
            claims = (self._sender.claim(replica, service.engine) for replica in replicas)
            await asyncio.gather(*claims)
        # What a predecessor ordered late has come by now, or never will; reports
        # lag by some 100 ms.
        await asyncio.sleep(CLAIM_SETTLE_S)

    def _note_first_copies(self, service: str) -> None:
        """Count what replicas hold when they are first seen; they tell what is busy."""
        copies = self._first_copies.setdefault(service, {})
        for replica in self._directory.of_service(service):
            if replica.replica_id in self._first_seen:
                continue
            self._first_seen.add(replica.replica_id)
            for model in replica.holdings:
                copies[model] = copies.get(model, 0) + 1

    def _look(self, service: str, engine: EngineSpec) -> None:
        now_s = boottime_s()
        for replica in self._directory.of_service(service):
            if now_s - self._looked_s.get(replica.replica_id, 0.0) >= LOOK_S:
                self._looked_s[replica.replica_id] = now_s
                self._tasks.spawn(self._look_at(replica, engine), 'look')

    async def _look_at(self, replica: Replica, engine: EngineSpec) -> None:
        if not await self._sender.poll(replica):
            return
        if not self._sender.pending(replica).is_claimed_under(self._leadership.fence):
            # New in this term, or back in reach: what was ordered before may
            # arrive just now (tests/orders/test_sender.py::test_replica_back_in_reach).
            await self._sender.claim(replica, engine)

    def _order_moves(
        self, engine: EngineSpec, planner: CopyPlanner, holders: list[ReplicaCopies]
    ) -> None:
        while True:
            move = planner.next_move(holders)
            if move is None:
                return
            if move.from_store:
                if not self._pace.allows(engine.loads_per_s):
                    return
                self._pace.note()
            self._begin(move, engine)
            for holder in holders:
                if holder.replica_id == move.replica_id:
                    holder.begin_move(move.model, move.evicted)

    def _holders(self, service: str) -> list[ReplicaCopies]:
        holders = []
        for replica in self._directory.of_service(service):
            pending = self._sender.pending(replica)
            if pending.is_lost:
                # Nobody reaches it; its models have to come up elsewhere.
                continue
            report = replica.report
            at_hand = (report.in_memory | report.on_disk) if report else frozenset()
            claimed = pending.is_claimed_under(self._leadership.fence)
            busy = bool(pending.models_expected()) or bool(report and report.busy)
            holders.append(
                ReplicaCopies(
                    replica.replica_id,
                    set(replica.holdings) - replica.retiring,
                    pending.models_expected(),
                    is_idle=pending.is_fresh
                    and claimed
                    and not busy
                    and not replica.health.is_suspended(),
                    data_centre=replica.record.data_centre,
                    cached=at_hand,
                )
            )
        return holders

    def _begin(self, move: CopyMove, engine: EngineSpec) -> None:
        replica = self._directory.get(move.replica_id)
        assert replica is not None
        spec = engine.models[move.model]
        log_change(
            'move',
            replica=move.replica_id,
            model=move.model,
            evicted=move.evicted,
            reason=move.reason,
            from_store=move.from_store,
            gain=move.gain,
            loss=move.loss,
        )
        load_s = spec.load_s if move.from_store else spec.warm_load_s
        ready_s = boottime_s() + load_s + (UNLOAD_S if move.evicted else 0.0)
        tasks = [OrderTask(OrderKind.UNLOAD, name) for name in move.evicted]
        tasks.append(OrderTask(OrderKind.LOAD, move.model, '', load_s))
        # Marked here already, so that the next plan counts it.
        self._sender.pending(replica).expect(Loadable(move.model), ready_s)
        self.on_move()
        self._tasks.spawn(self._run(replica, tasks), 'move')

    async def _run(self, replica: Replica, tasks: list[OrderTask]) -> None:
        try:
            done = await self._sender.run(replica, tasks)
        finally:
            self._sender.pending(replica).note_unload_ended(task.item for task in tasks)
        if not done:
            last = tasks[-1]
            log_change(
                'move_failed',
                replica=replica.replica_id,
                model=last.model,
                adapter=last.adapter,
            )

    def want(self, key: ModelKey) -> None:
        """A call waits for *key*; bring an adapter at once, a model with the next plan."""
        self.totals.note_missing(key)
        config = self._config()
        if not self._is_there(key):
            self._wanted.set()
        if not self.leads() or config is None or not key.adapter:
            return
        service = config.services.get(key.service)
        if service is None or service.engine is None:
            return
        if key.model not in service.engine.models:
            return
        pending_orders = {
            replica.replica_id: self._sender.pending(replica)
            for replica in self._directory.of_service(key.service)
        }
        planner = AdapterPlanner(key.service, service.engine, self._directory, self.totals.step())
        move = planner.plan(key, pending_orders)
        if move is None:
            return
        tasks = []
        if move.evicted is not None:
            tasks.append(OrderTask(OrderKind.UNLOAD, move.evicted.model, move.evicted.adapter))
        tasks.append(OrderTask(OrderKind.LOAD, key.model, key.adapter))
        pending = pending_orders[move.replica.replica_id]
        pending.expect(Loadable(key.model, key.adapter), boottime_s())
        if move.evicted is not None:
            pending.note_unloading(Loadable(move.evicted.model, move.evicted.adapter))
        self._tasks.spawn(self._run(move.replica, tasks), 'adapter')

    def _is_there(self, key: ModelKey) -> bool:
        replicas = self._directory.of_service(key.service)
        model = Loadable(key.model)
        coming = any(self._sender.pending(replica).expects(model) for replica in replicas)
        return coming or any(replica.holds(key.model) for replica in replicas)

    def awaited(self) -> dict[ModelKey, float]:
        """Return the models on their way, with the time when each is likely there."""
        awaited: dict[ModelKey, float] = {}
        for replica in self._directory.all():
            for (model, adapter), ready_s in self._sender.pending(replica).ready_times_s().items():
                if not adapter:
                    key = ModelKey(replica.record.service, model)
                    awaited[key] = min(ready_s, awaited.get(key, ready_s))
        return awaited
