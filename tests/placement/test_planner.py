"""Which copy comes or goes next."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.keys import ModelKey
from limeshelf.demand.model_demand import ModelDemand, demand_by_model
from limeshelf.demand.totals import KeyTotals
from limeshelf.placement.pace import LoadPace
from limeshelf.placement.planner import CopyMove, CopyPlanner, MoveReason
from limeshelf.placement.starvation import Starvation
from limeshelf.placement.survey import ReplicaCopies
from limeshelf.util.clock import boottime_s, virtual_clock

SIZES = {'big': 70.0, 'hot': 70.0, 'small': 40.0, 'rare': 40.0, 'other': 60.0}
CAPACITY_MB = 160.0


def engine() -> EngineSpec:
    models = {
        name: ModelSpec(name, size, 5.0, 1.0, frozenset(), 1.0) for name, size in SIZES.items()
    }
    return EngineSpec(8, 10000, CAPACITY_MB, 4, 2.0, models)


def holder(name: str, *models: str, idle: bool = True, centre: str = 'c1') -> ReplicaCopies:
    return ReplicaCopies(name, set(models), set(), idle, centre)


def busy(calls_per_s: float, replicas: float = 0.0) -> ModelDemand:
    """Return a need of so many calls that keep so many replicas busy."""
    return ModelDemand(
        calls_per_s=calls_per_s,
        lasting_calls_per_s=calls_per_s,
        busy_replicas=replicas or calls_per_s / 10,
        running=calls_per_s / 2,
        objective_s=1.0,
    )


def seldom(calls_per_s: float = 0.3, waits: bool = False) -> ModelDemand:
    """Return a need of few calls that can wait for a load."""
    return ModelDemand(
        calls_per_s=calls_per_s,
        lasting_calls_per_s=calls_per_s,
        busy_replicas=0.03,
        is_waiting=waits,
        objective_s=6.0,
    )


def planner(**needs: ModelDemand) -> CopyPlanner:
    return CopyPlanner(engine(), needs, {})


def test_missing_model_that_is_asked_for_comes_first() -> None:
    move = planner(hot=busy(20, replicas=0.9), rare=seldom(waits=True)).next_move(
        [holder('r1', 'hot', 'big'), holder('r2', 'small', 'other')]
    )
    assert move is not None
    assert (move.model, move.reason) == ('rare', 'missing')


def test_crowded_model_gets_a_copy_in_place_of_an_idle_one() -> None:
    holders = [holder('r1', 'hot', 'big'), holder('r2', 'small', 'other', 'rare')]
    move = planner(hot=busy(20)).next_move(holders)
    assert move is not None
    assert (move.replica_id, move.model, move.reason) == ('r2', 'hot', 'crowded')
    assert 'hot' not in move.evicted


def test_copy_that_is_needed_does_not_give_way_to_a_seldom_model() -> None:
    """Copies of the busy model went one by one for models with a call now and then.

    Seen on Sljeme's scale-1: one replica of nine was left to the busiest model.
    """
    holders = [holder('r1', 'hot', 'big'), holder('r2', 'hot', 'small', 'rare')]
    needs = {
        'hot': busy(20, replicas=2.0),
        'big': busy(3),
        'small': seldom(),
        'rare': seldom(),
        'other': seldom(waits=True),
    }
    move = planner(**needs).next_move(holders)
    assert move is None or 'hot' not in move.evicted


def test_seldom_models_take_turns_in_the_room_that_is_left() -> None:
    holders = [holder('r1', 'hot', 'big'), holder('r2', 'hot', 'small', 'rare')]
    needs = {
        'hot': busy(20, replicas=2.0),
        'big': busy(3),
        'small': seldom(0.1),
        'rare': ModelDemand(objective_s=6.0),
        'other': seldom(waits=True),
    }
    holders[1].ready = {'hot', 'small'}
    holders.append(holder('r3', 'rare', 'small', 'big'))
    move = planner(**needs).next_move(holders)
    assert move is not None
    assert (move.model, move.replica_id) == ('other', 'r3')


def test_starved_model_gets_its_turn_in_the_end() -> None:
    """On Sljeme's scale-2 four models that were asked for had no copy for 25 s."""
    holders = [holder('r1', 'hot'), holder('r2', 'hot'), holder('r3', 'big', 'small', 'rare')]
    for busy_holder in holders[:2]:
        busy_holder.is_idle = False
    needs = {
        'hot': busy(20, replicas=2.0),
        'big': busy(3),
        'small': seldom(0.1),
        'rare': seldom(0.1),
        'other': seldom(0.2, waits=True),
    }
    assert CopyPlanner(engine(), needs, {}).next_move(holders) is None
    move = CopyPlanner(engine(), needs, {}, {'other': 20.0}).next_move(holders)
    assert move is not None
    assert move.model == 'other'
    assert 'hot' not in move.evicted


