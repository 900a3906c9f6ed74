"""Every requested model and adapter is served within a bound; planners run on a virtual clock."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.model_demand import demand_by_model
from limeshelf.placement import adapters, overdue
from limeshelf.placement.planner import CopyPlanner
from limeshelf.placement.service import ROUND_INTERVAL_S
from limeshelf.util.clock import VirtualClock, virtual_clock
from tests.placement import fleet_simulation as fleet
from tests.placement.fleet_simulation import (
    SERVICE,
    AdapterReplica,
    AdapterSimulation,
    CallRecord,
    ModelReplica,
    ModelSimulation,
)

if TYPE_CHECKING:
    from collections.abc import Callable

EIGHT = [f'a{n}' for n in range(8)]
NINTH = 'ninth'
ADAPTER_MOVE_S = fleet.ADAPTER_UNLOAD_S + fleet.ADAPTER_CALL_S + fleet.ADAPTER_LOAD_S
NINTH_INTERVAL_S = 1.0
RETRY_IN_S = 0.5
LATENCY_CRITICAL_MS = 400
LATENCY_TOLERANT_MS = 5000


def adapter_bound_s(waiting: int, pause_s: float) -> float:
    """Return the maximum waiting time of an adapter when *waiting* adapters have no place.

    They become overdue after a time and are then loaded one after the other. Each load takes a
    round, a move, and the pause until its caller retries.
    """
    return adapters.OVERDUE_AFTER_S + waiting * (ROUND_INTERVAL_S + ADAPTER_MOVE_S + pause_s)


def max_lost_share(requested: int, places: int) -> float:
    """Return the maximum share of calls that adapters in steady use lose.

    The adapter without a place rotates evenly among all requested ones; in addition, a place is
    empty during each move.
    """
    move_share = ADAPTER_MOVE_S / (adapters.OVERDUE_AFTER_S + ADAPTER_MOVE_S)
    return (requested - places) / requested + move_share / places


def key(model: str, adapter: str = '') -> ModelKey:
    return ModelKey(SERVICE, model, adapter)


def simulate_adapters(
    clock: VirtualClock, pause_s: float, seconds: float = 60.0
) -> AdapterSimulation:
    """Request eight adapters at an even rate, and a ninth once a second."""
    simulation = AdapterSimulation.create(clock, 8, [*EIGHT, NINTH])
    simulation.start()
    for n, name in enumerate(EIGHT):
        request_periodically(simulation, name, pause_s, pause_s * n / 8)
    request_periodically(simulation, NINTH, NINTH_INTERVAL_S, 0.05)
    simulation.events.run(seconds)
    return simulation


def request_periodically(
    simulation: AdapterSimulation, name: str, pause_s: float, first_s: float
) -> None:
    simulation.events.every(
        lambda: pause_s,
        lambda: simulation.request(key('m1', name), LATENCY_CRITICAL_MS, lambda: RETRY_IN_S),
        first_s,
    )


def total_record(simulation: AdapterSimulation, names: list[str]) -> CallRecord:
    total = CallRecord()
    for name in names:
        one = simulation.records[key('m1', name)]
        total.requests += one.requests
        total.served_requests += one.served_requests
        total.calls += one.calls
    return total


@pytest.mark.parametrize('pause_s', [0.5, 0.59, 0.7, 1.0])
def test_ninth_adapter_beside_eight_in_use_is_served_repeatedly(pause_s: float) -> None:
    """Otherwise one of its 60 calls is served."""
    with virtual_clock() as clock:
        simulation = simulate_adapters(clock, pause_s)
        ninth, eight = total_record(simulation, [NINTH]), total_record(simulation, EIGHT)
        bound_s = adapter_bound_s(1, NINTH_INTERVAL_S)
        assert ninth.longest_unserved_s(min_calls=1) <= bound_s
        for name in EIGHT:
            assert total_record(simulation, [name]).longest_unserved_s(min_calls=1) <= bound_s
        assert eight.served_requests >= (1 - max_lost_share(9, 8)) * eight.requests


def model_bound_s(
    requested: int, replicas: int, load_s: float, after_s: float = overdue.OVERDUE_AFTER_S
) -> float:
    """Return the maximum waiting time of one of *requested* models when all others go first."""
    concurrent = max(1, int(overdue.OVERDUE_REPLICAS_SHARE * replicas))
    load_each_s = fleet.MODEL_UNLOAD_S + load_s + ROUND_INTERVAL_S
    return after_s + math.ceil(requested / concurrent) * load_each_s


@attrs.frozen
class FleetShape:
    """The size of a fleet and the number of models that are requested."""

    replicas: int
    critical: int
    tolerant: int
    places: int = 3

    def bound_s(self, after_s: float = overdue.OVERDUE_AFTER_S) -> float:
        requested = self.critical + self.tolerant
        return model_bound_s(requested, self.replicas, fleet.MODEL_LOAD_S, after_s)

    def critical_names(self) -> list[str]:
        return [f'urgent-{n}' for n in range(self.critical)]

    def tolerant_names(self) -> list[str]:
        return [f'patient-{n}' for n in range(self.tolerant)]


SIX_REPLICAS = FleetShape(6, 10, 16)
THREE_REPLICAS = FleetShape(3, 4, 6)


def simulate_models(clock: VirtualClock, shape: FleetShape, seed: int) -> ModelSimulation:
    """Move latency-critical demand every 10 s beside rarely requested latency-tolerant models."""
    rng = random.Random(seed)
    names = shape.critical_names()
    simulation = ModelSimulation.create(
        clock, shape.replicas, shape.places, [*names, *shape.tolerant_names()]
    )
    simulation.start()
    hot: list[str] = []

    def move_demand() -> None:
        hot[:] = rng.sample(names, 2)

    def request_critical() -> None:
        name = rng.choice(hot if rng.random() < 0.8 else names)
        simulation.request(key(name), LATENCY_CRITICAL_MS, lambda: LATENCY_CRITICAL_MS / 3000)

    rate_per_s = rng.uniform(20, 60) * shape.replicas / SIX_REPLICAS.replicas
    simulation.events.every(lambda: 10.0, move_demand, 0.0)
    simulation.events.every(lambda: rng.expovariate(rate_per_s), request_critical, 0.01)
    for name in shape.tolerant_names():
        request_rarely(simulation, name, rng)
    return simulation


def request_rarely(simulation: ModelSimulation, name: str, rng: random.Random) -> None:
    """Request with a deadline of 20 s; refused callers retry within a third of that."""
    simulation.events.every(
        lambda: rng.uniform(4.0, 8.0),
        lambda: simulation.request(
            key(name), LATENCY_TOLERANT_MS, lambda: rng.uniform(3.0, 20.0 / 3)
        ),
        rng.uniform(0.0, 8.0),
    )


@pytest.mark.parametrize('seed', range(1, 7))
def test_latency_tolerant_models_beside_moving_demand_are_all_served(seed: int) -> None:
    """Otherwise 6 to 12 of some 20 models are never loaded when a caller requests them."""
    with virtual_clock() as clock:
        simulation = simulate_models(clock, SIX_REPLICAS, seed)
        simulation.events.run(1.3 * SIX_REPLICAS.bound_s())
        tolerant_records = {
            one: simulation.records[key(one)] for one in SIX_REPLICAS.tolerant_names()
        }
        late = {
            name: record.longest_unserved_s()
            for name, record in tolerant_records.items()
            if record.longest_unserved_s() > SIX_REPLICAS.bound_s()
        }
        assert late == {}


def test_unserved_copy_is_still_held_when_its_caller_retries() -> None:
    """Otherwise 12 to 25 copies are evicted for another model before the caller retries."""
    evicted_early = {}
    for seed in range(1, 7):
        with virtual_clock() as clock:
            simulation = simulate_models(clock, SIX_REPLICAS, seed)
            simulation.events.run(0.5 * SIX_REPLICAS.bound_s())
            evicted_early[seed] = len(simulation.evicted_too_early)
    assert not any(evicted_early.values()), evicted_early


#: Faults start and end within this time.
FAULTS_S = 30.0
FAULT_NAMES = [
    'new leader',
    'lost load requests',
    'late reports',
    'cut off',
    'doubled',
    'disorder',
]
faults = st.lists(
    st.tuples(st.sampled_from(FAULT_NAMES), st.floats(0.0, 25.0), st.floats(1.0, 15.0)),
    min_size=1,
    max_size=4,
)


def inject(
    simulation: AdapterSimulation | ModelSimulation,
    fault: tuple[str, float, float],
    set_late: Callable[[bool], None],
) -> None:
    """Start a fault after some time and end it after some more."""
    name, begins_s, lasts_s = fault
    gateway = simulation.gateway
    cut_off: AdapterReplica | ModelReplica
    cut_off = (
        simulation.replicas['r0']
        if isinstance(simulation, AdapterSimulation)
        else simulation.replicas[0]
    )

    def switch(is_on: bool) -> None:
        if name == 'new leader':
            gateway.replace_leader()
        elif name == 'lost load requests':
            gateway.drops_load_requests = is_on
        elif name == 'late reports':
            set_late(is_on)
        elif name == 'cut off':
            cut_off.is_cut_off = is_on
        elif name == 'doubled':
            gateway.duplicates_messages = is_on
        else:
            gateway.reorders_messages = is_on

    simulation.events.after(begins_s, lambda: switch(True))
    simulation.events.after(min(FAULTS_S, begins_s + lasts_s), lambda: switch(False))


@given(faults=faults, seed=st.integers(1, 1000))
@settings(max_examples=6, derandomize=True, deadline=None)
def test_models_are_served_within_the_bound_after_faults(
    faults: list[tuple[str, float, float]], seed: int
) -> None:
    """Waiting times must survive a change of leader, and must not end with an order."""
    with virtual_clock() as clock:
        simulation = simulate_models(clock, THREE_REPLICAS, seed)

        def set_late(is_late: bool) -> None:
            simulation.report_lag_s = 2.0 if is_late else 0.0

        for fault in faults:
            inject(simulation, fault, set_late)
        simulation.events.run(FAULTS_S)
        faults_end_s = clock.now_s
        simulation.events.run(1.2 * THREE_REPLICAS.bound_s())
        tolerant_records = {
            one: simulation.records[key(one)] for one in THREE_REPLICAS.tolerant_names()
        }
        late = {
            name: one.longest_unserved_s(faults_end_s) for name, one in tolerant_records.items()
        }
        assert max(late.values()) <= THREE_REPLICAS.bound_s(), late


@given(faults=faults, pause_s=st.sampled_from([0.4, 0.5, 0.59, 0.7]))
@settings(max_examples=20, derandomize=True, deadline=None)
def test_adapters_are_served_within_the_bound_after_faults(
    faults: list[tuple[str, float, float]], pause_s: float
) -> None:
    """A load request that cannot be met at once must be met later."""
    with virtual_clock() as clock:
        simulation = simulate_adapters(clock, pause_s, 0.0)

        def set_late(is_late: bool) -> None:
            simulation.reports_are_late = is_late

        for fault in faults:
            inject(simulation, fault, set_late)
        simulation.events.run(FAULTS_S)
        faults_end_s = clock.now_s
        simulation.events.run(30.0)
        # All nine may be waiting when the replica is reachable again.
        bound_s = adapter_bound_s(9, NINTH_INTERVAL_S)
        for name in [*EIGHT, NINTH]:
            one = simulation.records[key('m1', name)]
            assert one.longest_unserved_s(faults_end_s, min_calls=1) <= bound_s, name


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_models_whose_replica_stays_cut_off_are_served_elsewhere(seed: int) -> None:
    with virtual_clock() as clock:
        simulation = simulate_models(clock, SIX_REPLICAS, seed)
        simulation.replicas[0].is_cut_off = True
        bound_s = SIX_REPLICAS.bound_s(overdue.SECOND_COPY_AFTER_S)
        simulation.events.run(1.2 * bound_s)
        tolerant_records = {
            one: simulation.records[key(one)].longest_unserved_s()
            for one in SIX_REPLICAS.tolerant_names()
        }
        assert max(tolerant_records.values()) <= bound_s, tolerant_records


HUGE = 2**62
BAD_COUNTS = {
    'no such model': KeyDemand(key('no-such'), 5, 1, 5, 400, 10, 0, 0),
    'no such service': KeyDemand(ModelKey('none', 'patient-0'), 5, 1, 5, 400, 10, 0, 0),
    'no such adapter': KeyDemand(key('patient-0', 'no-such'), 5, 0, 5, 400, 10, 0, 0),
    'negative': KeyDemand(key('patient-0'), -5, -5, -5, -400, -5, -5, -5),
    'negative calls under way': KeyDemand(key('patient-0'), 0, -HUGE, 0, 0, 0, 0, 0),
}


@pytest.mark.parametrize('name', BAD_COUNTS)
def test_bad_counts_cause_no_load(name: str) -> None:
    """A model that cannot be loaded, or that was not requested, would stay overdue forever."""
    with virtual_clock() as clock:
        simulation = ModelSimulation.create(clock, 2, 1, ['urgent-0', 'urgent-1', 'patient-0'])
        totals = simulation.gateway.leader
        totals.add_counters('g2', [])
        for _ in range(150):
            clock.advance(ROUND_INTERVAL_S)
            totals.add_counters('g2', [BAD_COUNTS[name]])
            used = [KeyDemand(key(f'urgent-{n}'), 0, 9, 0, 400, 0, 0, 0) for n in range(2)]
            totals.add_counters('g1', used)
            totals.update_averages()
            demands = demand_by_model(SERVICE, simulation.engine, totals.latest(), lambda *_: 0.0)
            plan = CopyPlanner(simulation.engine, demands, {})
            assert plan.next_move([one.copies for one in simulation.replicas]) is None


@pytest.mark.parametrize('count', [-HUGE, -1, HUGE])
def test_bad_counts_of_an_adapter_occupy_at_most_one_place(count: int) -> None:
    with virtual_clock() as clock:
        simulation = simulate_adapters(clock, 0.5, 5.0)
        bad = KeyDemand(key('m1', 'no-such'), count, count, count, 0, count, count, count)
        real = KeyDemand(key('m1', NINTH), count, 0, count, 0, count, count, 0)
        simulation.gateway.leader.add_counters('g2', [])
        simulation.events.every(
            lambda: 1.0,
            lambda: simulation.gateway.leader.add_counters('g2', [bad, real]),
            first_s=0.0,
        )
        simulation.events.run(60.0)
        eight = total_record(simulation, EIGHT)
        assert not any('no-such' in one.held for one in simulation.replicas.values())
        assert eight.served_requests >= (1 - max_lost_share(9, 8)) * eight.requests
