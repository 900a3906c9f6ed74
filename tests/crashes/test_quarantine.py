"""After how many crashes a call is refused, for how long, and when permanently."""

from __future__ import annotations

import pytest

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.quarantine import (
    PERMANENT_RETRY_AFTER_S,
    TEMPORARY_QUARANTINE_S,
    Quarantine,
)
from limeshelf.crashes.suspects import ReplicaCrash, Suspects
from limeshelf.crashes.trials import TRIAL_WAITS_S
from limeshelf.util.clock import virtual_clock
from tests.support.replicas import plain_replica

CALL = Fingerprint('aa')


def quarantine(crashes: int) -> Quarantine:
    """Return a quarantine after the given number of crashes during the call."""
    suspects = Suspects()
    for number in range(crashes):
        suspects.record_crash(CALL, ReplicaCrash(f'r{number}'))
    return Quarantine(suspects)


@pytest.mark.parametrize(
    ('crashes', 'unconfirmed', 'retry_after_s'),
    [
        (0, 0, None),
        (1, 0, None),
        (0, 1, None),
        (1, 1, TEMPORARY_QUARANTINE_S),
        (2, 0, TEMPORARY_QUARANTINE_S),
        (0, 2, TEMPORARY_QUARANTINE_S),
        (3, 0, PERMANENT_RETRY_AFTER_S),
        (2, 1, PERMANENT_RETRY_AFTER_S),
    ],
)
def test_crashes_after_which_a_call_is_refused(
    crashes: int, unconfirmed: int, retry_after_s: float | None
) -> None:
    with virtual_clock():
        found = quarantine(crashes).check(CALL, unconfirmed)
    assert (found.retry_after_s if found is not None else None) == retry_after_s


def test_call_is_sent_once_after_its_temporary_quarantine() -> None:
    with virtual_clock() as clock:
        rule = quarantine(2)
        clock.advance(100.0)
        found = rule.check(CALL)
        assert found is not None and found.retry_after_s == TEMPORARY_QUARANTINE_S - 100.0
        clock.advance(TEMPORARY_QUARANTINE_S)
        assert rule.check(CALL) is None
        rule.record_sent(CALL, plain_replica('t1'))
        assert rule.check(CALL) is not None


def test_third_crash_is_permanent_until_a_run_completes() -> None:
    with virtual_clock() as clock:
        rule = quarantine(3)
        clock.advance(30 * PERMANENT_RETRY_AFTER_S)
        assert rule.check(CALL) is not None
        rule.suspects.record_completion(CALL)
        assert rule.check(CALL) is None


def test_send_of_an_unsuspected_call_has_no_effect() -> None:
    rule = quarantine(0)
    rule.record_sent(CALL, plain_replica('t1'))
    assert rule.check(CALL) is None


def test_two_coincident_crashes_refuse_only_the_request_interrupted_by_both() -> None:
    """A later request that is sent again because a replica was gone was not interrupted twice."""
    rule = quarantine(2)
    for number in range(2):
        rule.suspects.mark_coincident(ReplicaCrash(f'r{number}'))
    assert rule.check(CALL) is None
    assert rule.check(CALL, broken_twice=True) is not None
    rule.suspects.record_crash(CALL, ReplicaCrash('r2'))
    assert rule.check(CALL) is not None


@pytest.mark.parametrize('crashes_again', [False, True])
def test_call_that_only_coincident_crashes_interrupted_is_not_refused_for_a_day(
    crashes_again: bool,
) -> None:
    with virtual_clock() as clock:
        rule = quarantine(3)
        for number in range(3):
            rule.suspects.mark_coincident(ReplicaCrash(f'r{number}'))
        assert rule.check(CALL) is not None
        clock.advance(TRIAL_WAITS_S[0])
        assert rule.check(CALL) is None
        rule.record_sent(CALL, plain_replica('t1'))
        assert rule.check(CALL) is not None
        if crashes_again:
            rule.suspects.record_crash(CALL, ReplicaCrash('t1'))
            clock.advance(TRIAL_WAITS_S[1] - 0.1)
            assert rule.check(CALL) is not None
        else:
            rule.suspects.record_completion(CALL)
            assert rule.check(CALL) is None
