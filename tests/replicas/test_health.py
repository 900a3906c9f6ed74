"""When a replica is suspended, and when it is tried again."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from limeshelf.replicas.health import (
    FAILURE_RATIO_WEIGHT,
    FIRST_SUSPENSION_S,
    MAX_SUSPENSION_S,
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
def test_unreachable_replica_is_suspended_until_a_probe_succeeds(
    clock: VirtualClock, failure: Failure
) -> None:
    health = ReplicaHealth()
    assert health.record_failure(failure)
    assert health.is_suspended() and not health.probe_due
    clock.advance(FIRST_SUSPENSION_S)
    assert health.is_suspended() and health.probe_due
    health.record_probe(reached=True)
    assert not health.is_suspended()


@pytest.mark.parametrize('failure', [Failure.BROKEN, Failure.FOREIGN])
def test_second_broken_call_suspends_for_a_limited_time(
    clock: VirtualClock, failure: Failure
) -> None:
    health = ReplicaHealth()
    assert not health.record_failure(failure)
    assert not health.is_suspended()
    assert health.record_failure(failure)
    assert health.is_suspended() and not health.probe_due
    clock.advance(FIRST_SUSPENSION_S)
    assert not health.is_suspended()


@pytest.mark.parametrize('failure', [Failure.ERROR_STATUS, Failure.REFUSED])
def test_replica_that_responds_is_never_suspended(clock: VirtualClock, failure: Failure) -> None:
    health = ReplicaHealth()
    assert not any(health.record_failure(failure) for _ in range(20))
    assert not health.is_suspended()
    assert health.failure_ratio > 0.9


def test_success_between_two_failures_resets_the_count(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.record_failure(Failure.BROKEN)
    health.record_success()
    assert not health.record_failure(Failure.BROKEN)


def test_success_ends_a_suspension(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.record_failure(Failure.NO_CONNECTION)
    health.record_success()
    assert not health.is_suspended()


def test_suspension_doubles_up_to_its_limit_while_probes_fail(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.record_failure(Failure.NO_CONNECTION)
    suspensions_s = []
    for _ in range(4):
        suspensions_s.append(health.suspended_until_s - clock.now_s)
        clock.advance(suspensions_s[-1])
        health.record_probe(reached=False)
    expected_s = [FIRST_SUSPENSION_S, 2 * FIRST_SUSPENSION_S, MAX_SUSPENSION_S, MAX_SUSPENSION_S]
    assert suspensions_s == pytest.approx(expected_s)


def test_failure_of_a_suspended_replica_does_not_extend_the_suspension(
    clock: VirtualClock,
) -> None:
    health = ReplicaHealth()
    health.record_failure(Failure.NO_CONNECTION)
    until_s = health.suspended_until_s
    clock.advance(FIRST_SUSPENSION_S / 2)
    assert not health.record_failure(Failure.NO_CONNECTION)
    assert health.suspended_until_s == until_s


def test_failure_ratio_decays(clock: VirtualClock) -> None:
    health = ReplicaHealth()
    health.record_failure(Failure.BROKEN)
    assert health.failure_ratio == pytest.approx(FAILURE_RATIO_WEIGHT)
    health.record_success()
    assert health.failure_ratio == pytest.approx(FAILURE_RATIO_WEIGHT * (1 - FAILURE_RATIO_WEIGHT))


def test_replica_that_is_unreachable_for_long_is_still_probed(clock: VirtualClock) -> None:
    """Guards against an unlimited doubling, which overflows a float after 1024 probes."""
    health = ReplicaHealth()
    health.record_failure(Failure.NO_CONNECTION)
    for _ in range(1100):
        clock.advance(MAX_SUSPENSION_S)
        assert health.probe_due
        health.record_probe(reached=False)
    assert not health.probe_due
