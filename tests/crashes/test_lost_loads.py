"""Which loads are barred after ends of replicas, and what clears them."""

from __future__ import annotations

import pytest

from limeshelf.calls.fingerprint import load_fingerprint
from limeshelf.crashes.end_watch import EndWatch
from limeshelf.crashes.lost_loads import LostLoads
from limeshelf.crashes.suspects import ReplicaEnd, Suspects
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.util.tasks import TaskSet

LOAD = load_fingerprint('lm', 'm1', 'a1')


def lost_loads(lone: int, coincident: int) -> LostLoads:
    """Return what is known after so many ends under the load of one adapter."""
    suspects = Suspects()
    for number in range(lone + coincident):
        end = ReplicaEnd(f'r{number}')
        suspects.note_end(LOAD, end)
        if number >= lone:
            suspects.note_coincident(end)
    watch = EndWatch(ReplicaDirectory(lambda *_: None), suspects, TaskSet())
    return LostLoads(suspects, watch)


@pytest.mark.parametrize(
    ('lone', 'coincident', 'barred'),
    [(0, 0, False), (2, 0, False), (3, 0, True), (2, 1, False), (2, 2, True), (0, 5, False)],
)
def test_ends_after_which_a_load_is_barred(lone: int, coincident: int, barred: bool) -> None:
    loads = lost_loads(lone, coincident)
    assert loads.is_barred('lm', 'm1', 'a1') == barred
    assert not loads.is_barred('lm', 'm1')
    assert not loads.is_barred('other', 'm1', 'a1')


def test_load_that_came_is_barred_no_more() -> None:
    loads = lost_loads(3, 0)
    loads.note_came('lm', 'm1', 'a1')
    assert not loads.is_barred('lm', 'm1', 'a1')
