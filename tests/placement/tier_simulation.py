"""Simulates placement and admission together, with weights in memory, on disk or in the store.

Calls for a missing model are held or refused by the admission rules; a replica's machine caches
the weights that it used last.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.hold_or_refuse import CallWithoutReplica, Hold, hold_or_refuse
from limeshelf.demand.keys import ModelKey
from limeshelf.demand.model_demand import demand_by_model
from limeshelf.demand.waits import ModelAvailability, model_wait_s
from limeshelf.placement.planner import CopyPlanner, MoveReason
from limeshelf.util.clock import virtual_clock
from tests.placement import fleet_simulation as fleet
from tests.placement.fleet_simulation import SERVICE, ModelReplica, ModelSimulation
from tests.support.routes import make_route

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route
    from limeshelf.placement.planner import CopyMove
    from limeshelf.util.clock import VirtualClock

#: Number of models whose weights fit in a machine's memory and on its disk.
MEMORY_MODELS = 2
DISK_MODELS = 6
LATENCY_CRITICAL = make_route(objective_s=0.4, timeout_s=12.0)
LATENCY_TOLERANT = make_route(objective_s=5.0, timeout_s=20.0)


@attrs.frozen
class Call:
    """One attempt of a caller, while it waits."""

    model: str
    route: Route
    arrived_s: float
    is_retry: bool


@attrs.define
class CachedWeights:
    """The models whose weights a replica's machine caches, most recently used first."""

    in_memory: list[str] = attrs.field(factory=list)
    on_disk: list[str] = attrs.field(factory=list)

    def record_use(self, model: str) -> None:
        for kept, count in ((self.in_memory, MEMORY_MODELS), (self.on_disk, DISK_MODELS)):
            if model in kept:
                kept.remove(model)
            kept.insert(0, model)
            del kept[count:]


