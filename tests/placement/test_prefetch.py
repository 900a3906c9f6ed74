"""Weights that no replica has are prefetched while demand is low."""

from __future__ import annotations

from limeshelf.placement.planner import CopyPlanner, MoveReason
from limeshelf.placement.snapshot import ReplicaView
from tests.placement.builders import busy, engine, replica

INITIAL_COPIES = {'hot': 2, 'big': 2, 'small': 1, 'other': 1}


def full_replicas() -> list[ReplicaView]:
    """Return replicas without free room, none of which has the weights of ``rare``."""
    replicas = [
        replica('r1', 'hot', 'big'),
        replica('r2', 'hot', 'big'),
        replica('r3', 'small', 'other', is_idle=False),
    ]
    replicas[2].loading = {'hot'}
    for one in replicas:
        one.on_disk = frozenset(one.ready)
    return replicas


def prefetch_target(replicas: list[ReplicaView], *, may_spread: bool = True) -> str | None:
    """Return the replica of the first move if that move is a prefetch."""
    move = CopyPlanner(engine(), {}, INITIAL_COPIES).next_move(replicas, may_prefetch=may_spread)
    return move.replica_id if move and move.reason is MoveReason.PREFETCH else None


def test_uncached_weights_are_prefetched_before_any_call() -> None:
    assert prefetch_target(full_replicas()) in ('r1', 'r2')


def test_nothing_is_prefetched_before_all_replicas_are_known() -> None:
    assert prefetch_target(full_replicas(), may_spread=False) is None
    unknown = full_replicas()
    unknown[2].loading = set()
    assert prefetch_target(unknown) is None


def test_last_initial_copy_is_not_evicted_for_a_prefetch() -> None:
    replicas = full_replicas()
    replicas[1] = replica('r2', 'small', 'other', is_idle=False)
    replicas[1].loading = {'big'}
    assert prefetch_target(replicas) is None


def test_disk_with_the_only_weights_of_a_model_is_avoided() -> None:
    replicas = full_replicas()
    replicas[0].on_disk |= {'small'}
    replicas[2].on_disk = frozenset({'other'})
    replicas[2].ready = {'other'}
    planner = CopyPlanner(engine(), {}, INITIAL_COPIES, barred={'small'})
    move = planner.next_move(replicas, may_prefetch=True)
    assert move is not None
    assert (move.model, move.replica_id) == ('rare', 'r2')


def test_nothing_is_prefetched_while_calls_arrive() -> None:
    planner = CopyPlanner(engine(), {'hot': busy(20, replicas=0.5)}, INITIAL_COPIES)
    move = planner.next_move(full_replicas(), may_prefetch=True)
    assert move is None or move.reason is not MoveReason.PREFETCH
