"""When a replica is suspended, and when it is tried again."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from limeshelf.replicas.health import (
    NEWEST_SHARE,
    SUSPEND_BASE_S,
    SUSPEND_LIMIT_S,
    Failure,
    ReplicaHealth,
)
from limeshelf.util.clock import VirtualClock
from tests.support.clock import fake_time


@pytest.fixture
def clock() -> Iterator[VirtualClock]:
    with fake_time() as clock:
        yield clock


@pytest.mark.parametrize('failure', [Failure.NO_CONNECTION, Failure.SILENT])
def test_replica_out_of_reach_is_suspended_until_a_probe_reaches_it(
    clock: VirtualClock, failure: Failure
) -> None:
    health = ReplicaHealth()
    assert health.failed(failure)
    assert health.is_suspended() and not health.probe_due
    clock.advance(SUSPEND_BASE_S)
    assert health.is_suspended() and health.probe_due
    health.probed(reached=True)
    assert not health.is_suspended()


@pytest.mark.parametrize('failure', [Failure.BROKEN, Failure.FOREIGN])
def test_broken_exchange_suspends_at_the_second_time_for_a_pause(
    clock: VirtualClock, failure: Failure
) -> None:
    health = ReplicaHealth()
    assert not health.failed(failure)
    assert not health.is_suspended()
    assert health.failed(failure)
    assert health.is_suspended() and not health.probe_due
    clock.advance(SUSPEND_BASE_S)
    assert not health.is_suspended()


@pytest.mark.parametrize('failure', [Failure.ERROR_STATUS, Failure.REFUSED])
def test_replica_that_answers_is_never_suspended(clock: VirtualClock, failure: Failure) -> None:
    health = ReplicaHealth()
    assert not any(health.failed(failure) for _ in range(20))
    assert not health.is_suspended()
    assert health.failing_share > 0.9


def test_answer_between_two_failures_starts_the_count_anew(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.failed(Failure.BROKEN)
    health.succeeded()
    assert not health.failed(Failure.BROKEN)


def test_answer_ends_a_suspension(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.failed(Failure.NO_CONNECTION)
    health.succeeded()
    assert not health.is_suspended()


def test_pause_doubles_up_to_its_limit_while_probes_fail(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.failed(Failure.NO_CONNECTION)
    pauses_s = []
    for _ in range(4):
        pauses_s.append(health.suspended_until_s - clock.now_s)
        clock.advance(pauses_s[-1])
        health.probed(reached=False)
    expected_s = [SUSPEND_BASE_S, 2 * SUSPEND_BASE_S, SUSPEND_LIMIT_S, SUSPEND_LIMIT_S]
    assert pauses_s == pytest.approx(expected_s)


def test_failure_of_a_suspended_replica_does_not_prolong_its_pause(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.failed(Failure.NO_CONNECTION)
    until_s = health.suspended_until_s
    clock.advance(SUSPEND_BASE_S / 2)
    assert not health.failed(Failure.NO_CONNECTION)
    assert health.suspended_until_s == until_s


def test_share_of_failures_fades(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.failed(Failure.BROKEN)
    assert health.failing_share == pytest.approx(NEWEST_SHARE)
    health.succeeded()
    assert health.failing_share == pytest.approx(NEWEST_SHARE * (1 - NEWEST_SHARE))


def test_replica_out_of_reach_for_long_is_still_probed(clock: VirtualClock) -> None:
    """The pause was doubled without a bound: after 1024 probes it no longer was a float."""
    health = ReplicaHealth()
    health.failed(Failure.NO_CONNECTION)
    for _ in range(1100):
        clock.advance(SUSPEND_LIMIT_S)
        assert health.probe_due
        health.probed(reached=False)
    assert not health.probe_due
