"""All that is asked for is served in the end, and soon; the planners played on a virtual clock."""

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
from tests.placement import fleet_play as fleet
from tests.placement.fleet_play import (
    SERVICE,
    AdapterPlay,
    AdapterReplica,
    ModelPlay,
    ModelReplica,
    Record,
)

if TYPE_CHECKING:
    from collections.abc import Callable

EIGHT = [f'a{n}' for n in range(8)]
NINTH = 'ninth'
ADAPTER_MOVE_S = fleet.ADAPTER_UNLOAD_S + fleet.ADAPTER_CALL_S + fleet.ADAPTER_LOAD_S
NINTH_PAUSE_S = 1.0
BACK_S = 0.5
URGENT_MS = 400
PATIENT_MS = 5000


def adapter_bound_s(waiting: int, pause_s: float) -> float:
    """Return how long an adapter waits at the most where so many have no place.

    Turns begin after a time, and are taken one after the other: each takes a round, a move, and
    the pause until a caller is there.
    """
    return adapters.OVERDUE_AFTER_S + waiting * (ROUND_INTERVAL_S + ADAPTER_MOVE_S + pause_s)


def lost_share(asked: int, places: int) -> float:
    """Return the share of calls that those in steady use lose at the most.

    Who has no place changes evenly among all that are asked for; in each turn a place is empty
    for the time of a move besides.
    """
    move_share = ADAPTER_MOVE_S / (adapters.OVERDUE_AFTER_S + ADAPTER_MOVE_S)
    return (asked - places) / asked + move_share / places


def key(model: str, adapter: str = '') -> ModelKey:
    return ModelKey(SERVICE, model, adapter)


def play_adapters(clock: VirtualClock, pause_s: float, seconds: float = 60.0) -> AdapterPlay:
    """Let eight adapters be asked for at an even pace, and a ninth once a second."""
    play = AdapterPlay.of(clock, 8, [*EIGHT, NINTH])
    play.begin()
    for n, name in enumerate(EIGHT):
        ask_evenly(play, name, pause_s, pause_s * n / 8)
    ask_evenly(play, NINTH, NINTH_PAUSE_S, 0.05)
    play.line.run(seconds)
    return play


def ask_evenly(play: AdapterPlay, name: str, pause_s: float, first_s: float) -> None:
    play.line.every(
        lambda: pause_s,
        lambda: play.ask(key('m1', name), URGENT_MS, lambda: BACK_S),
        first_s,
    )


def sum_up(play: AdapterPlay, names: list[str]) -> Record:
    total = Record()
    for name in names:
        one = play.records[key('m1', name)]
        total.asks += one.asks
        total.answered += one.answered
        total.calls += one.calls
    return total


@pytest.mark.parametrize('pause_s', [0.5, 0.59, 0.7, 1.0])
def test_ninth_adapter_beside_eight_in_use_is_served_again_and_again(pause_s: float) -> None:
    """One of its 60 calls found it, however long it was asked for."""
    with virtual_clock() as clock:
        play = play_adapters(clock, pause_s)
        ninth, eight = sum_up(play, [NINTH]), sum_up(play, EIGHT)
        bound_s = adapter_bound_s(1, NINTH_PAUSE_S)
        assert ninth.longest_unserved_s(least_calls=1) <= bound_s
        for name in EIGHT:
            assert sum_up(play, [name]).longest_unserved_s(least_calls=1) <= bound_s
        assert eight.answered >= (1 - lost_share(9, 8)) * eight.asks


def model_bound_s(
    asked: int, replicas: int, load_s: float, after_s: float = overdue.OVERDUE_AFTER_S
) -> float:
    """Return how long one of so many models waits at the most, all others before it."""
    at_once = max(1, int(overdue.OVERDUE_REPLICAS_SHARE * replicas))
    each_s = fleet.MODEL_UNLOAD_S + load_s + ROUND_INTERVAL_S
    return after_s + math.ceil(asked / at_once) * each_s


@attrs.frozen
class Shape:
    """A fleet and what is asked of it."""

    replicas: int
    urgent: int
    patient: int
    places: int = 3

    def bound_s(self, after_s: float = overdue.OVERDUE_AFTER_S) -> float:
        asked = self.urgent + self.patient
        return model_bound_s(asked, self.replicas, fleet.MODEL_LOAD_S, after_s)

    def urgent_names(self) -> list[str]:
        return [f'urgent-{n}' for n in range(self.urgent)]

    def patient_names(self) -> list[str]:
        return [f'patient-{n}' for n in range(self.patient)]


