"""The leader's round: which models and adapters come and go, while this process leads.

Owns the sums of demand and the pace of loads from the weight store. Relies on
:mod:`limeshelf.placement.replica_watch` for what is at the replicas, on the planners for the
choice, and on :mod:`limeshelf.placement.move_runner` for carrying it out.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.demand.keys import ModelKey
from limeshelf.demand.model_demand import demand_by_model
from limeshelf.demand.totals import DemandTotals
from limeshelf.demand.unserved import Unserved, unserved
from limeshelf.placement.adapters import AdapterPlanner
from limeshelf.placement.move_runner import MoveRunner
from limeshelf.placement.pace import LoadPace
from limeshelf.placement.planner import CopyPlanner, MoveReason
from limeshelf.placement.replica_watch import ReplicaWatch
from limeshelf.placement.starvation import Starvation
from limeshelf.placement.survey_log import SurveyLog
from limeshelf.placement.turns import TurnBook
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from limeshelf.calls.routes import EngineSpec, ServingConfig
    from limeshelf.crashes.lost_loads import LostLoads
    from limeshelf.demand.totals import KeyTotals
    from limeshelf.demand.unserved import UnservedKind
    from limeshelf.lease.leadership import Leadership
    from limeshelf.orders.sender import OrderSender
    from limeshelf.placement.survey import ReplicaCopies
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.util.tasks import TaskSet

#: Time between plans, unless a call that waits for a model brings one forward.
ROUND_S = 0.2
#: Two plans begin this far apart at the least, however many calls wait: each gateway reports each
#: model that it lacks several times a second.
LEAST_ROUND_S = 0.05
#: The same while another process leads: only the sums of demand are brought up to date.
FOLLOWER_ROUND_S = 0.5
#: After a process's start, records of replicas come in for this long; copies counted earlier
#: would miss those of busy models.
START_SETTLE_S = 1.5
#: Between a new term's claims and its first plan, for what a predecessor ordered late. Reports
#: are some 100 ms old.
TERM_SETTLE_S = 0.25


class PlacementService:
    """Places models and adapters while this process holds the lease.

    :param config: returns the configuration in force.
    :param window_s: window in which loads from the weight store are counted.
    :param read_ms: returns the milliseconds that reading tokens of a model takes.
    :param on_load: called when the load of a model begins.
    :param lost_loads: says which loads are ordered no more.
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
        on_load: Callable[[], None],
        lost_loads: LostLoads,
    ) -> None:
        self.totals = DemandTotals()
        self._directory = directory
        self._leadership = leadership
        self._sender = sender
        self._config = config
        self._read_ms = read_ms
        self._replicas = ReplicaWatch(directory, leadership, sender, tasks)
        self._lost_loads = lost_loads
        self._on_load = on_load
        self._moves = MoveRunner(directory, sender, tasks, on_load, lost_loads)
        self._pace = LoadPace(window_s)
        self._starvation = Starvation()
        self._turns = TurnBook()
        self._survey_log = SurveyLog()
        self._upcoming_s: dict[ModelKey, float] = {}
        self._term_fence = 0
        self._started_s = boottime_s()
        self._wanted = asyncio.Event()
        self._planned_s = 0.0

    def may_order(self) -> bool:
        """Return whether this process gives the orders now."""
        return self._leadership.order_time_left_s() > 0

    async def run(self) -> None:
        """Plan and order for as long as this process may; wait otherwise."""
        while True:
            await self._until_due()
            self._planned_s = boottime_s()
            loads = self.totals.step()
            config = self._config()
            if not self.may_order() or config is None:
                continue
            if self._leadership.fence != self._term_fence:
                await self._begin_term(config)
            for name, engine in _placeable(config):
                await self._plan(name, engine, loads)

    async def _until_due(self) -> None:
        """Wait for the next plan; a model that is waited for brings it forward."""
        try:
            async with asyncio.timeout(ROUND_S if self._leadership.term else FOLLOWER_ROUND_S):
                await self._wanted.wait()
        except TimeoutError:
            # The usual case: nobody waits for a model that is not there.
            return
        await asyncio.sleep(max(0.0, self._planned_s + LEAST_ROUND_S - boottime_s()))
        self._wanted.clear()

    async def _begin_term(self, config: ServingConfig) -> None:
        self._term_fence = self._leadership.fence
        self._upcoming_s.clear()
        for name, engine in _placeable(config):
            self._pace.reset(engine.loads_per_s)
            await self._replicas.claim_all(name, engine)
        # What a predecessor ordered late has come by now, or never will.
        await asyncio.sleep(TERM_SETTLE_S)

    async def _plan(
        self, service: str, engine: EngineSpec, loads: dict[ModelKey, KeyTotals]
    ) -> None:
        self._replicas.note_first_copies(service)
        self._replicas.poll_due(service, engine)
        if boottime_s() - self._started_s < START_SETTLE_S:
            # Records of replicas are still coming in.
            return
        demands = demand_by_model(service, engine, loads, self._read_ms)
        self._bring_due_adapters(service, engine)
        copies = self._replicas.copies(service)
        starved_s = self._starvation.step(service, demands, copies)
        first_copies = self._replicas.first_copies(service)
        barred = {name for name in engine.models if self._lost_loads.is_blocked(service, name)}
        planner = CopyPlanner(engine, demands, first_copies, starved_s, barred, self._turns)
        self._survey_log.note_replicas(service, copies)
        await self._begin_moves(service, engine, planner, copies)

    async def _begin_moves(
        self, service: str, engine: EngineSpec, planner: CopyPlanner, copies: list[ReplicaCopies]
    ) -> None:
        while True:
            # Calls and peers go first: with 161 models at 59 replicas a plan takes tens of
            # milliseconds, one move some.
            await asyncio.sleep(0)
            if not self.may_order():
                return
            store_allowed = self._pace.allows(engine.loads_per_s)
            may_spread = self._replicas.is_settled(service)
            move = planner.next_move(copies, store_allowed, may_spread=may_spread)
            if move is None:
                outlook = planner.outlook(copies, store_allowed)
                self._note_upcoming(service, outlook.upcoming_s)
                self._survey_log.note_passed_over(service, outlook.passed_over)
                return
            if move.from_store:
                self._pace.note()
            self._moves.begin(move)
            if move.reason is MoveReason.OVERDUE:
                self._turns.note_begun(move.replica_id, move.model)
            for replica in copies:
                if replica.replica_id == move.replica_id:
                    replica.begin_move(move.model, move.evicted, move.load_s)

    def want(self, key: ModelKey) -> None:
        """A call waits for *key*; bring an adapter at once, a model with the next plan.

        What can't be brought now, or whose wish is lost on its way, comes with a later plan.
        """
        self.totals.note_missing(key)
        engine = self._engine_of(key)
        if not self._replicas.is_coming_or_held(key):
            self._wanted.set()
        if self.may_order() and engine is not None and key.adapter and key.model in engine.models:
            self._bring_adapters(key.service, engine, [key])

    def _engine_of(self, key: ModelKey) -> EngineSpec | None:
        config = self._config()
        service = config.services.get(key.service) if config else None
        return service.engine if service else None

    def _bring_due_adapters(self, service: str, engine: EngineSpec) -> None:
        self._bring_adapters(service, engine, self._adapter_planner(service, engine).due())

    def _bring_adapters(self, service: str, engine: EngineSpec, keys: list[ModelKey]) -> None:
        replicas = self._directory.of_service(service)
        pending = {replica.replica_id: self._sender.pending(replica) for replica in replicas}
        planner = self._adapter_planner(service, engine)
        for key in keys:
            barred = self._lost_loads.is_blocked(service, key.model, key.adapter)
            if barred or not self._moves.may_try(key):
                continue
            move = planner.plan(key, pending)
            if move is not None:
                self._moves.begin_adapter(move)

    def _adapter_planner(self, service: str, engine: EngineSpec) -> AdapterPlanner:
        fence = self._leadership.fence
        return AdapterPlanner(service, engine, self._directory, self.totals.latest(), fence)

    def unserved(self, kind: UnservedKind) -> Unserved:
        """Return what goes unserved of a kind; nothing while another process leads."""
        if not self.may_order():
            return Unserved()
        return unserved(kind, self.totals.latest(), boottime_s())

    def awaited(self) -> dict[ModelKey, float]:
        """Return the models on their way or to be ordered next, with the time of each.

        A time is when the model is likely there, on the boot clock.
        """
        return self._upcoming_s | self._replicas.awaited()

    def _note_upcoming(self, service: str, upcoming_s: dict[str, float]) -> None:
        now_s = boottime_s()
        others = {key: at_s for key, at_s in self._upcoming_s.items() if key.service != service}
        planned = {ModelKey(service, name): now_s + in_s for name, in_s in upcoming_s.items()}
        is_new = not planned.keys() <= self._upcoming_s.keys()
        self._upcoming_s = others | planned
        if is_new:
            self._on_load()


def _placeable(config: ServingConfig) -> Iterator[tuple[str, EngineSpec]]:
    """Return the engine services that have models, by name."""
    for service in config.engine_services():
        assert service.engine is not None
        if service.engine.models:
            yield service.name, service.engine
