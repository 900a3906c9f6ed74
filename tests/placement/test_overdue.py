"""Which models are loaded because they are overdue, whatever they gain."""

from __future__ import annotations

import attrs

from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement.overdue import (
    OVERDUE_AFTER_S,
    SECOND_COPY_AFTER_S,
    OverdueLoads,
    allowed_loss_per_s,
    overdue_models,
)
from limeshelf.placement.planner import MIN_GAIN_LOSS_RATIO, CopyMove, CopyPlanner
from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView
from tests.placement.builders import busy, engine, rare_calls, replica


def unserved(unserved_s: float, may_be_retried: bool = True) -> ModelDemand:
    return attrs.evolve(rare_calls(0.1), unserved_s=unserved_s, may_be_retried=may_be_retried)


def overdue(replicas: list[ReplicaView], **demands: ModelDemand) -> list[str]:
    return overdue_models(PlacementSnapshot.capture(engine(), demands, replicas), ())


def overdue_with(
    overdue_loads: OverdueLoads, replicas: list[ReplicaView], **demands: ModelDemand
) -> list[str]:
    return overdue_models(
        PlacementSnapshot.capture(engine(), demands, replicas), (), overdue_loads
    )


def plan_move(replicas: list[ReplicaView], **demands: ModelDemand) -> CopyMove | None:
    return CopyPlanner(engine(), demands, {}).next_move(replicas)


def test_model_of_low_value_is_loaded_once_overdue() -> None:
    """Otherwise twenty calls in a minute are refused, and no load is ever ordered."""
    replicas = [replica(f'r{n}', 'hot', 'big') for n in range(3)]
    demands = {'hot': busy(60, replicas=3.0), 'big': busy(40, replicas=3.0)}
    assert plan_move(replicas, **demands, rare=unserved(OVERDUE_AFTER_S)) is None
    move = plan_move(replicas, **demands, rare=unserved(60.0))
    assert move is not None
    assert (move.model, move.reason) == ('rare', 'overdue')


def test_overdue_load_waits_until_its_loss_is_allowed() -> None:
    replicas = [replica(f'r{n}', 'hot', 'big') for n in range(3)]
    demands = {'hot': busy(60, replicas=3.0), 'big': busy(40, replicas=3.0)}
    ages_s = [OVERDUE_AFTER_S + n for n in range(60)]
    moves = [plan_move(replicas, **demands, rare=unserved(age_s)) for age_s in ages_s]
    is_planned = [move is not None for move in moves]
    assert is_planned == sorted(is_planned)
    first = next(move for move in moves if move is not None)
    deficit = first.gain - MIN_GAIN_LOSS_RATIO * first.loss
    assert -deficit <= allowed_loss_per_s(first.unserved_s)


def test_longest_unserved_model_is_first() -> None:
    replicas = [replica(f'r{n}', 'hot') for n in range(3)]
    assert overdue(replicas, rare=unserved(12.0), other=unserved(15.0)) == ['other', 'rare']


def test_overdue_loads_use_a_share_of_the_replicas() -> None:
    replicas = [replica(f'r{n}', 'hot') for n in range(9)]
    demands = {'rare': unserved(12.0), 'other': unserved(15.0)}
    overdue_loads = OverdueLoads()
    overdue_loads.record_start('r0', 'rare')
    replicas[0].loading = {'rare'}
    assert overdue_with(overdue_loads, replicas, **demands) == []
    replicas.append(replica('r9', 'hot'))
    assert overdue_with(overdue_loads, replicas, **demands) == ['other']
    del replicas[9]
    replicas[0].loading = set()
    assert overdue_with(overdue_loads, replicas, **demands) == ['other', 'rare']


def test_load_chosen_by_gain_does_not_count_as_overdue_load() -> None:
    """On six replicas such a load is nearly always running, and overdue models would wait."""
    replicas = [replica(f'r{n}', 'hot') for n in range(6)]
    replicas[0].loading = {'rare'}
    demands = {'rare': unserved(12.0), 'other': unserved(15.0)}
    assert overdue_with(OverdueLoads(), replicas, **demands) == ['other']


def test_unserved_copy_is_kept_until_its_callers_retry() -> None:
    """Otherwise two models would evict each other alternately before either served a call."""
    replicas = [replica('r1', 'big', 'rare')]
    demands = {'big': busy(60, replicas=3.0), 'rare': unserved(15.0), 'hot': unserved(900.0)}
    move = plan_move(replicas, **demands)
    assert move is not None
    assert (move.model, move.evicted) == ('hot', ('big',))
    demands['big'] = attrs.evolve(demands['big'], unserved_s=3.0, may_be_retried=True)
    move = plan_move(replicas, **demands)
    assert move is None or move.evicted == ()


def test_unserved_copy_is_not_evicted_for_a_busier_model() -> None:
    """Otherwise it is loaded, evicted for a second copy and reloaded without serving a call."""
    replicas = [replica('r1', 'rare', 'small', 'other')]
    demands = {name: unserved(15.0) for name in ('rare', 'small', 'other')}
    move = plan_move(replicas, **demands, hot=busy(400, replicas=9.0))
    assert move is None
    served = attrs.evolve(demands['other'], unserved_s=0.0, may_be_retried=False)
    move = plan_move(replicas, **{**demands, 'other': served}, hot=busy(400, replicas=9.0))
    assert move is not None
    assert (move.model, move.evicted) == ('hot', ('other',))


def test_model_without_retrying_callers_is_not_overdue() -> None:
    replicas = [replica('r1', 'hot', 'big')]
    assert overdue(replicas, rare=unserved(20.0, may_be_retried=False)) == []


def test_model_that_goes_unserved_despite_a_copy_gets_another_one() -> None:
    """The replica that holds it may be cut off from callers, or full."""
    replicas = [replica('r1', 'rare'), replica('r2', 'hot')]
    assert overdue(replicas, rare=unserved(OVERDUE_AFTER_S)) == []
    assert overdue(replicas, rare=unserved(SECOND_COPY_AFTER_S)) == ['rare']
    replicas[1].loading = {'rare'}
    assert overdue(replicas, rare=unserved(SECOND_COPY_AFTER_S)) == []


def test_model_that_cannot_be_served_gets_at_most_two_copies() -> None:
    replicas = [replica('r1', 'rare'), replica('r2', 'rare'), replica('r3', 'hot')]
    assert overdue(replicas, rare=unserved(9 * SECOND_COPY_AFTER_S)) == []


def test_barred_model_is_not_overdue() -> None:
    snapshot = PlacementSnapshot.capture(
        engine(), {'rare': unserved(20.0)}, [replica('r1', 'hot')]
    )
    assert overdue_models(snapshot, {'rare'}) == []