SIX = Shape(6, 10, 16)
SMALL = Shape(3, 4, 6)


def play_models(clock: VirtualClock, shape: Shape, seed: int) -> ModelPlay:
    """Let urgent demand move each 10 s beside patient models that few ask for."""
    chance = random.Random(seed)
    names = shape.urgent_names()
    play = ModelPlay.of(clock, shape.replicas, shape.places, [*names, *shape.patient_names()])
    play.begin()
    hot: list[str] = []

    def move_demand() -> None:
        hot[:] = chance.sample(names, 2)

    def ask_urgent() -> None:
        name = chance.choice(hot if chance.random() < 0.8 else names)
        play.ask(key(name), URGENT_MS, lambda: URGENT_MS / 3000)

    rate_per_s = chance.uniform(20, 60) * shape.replicas / SIX.replicas
    play.line.every(lambda: 10.0, move_demand, 0.0)
    play.line.every(lambda: chance.expovariate(rate_per_s), ask_urgent, 0.01)
    for name in shape.patient_names():
        ask_patiently(play, name, chance)
    return play


def ask_patiently(play: ModelPlay, name: str, chance: random.Random) -> None:
    """Ask with 20 s left; who is refused comes back within a third of that."""
    play.line.every(
        lambda: chance.uniform(4.0, 8.0),
        lambda: play.ask(key(name), PATIENT_MS, lambda: chance.uniform(3.0, 20.0 / 3)),
        chance.uniform(0.0, 8.0),
    )


@pytest.mark.parametrize('seed', range(1, 7))
def test_patient_models_beside_urgent_demand_that_moves_are_all_served(seed: int) -> None:
    """6 to 12 of some 20 were never there when somebody asked."""
    with virtual_clock() as clock:
        play = play_models(clock, SIX, seed)
        play.line.run(1.3 * SIX.bound_s())
        waits = {one: play.records[key(one)] for one in SIX.patient_names()}
        late = {
            name: record.longest_unserved_s()
            for name, record in waits.items()
            if record.longest_unserved_s() > SIX.bound_s()
        }
        assert late == {}


def test_copy_that_came_for_somebody_is_there_when_he_is_back() -> None:
    """12 to 25 copies a play were evicted for another model before the caller came back."""
    gone = {}
    for seed in range(1, 7):
        with virtual_clock() as clock:
            play = play_models(clock, SIX, seed)
            play.line.run(0.5 * SIX.bound_s())
            gone[seed] = len(play.gone_too_soon)
    assert not any(gone.values()), gone


#: Faults begin within this time, and end with it.
FAULTS_S = 30.0
FAULT_NAMES = ['new leader', 'lost wishes', 'late reports', 'cut off', 'doubled', 'disorder']
faults = st.lists(
    st.tuples(st.sampled_from(FAULT_NAMES), st.floats(0.0, 25.0), st.floats(1.0, 15.0)),
    min_size=1,
    max_size=4,
)


def inject(
    play: AdapterPlay | ModelPlay,
    fault: tuple[str, float, float],
    be_late: Callable[[bool], None],
) -> None:
    """Let a fault begin after some time and end after some more."""
    name, begins_s, lasts_s = fault
    gateway = play.gateway
    cut_off: AdapterReplica | ModelReplica
    cut_off = play.replicas['r0'] if isinstance(play, AdapterPlay) else play.replicas[0]

    def switch(is_on: bool) -> None:
        if name == 'new leader':
            gateway.replace_leader()
        elif name == 'lost wishes':
            gateway.loses_wishes = is_on
        elif name == 'late reports':
            be_late(is_on)
        elif name == 'cut off':
            cut_off.is_cut_off = is_on
        elif name == 'doubled':
            gateway.is_doubled = is_on
        else:
            gateway.is_disordered = is_on

    play.line.after(begins_s, lambda: switch(True))
    play.line.after(min(FAULTS_S, begins_s + lasts_s), lambda: switch(False))


