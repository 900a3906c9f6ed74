"""Whose turn it is to get a copy, whatever it gains."""

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
from limeshelf.placement.survey import PlacementSnapshot, ReplicaCopies
from tests.placement.builders import busy, engine, replica, seldom


def waiting(unserved_s: float, is_awaited: bool = True) -> ModelDemand:
    return attrs.evolve(seldom(0.1), unserved_s=unserved_s, is_awaited=is_awaited)


def due(replicas: list[ReplicaCopies], **demands: ModelDemand) -> list[str]:
    return overdue_models(PlacementSnapshot.capture(engine(), demands, replicas), ())


def due_with(
    overdue_loads: OverdueLoads, replicas: list[ReplicaCopies], **demands: ModelDemand
) -> list[str]:
    return overdue_models(
        PlacementSnapshot.capture(engine(), demands, replicas), (), overdue_loads
    )


def planned(replicas: list[ReplicaCopies], **demands: ModelDemand) -> CopyMove | None:
    return CopyPlanner(engine(), demands, {}).next_move(replicas)


def test_model_that_is_outbid_in_each_round_has_its_turn() -> None:
    """Twenty calls in a minute were refused, and no load was ever ordered."""
    replicas = [replica(f'r{n}', 'hot', 'big') for n in range(3)]
    demands = {'hot': busy(60, replicas=3.0), 'big': busy(40, replicas=3.0)}
    assert planned(replicas, **demands, rare=waiting(OVERDUE_AFTER_S)) is None
    move = planned(replicas, **demands, rare=waiting(60.0))
    assert move is not None
    assert (move.model, move.reason) == ('rare', 'overdue')


def test_turn_waits_for_a_place_whose_loss_it_may_cost_by_now() -> None:
    replicas = [replica(f'r{n}', 'hot', 'big') for n in range(3)]
    demands = {'hot': busy(60, replicas=3.0), 'big': busy(40, replicas=3.0)}
    ages_s = [OVERDUE_AFTER_S + n for n in range(60)]
    moves = [planned(replicas, **demands, rare=waiting(age_s)) for age_s in ages_s]
    had_turn = [move is not None for move in moves]
    assert had_turn == sorted(had_turn)
    first = next(move for move in moves if move is not None)
    deficit = first.gain - MIN_GAIN_LOSS_RATIO * first.loss
    assert -deficit <= allowed_loss_per_s(first.unserved_s)


def test_who_waited_longest_is_first() -> None:
    replicas = [replica(f'r{n}', 'hot') for n in range(3)]
    assert due(replicas, rare=waiting(12.0), other=waiting(15.0)) == ['other', 'rare']


def test_turns_take_a_share_of_the_replicas() -> None:
    replicas = [replica(f'r{n}', 'hot') for n in range(9)]
    demands = {'rare': waiting(12.0), 'other': waiting(15.0)}
    overdue_loads = OverdueLoads()
    overdue_loads.record_start('r0', 'rare')
    replicas[0].loading = {'rare'}
    assert due_with(overdue_loads, replicas, **demands) == []
    replicas.append(replica('r9', 'hot'))
    assert due_with(overdue_loads, replicas, **demands) == ['other']
    del replicas[9]
    replicas[0].loading = set()
    assert due_with(overdue_loads, replicas, **demands) == ['other', 'rare']


def test_load_of_a_waiting_model_by_its_worth_takes_nobody_his_turn() -> None:
    """On six replicas there was nearly always such a load, and turns hardly came."""
    replicas = [replica(f'r{n}', 'hot') for n in range(6)]
    replicas[0].loading = {'rare'}
    demands = {'rare': waiting(12.0), 'other': waiting(15.0)}
    assert due_with(OverdueLoads(), replicas, **demands) == ['other']


def test_copy_that_came_for_somebody_stays_until_he_is_back() -> None:
    """Two models would otherwise take the one place from each other before either served."""
    replicas = [replica('r1', 'big', 'rare')]
    demands = {'big': busy(60, replicas=3.0), 'rare': waiting(15.0), 'hot': waiting(900.0)}
    move = planned(replicas, **demands)
    assert move is not None
    assert (move.model, move.evicted) == ('hot', ('big',))
    demands['big'] = attrs.evolve(demands['big'], unserved_s=3.0, is_awaited=True)
    move = planned(replicas, **demands)
    assert move is None or move.evicted == ()


def test_copy_that_came_for_somebody_is_not_taken_by_a_busier_model() -> None:
    """It was loaded, evicted for a second copy, and loaded again, and had served nobody."""
    replicas = [replica('r1', 'rare', 'small', 'other')]
    demands = {name: waiting(15.0) for name in ('rare', 'small', 'other')}
    move = planned(replicas, **demands, hot=busy(400, replicas=9.0))
    assert move is None
    served = attrs.evolve(demands['other'], unserved_s=0.0, is_awaited=False)
    move = planned(replicas, **{**demands, 'other': served}, hot=busy(400, replicas=9.0))
    assert move is not None
    assert (move.model, move.evicted) == ('hot', ('other',))


def test_nothing_is_loaded_for_callers_who_are_gone() -> None:
    replicas = [replica('r1', 'hot', 'big')]
    assert due(replicas, rare=waiting(20.0, is_awaited=False)) == []


def test_model_that_goes_unserved_beside_its_copy_gets_another_one() -> None:
    """Its replica may be cut off from callers, or full."""
    replicas = [replica('r1', 'rare'), replica('r2', 'hot')]
    assert due(replicas, rare=waiting(OVERDUE_AFTER_S)) == []
    assert due(replicas, rare=waiting(SECOND_COPY_AFTER_S)) == ['rare']
    replicas[1].loading = {'rare'}
    assert due(replicas, rare=waiting(SECOND_COPY_AFTER_S)) == []


def test_model_that_nobody_can_serve_takes_two_places_at_the_most() -> None:
    replicas = [replica('r1', 'rare'), replica('r2', 'rare'), replica('r3', 'hot')]
    assert due(replicas, rare=waiting(9 * SECOND_COPY_AFTER_S)) == []


def test_barred_model_has_no_turn() -> None:
    snapshot = PlacementSnapshot.capture(engine(), {'rare': waiting(20.0)}, [replica('r1', 'hot')])
    assert overdue_models(snapshot, {'rare'}) == []