@attrs.define
class TierSimulation(ModelSimulation):
    """Adds cached weights and held calls to the simulation of models.

    :ivar outcomes: of latency-tolerant first attempts: ``in time``, ``late`` or ``refused``; those
        of retries have the prefix ``back``.
    :ivar loads: of latency-tolerant models (named ``patient-N``), by source of the weights.
    """

    cached_weights: dict[str, CachedWeights] = attrs.field(factory=dict)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    critical_outcomes: Counter[str] = attrs.field(factory=Counter)
    loads: Counter[str] = attrs.field(factory=Counter)
    #: When the running load on each replica ends, and its model.
    running_loads: dict[str, tuple[float, str]] = attrs.field(factory=dict)
    predicted_ready_s: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def create_with_disks(
        cls,
        clock: VirtualClock,
        replicas: int,
        places: int,
        models: list[str],
        rng: random.Random,
    ) -> TierSimulation:
        """Return a simulation whose disks cache the loaded models and a few more."""
        simulation = cls.create(clock, replicas, places, models)
        assert isinstance(simulation, TierSimulation)
        for one in simulation.replicas:
            weights = simulation.cached_weights[one.copies.replica_id] = CachedWeights()
            other_models = rng.sample([name for name in models if name not in one.serving], 3)
            for name in (*other_models, *sorted(one.serving)):
                weights.record_use(name)
            simulation._publish_cached_weights(one)
        return simulation

    def _publish_cached_weights(self, replica: ModelReplica) -> None:
        weights = self.cached_weights[replica.copies.replica_id]
        replica.copies.in_memory = frozenset(weights.in_memory)
        replica.copies.on_disk = frozenset(weights.on_disk)

    def start_request(self, model: str, route: Route, *, is_retry: bool = False) -> None:
        """Make an attempt; a refused caller retries at the announced time."""
        self._attempt(Call(model, route, self.events.clock.now_s, is_retry))

    def _attempt(self, call: Call) -> None:
        key = ModelKey(SERVICE, call.model)
        if self.events.clock.now_s == call.arrived_s:
            self.gateway.record_call(key, int(call.route.objective_s * 1000))
        if self.serve(key, self.gateway.counts_for(key)):
            self.gateway.record_served(key)
            self._record_outcome(
                call, 'in time' if self._waited_s(call) <= call.route.objective_s else 'late'
            )
            return
        decision = hold_or_refuse(self._call_without_replica(call))
        if isinstance(decision, Hold):
            self.events.after(decision.wait_s, lambda: self._attempt(call))
            return
        self._record_outcome(call, 'refused')
        if not call.is_retry:
            retry_in_s = decision.retry_after_s
            self.events.after(
                retry_in_s, lambda: self.start_request(call.model, call.route, is_retry=True)
            )

    def _waited_s(self, call: Call) -> float:
        return self.events.clock.now_s - call.arrived_s

    def _call_without_replica(self, call: Call) -> CallWithoutReplica:
        now_s = self.events.clock.now_s
        ready_times_s = [
            at_s for at_s, model in self.running_loads.values() if model == call.model
        ]
        at_s = min(ready_times_s, default=self.predicted_ready_s.get(call.model))
        held = any(call.model in one.serving for one in self.replicas)
        spec = self.engine.models[call.model]
        in_s = None if at_s is None else at_s - now_s
        availability = ModelAvailability(held, held, in_s, spec.load_s, 0.0)
        waited_s = self._waited_s(call)
        left_s = call.route.timeout_s - waited_s
        return CallWithoutReplica(
            route=call.route,
            expected_wait_s=model_wait_s(availability),
            waited_s=waited_s,
            left_s=left_s,
            is_caller_retry=call.is_retry,
            announced=at_s is not None,
            excluded=False,
            answer_started=False,
        )

    def _record_outcome(self, call: Call, outcome: str) -> None:
        outcomes = self.outcomes if call.route is LATENCY_TOLERANT else self.critical_outcomes
        outcomes[f'back {outcome}' if call.is_retry else outcome] += 1

    def plan(self) -> None:
        now_s = self.events.clock.now_s
        copies = [one.copies for one in self.replicas]
        for one in copies:
            one.free_in_s = self.running_loads.get(one.replica_id, (now_s, ''))[0] - now_s
        totals = self.gateway.leader.latest()
        demands = demand_by_model(SERVICE, self.engine, totals, lambda *_: fleet.PREFILL_MS)
        starved_s = self.starvation.track(SERVICE, demands, copies)
        planner = CopyPlanner(self.engine, demands, {}, starved_s, (), self.overdue_loads)
        while (
            move := planner.next_move(
                copies, self.store_load_limiter.may_load(self.engine.loads_per_s)
            )
        ) is not None:
            if move.from_store:
                self.store_load_limiter.record_load()
            self._start_move(move)
            if move.reason is MoveReason.OVERDUE:
                self.overdue_loads.record_start(move.replica_id, move.model)
        self.predicted_ready_s = {
            name: now_s + in_s for name, in_s in planner.waiting_models(copies).ready_in_s.items()
        }

    def _start_move(self, move: CopyMove) -> None:
        replica = next(one for one in self.replicas if one.copies.replica_id == move.replica_id)
        is_busy = bool(move.evicted) and replica.running > 0
        unload_s = fleet.MODEL_UNLOAD_S if is_busy else fleet.IDLE_UNLOAD_S * bool(move.evicted)
        replica.copies.apply_move(move.model, move.evicted)
        replica.serving -= set(move.evicted)
        if move.model.startswith('patient'):
            self.loads['store' if move.from_store else 'near'] += 1
        duration_s = unload_s + move.load_s
        self.running_loads[move.replica_id] = (self.events.clock.now_s + duration_s, move.model)
        self.events.after(duration_s, lambda: self._complete_load(replica, move.model))

    def _complete_load(self, replica: ModelReplica, model: str) -> None:
        del self.running_loads[replica.copies.replica_id]
        self.cached_weights[replica.copies.replica_id].record_use(model)
        self._publish_cached_weights(replica)
        self._finish_load(replica, model)


def simulate_day(seed: int, seconds: float = 60.0) -> TierSimulation:
    """Simulate calls without faults.

    Latency-critical demand moves among models; each of many latency-tolerant models is rarely
    requested.
    """
    rng = random.Random(seed)
    critical = [f'urgent-{n}' for n in range(10)]
    tolerant = [f'patient-{n}' for n in range(16)]
    with virtual_clock() as clock:
        clock.advance(1000.0)
        simulation = TierSimulation.create_with_disks(clock, 6, 3, [*critical, *tolerant], rng)
        simulation.start()
        hot: list[str] = []
        simulation.events.every(
            lambda: 10.0, lambda: hot.__setitem__(slice(None), rng.sample(critical, 4)), 0.0
        )
        simulation.events.every(
            lambda: rng.expovariate(25.0),
            lambda: simulation.start_request(rng.choice(hot), LATENCY_CRITICAL),
            0.01,
        )
        simulation.events.every(
            lambda: rng.expovariate(2.8),
            lambda: simulation.start_request(rng.choice(tolerant), LATENCY_TOLERANT),
            0.01,
        )
        simulation.events.run(seconds)
    return simulation
