"""After which crashes loads are blocked, and what clears them."""

from __future__ import annotations

import pytest

from limeshelf.calls.fingerprint import load_fingerprint
from limeshelf.crashes.crash_detector import CrashDetector
from limeshelf.crashes.lost_loads import LostLoads
from limeshelf.crashes.suspects import ReplicaCrash, Suspects
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.util.tasks import TaskSet

LOAD = load_fingerprint('lm', 'm1', 'a1')


def lost_loads(isolated: int, coincident: int) -> LostLoads:
    """Return the state after the given numbers of crashes during the load of one adapter."""
    suspects = Suspects()
    for number in range(isolated + coincident):
        crash = ReplicaCrash(f'r{number}')
        suspects.record_crash(LOAD, crash)
        if number >= isolated:
            suspects.mark_coincident(crash)
    detector = CrashDetector(ReplicaDirectory(lambda *_: None), suspects, TaskSet())
    return LostLoads(suspects, detector)


@pytest.mark.parametrize(
    ('isolated', 'coincident', 'blocked'),
    [(0, 0, False), (2, 0, False), (3, 0, True), (2, 1, False), (2, 2, True), (0, 5, False)],
)
def test_crashes_after_which_a_load_is_blocked(
    isolated: int, coincident: int, blocked: bool
) -> None:
    loads = lost_loads(isolated, coincident)
    assert loads.is_blocked('lm', 'm1', 'a1') == blocked
    assert not loads.is_blocked('lm', 'm1')
    assert not loads.is_blocked('other', 'm1', 'a1')


def test_completed_load_is_no_longer_blocked() -> None:
    loads = lost_loads(3, 0)
    loads.record_loaded('lm', 'm1', 'a1')
    assert not loads.is_blocked('lm', 'm1', 'a1')
