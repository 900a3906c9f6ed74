"""The cheap gain check skips models that cannot gain anywhere without changing any move."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement import planner
from limeshelf.placement.planner import CopyMove, CopyPlanner
from limeshelf.placement.snapshot import ReplicaView
from tests.placement import builders

MODELS = [f'm{number}' for number in range(16)]


def engine(rng: random.Random) -> EngineSpec:
    models = {
        name: ModelSpec(
            name,
            rng.choice([30.0, 40.0]),
            rng.choice([3.0, 6.0]),
            rng.choice([0.5, 1.0]),
            frozenset(),
            1.0,
        )
        for name in MODELS
    }
    return EngineSpec(8, 100_000, rng.choice([90.0, 110.0]), 4, 2.0, models)


def demand(rng: random.Random) -> ModelDemand:
    calls_per_s = rng.choice([0.0, 1.0, 3.0]) * rng.random()
    return ModelDemand(
        calls_per_s,
        calls_per_s * rng.random(),
        busy_replicas=rng.choice([0.0, 0.03, 2.0]),
        running=rng.choice([0.0, 1.0]),
        recently_missing=rng.random() < 0.2,
        objective_s=rng.choice([0.4, 5.0, 5.0, 5.0]),
        refused_per_s=rng.choice([0.0, 0.0, 1.0]) * rng.random(),
        unserved_s=rng.choice([0.0, 0.0, 0.0, 8.0, 15.0]),
        may_be_retried=rng.random() < 0.2,
    )


def fleet(rng: random.Random) -> list[ReplicaView]:
    return [
        ReplicaView(
            f'r{number}',
            set(rng.sample(MODELS, rng.randint(2, 3))),
            set(),
            True,
            rng.choice('abc'),
            frozenset(rng.sample(MODELS, 3)),
        )
        for number in range(rng.randint(1, 3))
    ]


def moves(seed: int) -> list[CopyMove]:
    """Return the moves of one round."""
    rng = random.Random(seed)
    demands = {name: demand(rng) for name in MODELS}
    copy_planner = CopyPlanner(engine(rng), demands, {name: 1 for name in MODELS[:4]})
    replicas = fleet(rng)
    planned = []
    while (move := copy_planner.next_move(replicas)) is not None:
        planned.append(move)
        here = next(one for one in replicas if one.replica_id == move.replica_id)
        here.apply_move(move.model, move.evicted)
    return planned


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 1 << 32))
def test_gain_check_changes_no_move(seed: int) -> None:
    with_check = moves(seed)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(planner, '_may_gain', lambda *args: True)
        assert with_check == moves(seed)


def move_against(held_calls_per_s: float) -> CopyMove | None:
    """Return the best move for a model at a replica that has to evict another one for it."""
    demands = {
        'other': builders.rare_calls(3.0),
        'hot': builders.rare_calls(held_calls_per_s),
        'big': builders.rare_calls(held_calls_per_s),
    }
    here = builders.replica('r1', 'hot', 'big')
    here.in_memory = frozenset({'other'})
    copy_planner = CopyPlanner(builders.engine(), demands, {}, {}, {'rare', 'small'})
    return copy_planner.next_move([here])


def test_gain_check_skips_no_model_with_a_small_gain() -> None:
    calls_per_s = [0.01 * number for number in range(300)]
    with_check = [move_against(one) for one in calls_per_s]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(planner, '_may_gain', lambda *args: True)
        assert with_check == [move_against(one) for one in calls_per_s]
    assert any(with_check)
    assert not all(with_check)
