"""Weights that lie at no replica are brought near while that takes nothing from callers."""

from __future__ import annotations

from limeshelf.placement.planner import CopyPlanner, MoveReason
from limeshelf.placement.survey import ReplicaCopies
from tests.placement.builders import busy, engine, replica

FOUND = {'hot': 2, 'big': 2, 'small': 1, 'other': 1}


def standing() -> list[ReplicaCopies]:
    """Return replicas without room; nobody has the weights of ``rare``."""
    replicas = [
        replica('r1', 'hot', 'big'),
        replica('r2', 'hot', 'big'),
        replica('r3', 'small', 'other', is_idle=False),
    ]
    replicas[2].loading = {'hot'}
    for one in replicas:
        one.on_disk = frozenset(one.ready)
    return replicas


def far_move(replicas: list[ReplicaCopies], *, may_spread: bool = True) -> str | None:
    """Return where the first move brings what lies nowhere, if it does."""
    move = CopyPlanner(engine(), {}, FOUND).next_move(replicas, may_prefetch=may_spread)
    return move.replica_id if move and move.reason is MoveReason.PREFETCH else None


def test_far_weights_are_brought_before_any_call() -> None:
    assert far_move(standing()) in ('r1', 'r2')


def test_nothing_is_far_before_all_replicas_are_known() -> None:
    assert far_move(standing(), may_spread=False) is None
    unknown = standing()
    unknown[2].loading = set()
    assert far_move(unknown) is None


def test_last_copy_that_was_found_is_not_given_up_for_it() -> None:
    replicas = standing()
    replicas[1] = replica('r2', 'small', 'other', is_idle=False)
    replicas[1].loading = {'big'}
    assert far_move(replicas) is None


def test_disk_that_holds_the_only_weights_of_others_is_spared() -> None:
    replicas = standing()
    replicas[0].on_disk |= {'small'}
    replicas[2].on_disk = frozenset({'other'})
    replicas[2].ready = {'other'}
    plan = CopyPlanner(engine(), {}, FOUND, barred={'small'})
    move = plan.next_move(replicas, may_prefetch=True)
    assert move is not None
    assert (move.model, move.replica_id) == ('rare', 'r2')


def test_nothing_is_spread_while_calls_come() -> None:
    plan = CopyPlanner(engine(), {'hot': busy(20, replicas=0.5)}, FOUND)
    move = plan.next_move(standing(), may_prefetch=True)
    assert move is None or move.reason is not MoveReason.PREFETCH