def test_starvation_counts_from_the_first_call_without_a_copy() -> None:
    with virtual_clock() as clock:
        starvation = Starvation()
        waiting = {'rare': seldom(waits=True), 'other': seldom()}
        assert starvation.step('lm', waiting, [holder('r1', 'hot')]) == {'rare': 0.0}
        clock.advance(5.0)
        calm = {'rare': seldom()}
        assert starvation.step('lm', calm, [holder('r1', 'hot')]) == {'rare': 5.0}
        assert starvation.step('lm', calm, [ReplicaCopies('r1', set(), {'rare'}, False)]) == {}


def test_busy_model_gets_no_copy_beyond_its_need() -> None:
    holders = [holder('r1', 'hot', 'big'), holder('r2', 'small', 'other', 'rare')]
    assert planner(hot=busy(20, replicas=0.4)).next_move(holders) is None


def test_copies_go_to_other_data_centres_first() -> None:
    holders = [
        holder('r1', 'hot', 'big', 'small'),
        holder('r2', 'other', centre='c1'),
        holder('r3', 'rare', centre='c2'),
    ]
    move = planner(hot=busy(20, replicas=2.0)).next_move(holders)
    assert move is not None
    assert (move.model, move.replica_id) == ('hot', 'r3')


def test_further_copy_does_not_go_where_another_model_keeps_the_replica_busy() -> None:
    holders = [
        holder('r1', 'hot', 'small', 'rare'),
        holder('r2', 'big'),
        holder('r3', 'other'),
    ]
    needs = {'hot': busy(20, replicas=2.0), 'big': busy(10, replicas=1.0)}
    move = planner(**needs).next_move(holders)
    assert move is not None
    assert (move.model, move.replica_id) == ('hot', 'r3')


def test_last_ready_copy_stays() -> None:
    """A copy on its way serves nobody, so it lets no ready one go."""
    loading = ReplicaCopies('r2', {'small'}, {'hot'}, False)
    move = planner(hot=busy(20), other=seldom()).next_move([holder('r1', 'hot', 'big'), loading])
    assert move is None or 'hot' not in move.evicted


def test_moves_that_are_not_urgent_leave_replicas_free() -> None:
    holders = [
        holder('r1', 'hot', idle=False),
        holder('r2', 'big', idle=False),
        holder('r3', 'small'),
    ]
    needs = {'hot': busy(20, 0.5), 'big': busy(3), 'small': seldom(), 'other': seldom()}
    assert planner(**needs).next_move(holders) is None
    needs['other'] = busy(5)
    move = planner(**needs).next_move(holders)
    assert move is not None
    assert move.model == 'other'


def test_quiet_start_keeps_what_was_busy() -> None:
    holders = [
        holder('r1', 'hot', 'other'),
        holder('r2', 'hot', 'big'),
        holder('r3', 'hot', 'small', 'rare'),
    ]
    plan = CopyPlanner(engine(), {}, {'hot': 3, 'big': 1, 'small': 1, 'rare': 1, 'other': 1})
    assert plan.next_move(holders) is None


def test_quiet_start_gives_surplus_copies_for_models_without_one() -> None:
    holders = [holder(f'r{n}', 'hot', 'big') for n in range(4)]
    holders[0].ready = {'hot', 'small', 'rare'}
    plan = CopyPlanner(engine(), {}, {'hot': 4, 'big': 3, 'small': 1, 'rare': 1})
    move = plan.next_move(holders)
    assert move is not None
    assert (move.model, len(move.evicted)) == ('other', 1)


