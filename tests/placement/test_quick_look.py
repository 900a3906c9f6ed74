"""Models that cannot gain anywhere are passed over at a quick look, with the same moves."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement import planner
from limeshelf.placement.planner import CopyMove, CopyPlanner
from limeshelf.placement.survey import ReplicaCopies
from tests.placement import builders

MODELS = [f'm{number}' for number in range(16)]


def engine(chance: random.Random) -> EngineSpec:
    models = {
        name: ModelSpec(
            name,
            chance.choice([30.0, 40.0]),
            chance.choice([3.0, 6.0]),
            chance.choice([0.5, 1.0]),
            frozenset(),
            1.0,
        )
        for name in MODELS
    }
    return EngineSpec(8, 100_000, chance.choice([90.0, 110.0]), 4, 2.0, models)


def demand(chance: random.Random) -> ModelDemand:
    calls_per_s = chance.choice([0.0, 1.0, 3.0]) * chance.random()
    return ModelDemand(
        calls_per_s,
        calls_per_s * chance.random(),
        busy_replicas=chance.choice([0.0, 0.03, 2.0]),
        running=chance.choice([0.0, 1.0]),
        recently_missing=chance.random() < 0.2,
        objective_s=chance.choice([0.4, 5.0, 5.0, 5.0]),
        refused_per_s=chance.choice([0.0, 0.0, 1.0]) * chance.random(),
        unserved_s=chance.choice([0.0, 0.0, 0.0, 8.0, 15.0]),
        may_be_retried=chance.random() < 0.2,
    )


def fleet(chance: random.Random) -> list[ReplicaCopies]:
    return [
        ReplicaCopies(
            f'r{number}',
            set(chance.sample(MODELS, chance.randint(2, 3))),
            set(),
            True,
            chance.choice('abc'),
            frozenset(chance.sample(MODELS, 3)),
        )
        for number in range(chance.randint(1, 3))
    ]


def moves(seed: int) -> list[CopyMove]:
    """Return the moves of one round."""
    chance = random.Random(seed)
    demands = {name: demand(chance) for name in MODELS}
    plans = CopyPlanner(engine(chance), demands, {name: 1 for name in MODELS[:4]})
    replicas = fleet(chance)
    made = []
    while (move := plans.next_move(replicas)) is not None:
        made.append(move)
        here = next(one for one in replicas if one.replica_id == move.replica_id)
        here.begin_move(move.model, move.evicted)
    return made


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 1 << 32))
def test_quick_look_changes_no_move(seed: int) -> None:
    looked = moves(seed)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(planner, '_may_gain', lambda *args: True)
        assert looked == moves(seed)


def move_against(held_calls_per_s: float) -> CopyMove | None:
    """Return the move for a model that gains most, at a replica that has to give up another."""
    demands = {
        'other': builders.seldom(3.0),
        'hot': builders.seldom(held_calls_per_s),
        'big': builders.seldom(held_calls_per_s),
    }
    here = builders.replica('r1', 'hot', 'big')
    here.in_memory = frozenset({'other'})
    plans = CopyPlanner(builders.engine(), demands, {}, {}, {'rare', 'small'})
    return plans.next_move([here])


def test_quick_look_passes_over_nothing_that_barely_gains() -> None:
    calls_per_s = [0.01 * number for number in range(300)]
    looked = [move_against(one) for one in calls_per_s]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(planner, '_may_gain', lambda *args: True)
        assert looked == [move_against(one) for one in calls_per_s]
    assert any(looked)
    assert not all(looked)