@given(faults=faults, seed=st.integers(1, 1000))
@settings(max_examples=6, derandomize=True, deadline=None)
def test_models_are_served_within_the_bound_after_faults(
    faults: list[tuple[str, float, float]], seed: int
) -> None:
    """An age that was kept by one process, or ended with an order, was lost with it."""
    with virtual_clock() as clock:
        play = play_models(clock, SMALL, seed)

        def be_late(is_late: bool) -> None:
            play.report_lag_s = 2.0 if is_late else 0.0

        for fault in faults:
            inject(play, fault, be_late)
        play.line.run(FAULTS_S)
        over_s = clock.now_s
        play.line.run(1.2 * SMALL.bound_s())
        waits = {one: play.records[key(one)] for one in SMALL.patient_names()}
        late = {name: one.longest_unserved_s(over_s) for name, one in waits.items()}
        assert max(late.values()) <= SMALL.bound_s(), late


@given(faults=faults, pause_s=st.sampled_from([0.4, 0.5, 0.59, 0.7]))
@settings(max_examples=20, derandomize=True, deadline=None)
def test_adapters_are_served_within_the_bound_after_faults(
    faults: list[tuple[str, float, float]], pause_s: float
) -> None:
    """A wish that met a bad moment was not kept."""
    with virtual_clock() as clock:
        play = play_adapters(clock, pause_s, 0.0)

        def be_late(is_late: bool) -> None:
            play.reports_are_late = is_late

        for fault in faults:
            inject(play, fault, be_late)
        play.line.run(FAULTS_S)
        over_s = clock.now_s
        play.line.run(30.0)
        # All nine may wait when a cut ends.
        bound_s = adapter_bound_s(9, NINTH_PAUSE_S)
        for name in [*EIGHT, NINTH]:
            one = play.records[key('m1', name)]
            assert one.longest_unserved_s(over_s, least_calls=1) <= bound_s, name


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_models_whose_replica_stays_cut_off_are_served_elsewhere(seed: int) -> None:
    with virtual_clock() as clock:
        play = play_models(clock, SIX, seed)
        play.replicas[0].is_cut_off = True
        bound_s = SIX.bound_s(overdue.SECOND_COPY_AFTER_S)
        play.line.run(1.2 * bound_s)
        waits = {one: play.records[key(one)].longest_unserved_s() for one in SIX.patient_names()}
        assert max(waits.values()) <= bound_s, waits


HUGE = 2**62
BAD_COUNTS = {
    'no such model': KeyDemand(key('no-such'), 5, 1, 5, 400, 10, 0, 0),
    'no such service': KeyDemand(ModelKey('none', 'patient-0'), 5, 1, 5, 400, 10, 0, 0),
    'no such adapter': KeyDemand(key('patient-0', 'no-such'), 5, 0, 5, 400, 10, 0, 0),
    'negative': KeyDemand(key('patient-0'), -5, -5, -5, -400, -5, -5, -5),
    'negative calls under way': KeyDemand(key('patient-0'), 0, -HUGE, 0, 0, 0, 0, 0),
}


@pytest.mark.parametrize('name', BAD_COUNTS)
def test_bad_counts_take_no_place(name: str) -> None:
    """What cannot be loaded, or was asked for by nobody, would have its turn by age for ever."""
    with virtual_clock() as clock:
        play = ModelPlay.of(clock, 2, 1, ['urgent-0', 'urgent-1', 'patient-0'])
        totals = play.gateway.leader
        totals.take('g2', [])
        for _ in range(150):
            clock.advance(ROUND_INTERVAL_S)
            totals.take('g2', [BAD_COUNTS[name]])
            used = [KeyDemand(key(f'urgent-{n}'), 0, 9, 0, 400, 0, 0, 0) for n in range(2)]
            totals.take('g1', used)
            totals.step()
            demands = demand_by_model(SERVICE, play.engine, totals.latest(), lambda *_: 0.0)
            plan = CopyPlanner(play.engine, demands, {})
            assert plan.next_move([one.copies for one in play.replicas]) is None


@pytest.mark.parametrize('count', [-HUGE, -1, HUGE])
def test_bad_counts_of_an_adapter_take_one_place_at_the_most(count: int) -> None:
    with virtual_clock() as clock:
        play = play_adapters(clock, 0.5, 5.0)
        bad = KeyDemand(key('m1', 'no-such'), count, count, count, 0, count, count, count)
        real = KeyDemand(key('m1', NINTH), count, 0, count, 0, count, count, 0)
        play.gateway.leader.take('g2', [])
        play.line.every(
            lambda: 1.0, lambda: play.gateway.leader.take('g2', [bad, real]), first_s=0.0
        )
        play.line.run(60.0)
        eight = sum_up(play, EIGHT)
        assert not any('no-such' in one.held for one in play.replicas.values())
        assert eight.answered >= (1 - lost_share(9, 8)) * eight.asks