names = st.sampled_from(sorted(SIZES))
needs = st.builds(
    ModelDemand,
    calls_per_s=st.floats(0, 40),
    lasting_calls_per_s=st.floats(0, 40),
    busy_replicas=st.floats(0, 4),
    running=st.floats(0, 40),
    adapters=st.integers(0, 9),
    is_waiting=st.booleans(),
    objective_s=st.sampled_from([0.0, 1.0, 6.0]),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    held=st.lists(st.sets(names, max_size=3), min_size=1, max_size=4),
    needs=st.dictionaries(names, needs, max_size=5),
)
def test_a_move_always_fits_and_gains_more_than_it_loses(
    held: list[set[str]], needs: dict[str, ModelDemand]
) -> None:
    holders = [
        holder(f'r{n}', *models)
        for n, models in enumerate(held)
        if sum(SIZES[name] for name in models) + 4.0 <= CAPACITY_MB
    ]
    move = planner(**needs).next_move(holders)
    if move is None:
        return
    at = next(one for one in holders if one.replica_id == move.replica_id)
    assert move.model not in at.ready
    kept = (at.ready - set(move.evicted)) | {move.model}
    assert sum(SIZES[name] for name in kept) + 4.0 <= CAPACITY_MB
    assert move.gain >= move.loss


def test_needs_add_up_the_keys_of_a_model() -> None:
    now_s = boottime_s()
    loads = {
        ModelKey('lm', 'hot'): KeyTotals(
            calls_per_s=2.0,
            lasting_calls_per_s=2.0,
            tokens_per_s=2000.0,
            running=3.0,
            seen_s=now_s,
            objective_s=6.0,
        ),
        ModelKey('lm', 'hot', 'a1'): KeyTotals(
            calls_per_s=1.0,
            lasting_calls_per_s=1.0,
            tokens_per_s=1000.0,
            running=1.0,
            seen_s=now_s,
            objective_s=1.0,
        ),
        ModelKey('lm', 'hot', 'a2'): KeyTotals(seen_s=now_s - 60.0),
        ModelKey('lm2', 'hot'): KeyTotals(calls_per_s=50.0),
    }
    need = demand_by_model('lm', engine(), loads, lambda model, tokens: 0.055 * tokens)['hot']
    assert (need.calls_per_s, need.running, need.objective_s) == (3.0, 4.0, 1.0)
    assert need.adapters == 1
    assert need.busy_replicas == pytest.approx(max(3000 * 0.055 / 1000 / 0.5, 4 / 6.4))


def test_rising_demand_counts_as_what_it_will_be() -> None:
    def replicas(lasting_rate: float) -> float:
        load = KeyTotals(calls_per_s=10.0, lasting_calls_per_s=lasting_rate, tokens_per_s=10000.0)
        loads = {ModelKey('lm', 'hot'): load}
        return demand_by_model('lm', engine(), loads, lambda model, tokens: 0.055 * tokens)[
            'hot'
        ].busy_replicas

    assert replicas(10.0) == pytest.approx(1.1)
    assert replicas(12.0) == pytest.approx(1.1)
    assert replicas(5.0) == pytest.approx(1.1 * 1.3)
    assert replicas(0.0) == pytest.approx(1.1 * 1.5)


def test_quiet_start_takes_from_the_model_with_most_copies() -> None:
    holders = [
        holder('r1', 'hot', 'big'),
        holder('r2', 'hot', 'big'),
        holder('r3', 'hot', 'small', 'rare'),
        holder('r4', 'hot', 'rare', 'small'),
    ]
    plan = CopyPlanner(engine(), {}, {'hot': 4, 'big': 2, 'small': 2, 'rare': 2})
    move = plan.next_move(holders)
    assert move is not None
    assert (move.model, move.evicted) == ('other', ('hot',))


def test_loads_keep_the_rate_also_across_a_change_of_leader() -> None:
    with virtual_clock() as clock:
        begun: list[float] = []
        for _ in range(3):
            pace = LoadPace(5.0)
            pace.reset(1.4)
            for _ in range(40):
                if pace.allows(1.4):
                    pace.note()
                    begun.append(clock.now_s)
                clock.advance(0.1)
        for start in begun:
            window = [at for at in begun if start <= at < start + 5.0]
            assert len(window) <= 1.4 * 5.0 * 1.1 + 3


def test_move_is_typed() -> None:
    with pytest.raises(AttributeError):
        CopyMove('r1', 'm', (), True, MoveReason.MISSING).model = 'n'  # type: ignore[misc]


def test_model_of_callers_that_cannot_wait_is_not_parked() -> None:
    needs = {
        'hot': busy(30),
        'other': ModelDemand(objective_s=1.0),
        'small': ModelDemand(objective_s=6.0),
        'rare': ModelDemand(objective_s=6.0),
    }
    holders = [holder('r1', 'hot', 'big'), holder('r2', 'small', 'other', 'rare')]
    move = CopyPlanner(engine(), needs, {}).next_move(holders)
    assert move is not None
    assert (move.model, set(move.evicted)) == ('hot', {'small', 'rare'})
