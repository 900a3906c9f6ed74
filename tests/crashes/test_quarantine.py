"""After how many ends a call rests, for how long, and when it is refused for good."""

from __future__ import annotations

import pytest

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.quarantine import FOR_GOOD_S, PAUSE_S, Quarantine
from limeshelf.crashes.suspects import ReplicaEnd, Suspects
from limeshelf.util.clock import virtual_clock

CALL = Fingerprint('aa')


def quarantine(ends: int) -> Quarantine:
    """Return one that knows of so many ends under the call."""
    suspects = Suspects()
    for number in range(ends):
        suspects.note_end(CALL, ReplicaEnd(f'r{number}'))
    return Quarantine(suspects)


@pytest.mark.parametrize(
    ('ends', 'unconfirmed', 'retry_after_s'),
    [
        (0, 0, None),
        (1, 0, None),
        (0, 1, None),
        (1, 1, PAUSE_S),
        (2, 0, PAUSE_S),
        (0, 2, PAUSE_S),
        (3, 0, FOR_GOOD_S),
        (2, 1, FOR_GOOD_S),
    ],
)
def test_which_ends_let_a_call_rest(
    ends: int, unconfirmed: int, retry_after_s: float | None
) -> None:
    with virtual_clock():
        found = quarantine(ends).check(CALL, unconfirmed)
    assert (found.retry_after_s if found is not None else None) == retry_after_s


def test_call_that_has_rested_is_sent_once() -> None:
    with virtual_clock() as clock:
        rule = quarantine(2)
        clock.advance(100.0)
        found = rule.check(CALL)
        assert found is not None and found.retry_after_s == PAUSE_S - 100.0
        clock.advance(PAUSE_S)
        assert rule.check(CALL) is None
        rule.note_sent(CALL)
        assert rule.check(CALL) is not None


def test_third_end_is_for_good_and_a_finished_run_ends_it() -> None:
    with virtual_clock() as clock:
        rule = quarantine(3)
        clock.advance(30 * FOR_GOOD_S)
        assert rule.check(CALL) is not None
        rule.suspects.note_finished(CALL)
        assert rule.check(CALL) is None


def test_send_of_a_call_that_nobody_suspects_says_nothing() -> None:
    rule = quarantine(0)
    rule.note_sent(CALL)
    assert rule.check(CALL) is None


def test_two_ends_that_came_together_stop_only_the_try_that_met_both() -> None:
    """A later try that found a replica gone, and is sent again, did not meet both."""
    rule = quarantine(2)
    for number in range(2):
        rule.suspects.note_coincident(ReplicaEnd(f'r{number}'))
    assert rule.check(CALL) is None
    assert rule.check(CALL, broken_twice=True) is not None
    rule.suspects.note_end(CALL, ReplicaEnd('r2'))
    assert rule.check(CALL) is not None
