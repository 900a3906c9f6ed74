"""Processor time of one placement round of the leader on a large deployment.

45 replicas with three models each, 196 models and 419 adapters, demand for 150 models and 250
adapters, reported by 63 gateways. Target: at most 80 ms of processor time for a whole round.
"""

from __future__ import annotations

import functools
import random
import time
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.model_demand import ModelDemand, demand_by_model
from limeshelf.demand.totals import DemandTotals
from limeshelf.lease.leadership import Term
from limeshelf.metrics.prometheus import GatewayMetrics
from limeshelf.orders.pending import CLAIM_REPORT_LAG_S
from limeshelf.orders.sender import OrderSender
from limeshelf.placement.adapters import AdapterPlanner
from limeshelf.placement.planner import CopyPlanner
from limeshelf.placement.replica_monitor import ReplicaMonitor
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.clock import VirtualClock, virtual_clock
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.placement.snapshot import ReplicaView

REPLICAS = 45
MODELS = 196
MODELS_PER_REPLICA = 3
ADAPTERS = 419
ADAPTER_PLACES = 8
WANTED_MODELS = 150
WANTED_ADAPTERS = 250
WAITING_ADAPTERS = 50
GATEWAYS = 63
SERVICE = 'lm'
FENCE = 5
ROUNDS = 20
TARGET_MS = 80.0


@attrs.define
class FixedTerm:
    """A leadership whose term never changes."""

    term: Term = attrs.field(factory=lambda: Term(FENCE, 1e12, 1))
    fence: int = FENCE


