"""Which copy comes or goes next."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.fleet.demand import ModelKey, ModelLoad
from limeshelf.fleet.pace import LoadPace
from limeshelf.fleet.planner import Holder, Move, Planner
from limeshelf.util.clock import boottime_s, virtual_clock

SIZES = {'big': 70.0, 'hot': 70.0, 'small': 40.0, 'rare': 40.0, 'other': 60.0}
CAPACITY_MB = 160.0


def engine() -> EngineSpec:
    models = {
        name: ModelSpec(name, size, 5.0, 1.0, frozenset(), 1.0) for name, size in SIZES.items()
    }
    return EngineSpec(8, 10000, CAPACITY_MB, 4, 2.0, models)


def holder(name: str, *models: str, idle: bool = True) -> Holder:
    return Holder(name, set(models), set(), idle, 0)


def planner(**running: float) -> Planner:
    now_s = boottime_s()
    loads = {
        ModelKey('lm', name): ModelLoad(running=calls, rate=calls, seen_s=now_s)
        for name, calls in running.items()
    }
    return Planner('lm', engine(), loads, {})


def test_missing_model_that_is_asked_for_comes_first() -> None:
    move = planner(hot=20, rare=1).next_move(
        [holder('r1', 'hot', 'big'), holder('r2', 'small', 'other')]
    )
    assert move is not None
    assert (move.model, move.reason) == ('rare', 'missing')


def test_crowded_model_gets_a_copy_in_place_of_an_idle_one() -> None:
    holders = [holder('r1', 'hot', 'big'), holder('r2', 'small', 'other', 'rare')]
    move = planner(hot=30).next_move(holders)
    assert move is not None
    assert (move.replica_id, move.model, move.reason) == ('r2', 'hot', 'crowded')
    assert 'hot' not in move.evicted


def test_last_ready_copy_stays() -> None:
    """A copy on its way serves nobody, so it lets no ready one go."""
    loading = Holder('r2', {'small'}, {'hot'}, False, 0)
    move = planner(hot=20, other=1).next_move([holder('r1', 'hot', 'big'), loading])
    assert move is None or 'hot' not in move.evicted


def test_quiet_start_keeps_what_was_busy() -> None:
    plan = Planner('lm', engine(), {}, {'hot': 2, 'big': 1})
    assert plan.demand('hot') > plan.demand('big')


names = st.sampled_from(sorted(SIZES))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    held=st.lists(st.sets(names, max_size=3), min_size=1, max_size=4),
    running=st.dictionaries(names, st.floats(0, 40), max_size=5),
)
def test_a_move_always_fits_and_never_takes_what_is_used(
    held: list[set[str]], running: dict[str, float]
) -> None:
    holders = [
        holder(f'r{n}', *models)
        for n, models in enumerate(held)
        if sum(SIZES[name] for name in models) + 4.0 <= CAPACITY_MB
    ]
    plan = planner(**running)
    move = plan.next_move(holders)
    if move is None:
        return
    at = next(one for one in holders if one.replica_id == move.replica_id)
    assert move.model not in at.models
    kept = (at.models - set(move.evicted)) | {move.model}
    assert sum(SIZES[name] for name in kept) + 4.0 <= CAPACITY_MB
    for name in move.evicted:
        copies = sum(1 for one in holders if name in one.models)
        assert copies >= 2 or running.get(name, 0) == 0


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
        Move('r1', 'm', (), True, 'missing').model = 'n'  # type: ignore[misc]


def test_model_of_callers_that_cannot_wait_is_not_parked() -> None:
    now_s = boottime_s() - 60.0
    loads = {
        ModelKey('lm', 'hot'): ModelLoad(running=30, rate=30, seen_s=boottime_s()),
        ModelKey('lm', 'other'): ModelLoad(seen_s=now_s, objective_s=1.0),
        ModelKey('lm', 'small'): ModelLoad(seen_s=now_s, objective_s=6.0),
        ModelKey('lm', 'rare'): ModelLoad(seen_s=now_s, objective_s=6.0),
    }
    holders = [holder('r1', 'hot', 'big'), holder('r2', 'small', 'other', 'rare')]
    move = Planner('lm', engine(), loads, {}).next_move(holders)
    assert move is not None
    assert (move.model, set(move.evicted)) == ('hot', {'small', 'rare'})