class Simulation:
    """A simulated deployment of one service and the state that its leader keeps about it."""

    def __init__(self, clock: VirtualClock, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self._clock = clock
        self.engine = self._engine()
        self.directory = ReplicaDirectory(read_record)
        self.totals = DemandTotals()
        unused: Any = None
        leadership: Any = FixedTerm()
        self.sender = OrderSender(
            unused, self.directory, leadership, 'g-1', GatewayMetrics(), lambda: None
        )
        self.monitor = ReplicaMonitor(self.directory, leadership, self.sender, TaskSet())
        for number in range(REPLICAS):
            self._add_replica(f'r{number}')
        self.demands = self._demands()
        self._warm_up()

    def _engine(self) -> EngineSpec:
        names = [f'm{number}' for number in range(MODELS)]
        adapters: dict[str, set[str]] = {name: set() for name in names}
        for number in range(ADAPTERS):
            owner = names[0] if number < ADAPTERS // 5 else self._random.choice(names)
            adapters[owner].add(f'a{number}')
        models = {
            name: ModelSpec(name, 40.0, 6.0, 1.0, frozenset(adapters[name]), 1.0, 2.0)
            for name in names
        }
        return EngineSpec(8, 100_000, 130.0, ADAPTER_PLACES, 13.0, models)

    def _add_replica(self, name: str) -> None:
        models = ['m0', *self._random.sample(sorted(self.engine.models), 4)]
        models = models[: MODELS_PER_REPLICA + 1] if self._random.random() < 0.3 else models[1:]
        held = []
        places = ADAPTER_PLACES
        for model in models[:MODELS_PER_REPLICA]:
            offered = sorted(self.engine.models[model].adapters)
            adapters = self._random.sample(offered, min(places, len(offered)))
            places -= len(adapters)
            held.append(Holding(model, frozenset(adapters)))
        disk = frozenset(self._random.sample(sorted(self.engine.models), 20))
        address = f'{name}:1'
        centre = f'z{len(self.directory.all()) % 3}'
        self.directory.apply_record(
            ReplicaRecord(name, SERVICE, address, centre, 8, False, None, tuple(held), 1)
        )
        self.directory.apply_report(name, ReplicaReport(tuple(held), False, 1, on_disk=disk))

    def _warm_up(self) -> None:
        """Fill the demand averages and make the reports of all replicas fresh."""
        for _ in range(20):
            self.report_demand()
            self._clock.advance(0.2)
            self.totals.update_averages()
        for replica in self.directory.all():
            self.sender.pending(replica).record_claim(FENCE)
        self._clock.advance(1.1 * CLAIM_REPORT_LAG_S)
        for replica in self.directory.all():
            assert replica.report is not None
            self.sender.pending(replica).record_report(replica.report)

    def _demands(self) -> list[KeyDemand]:
        models = self._random.sample(sorted(self.engine.models), WANTED_MODELS)
        keys = [ModelKey(SERVICE, model) for model in models]
        adapters = [
            ModelKey(SERVICE, name, adapter)
            for name, model in self.engine.models.items()
            for adapter in sorted(model.adapters)
        ]
        keys += self._random.sample(adapters, WANTED_ADAPTERS)
        return [
            KeyDemand(key, objective_ms=self._random.choice((400, 5000)), served_ago_ms=0)
            for key in keys
        ]

    def report_demand(self) -> None:
        """Report further calls from each gateway."""
        for number in range(GATEWAYS):
            for demand in self._random.sample(self.demands, 10):
                demand.started += 1
                demand.tokens += 500
                demand.running = self._random.randrange(2)
                demand.wanted += self._random.randrange(2)
            counters = [copy_counters(demand) for demand in self.demands]
            self.totals.add_counters(f'g-{number}', counters)

    def demand(self) -> dict[str, ModelDemand]:
        """Return the demand for each model."""
        return demand_by_model(
            SERVICE, self.engine, self.totals.latest(), lambda model, tokens: 0.2 * tokens
        )

    def plan_moves(self, copies: list[ReplicaView]) -> int:
        """Plan and apply all moves of a round; return their number."""
        planner = CopyPlanner(self.engine, self.demand(), self.monitor.initial_copies(SERVICE))
        moves = 0
        while (move := planner.next_move(copies)) is not None:
            moves += 1
            for replica in copies:
                if replica.replica_id == move.replica_id:
                    replica.apply_move(move.model, move.evicted)
        return moves

    def plan_without_moves(self, copies: list[ReplicaView]) -> None:
        """Plan again after all moves of a round, which finds no move."""
        planner = CopyPlanner(self.engine, self.demand(), self.monitor.initial_copies(SERVICE))
        assert planner.next_move(copies) is None
        planner.waiting_models(copies)

    def plan_adapters(self) -> int:
        """Plan the waiting adapters; return the number that can be placed."""
        planner = AdapterPlanner(SERVICE, self.engine, self.directory, self.totals.latest(), FENCE)
        replicas = self.directory.of_service(SERVICE)
        pending = {replica.replica_id: self.sender.pending(replica) for replica in replicas}
        moves = [
            planner.plan(key, pending) for key in planner.unserved_adapters()[:WAITING_ADAPTERS]
        ]
        return sum(1 for move in moves if move is not None)


def copy_counters(demand: KeyDemand) -> KeyDemand:
    """Return a copy of the current counters."""
    return msgspec.structs.replace(demand)


def best_ms(action: Callable[[], object]) -> float:
    """Return the shortest processor time of several runs, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return min(times) * 1e3


def main() -> None:
    """Print the processor time of each part of a round, and whether the sum is within target."""
    with virtual_clock() as clock:
        simulation = Simulation(clock)
        moved_replicas = simulation.monitor.replica_views(SERVICE)
        moves = simulation.plan_moves(moved_replicas)
        parts: dict[str, Callable[[], object]] = {
            'demand by model': simulation.demand,
            'view of the replicas': functools.partial(simulation.monitor.replica_views, SERVICE),
            'all moves': lambda: simulation.plan_moves(simulation.monitor.replica_views(SERVICE)),
            'demand and a look that finds no move': lambda: simulation.plan_without_moves(
                moved_replicas
            ),
            'waiting adapters': simulation.plan_adapters,
            'sums of demand': simulation.totals.update_averages,
        }
        costs = {name: best_ms(part) for name, part in parts.items()}
        adapters = simulation.plan_adapters()
    for name, cost in costs.items():
        print(f'{name}: {cost:.2f} ms')
    total_ms = sum(costs.values())
    verdict = 'within' if total_ms < TARGET_MS else 'beyond'
    print(f'{moves} moves, {adapters} adapters: {total_ms:.1f} ms in all, {verdict} the aim')


if __name__ == '__main__':
    main()
