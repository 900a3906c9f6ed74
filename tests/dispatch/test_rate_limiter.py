"""Rate permits for replicas that limit their calls per second from all gateways together."""

from __future__ import annotations

import pytest

from limeshelf.dispatch.rate_limiter import (
    MIN_RATE_PER_S,
    REDUCED_RATE_PERIOD_S,
    REDUCED_RATE_SHARE,
    RatePermit,
    ReplicaRateLimiters,
)
from limeshelf.membership.member import LOCAL
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica
from tests.support.notices import WINDOW_S, tolerated_calls

STEP_S = 0.01


def replica_with(rate_per_s: float | None) -> Replica:
    record = ReplicaRecord('r-1', 'app', '127.0.0.1:1', 'z1', 8, False, None, (), 1)
    replica = Replica(record, {})
    if rate_per_s is not None:
        replica.backpressure.rate.record(rate_per_s, 0.0)
    return replica


def owner_limiters() -> ReplicaRateLimiters:
    return ReplicaRateLimiters(lambda data_centre: LOCAL)


def permit_times(
    pacers: list[ReplicaRateLimiters], replica: Replica, begin_s: float, for_s: float
) -> list[float]:
    """Return the send times of calls that continuously try to get a permit from each pacer."""
    times = []
    for step in range(int(for_s / STEP_S)):
        now_s = begin_s + step * STEP_S
        for limiters in pacers:
            permit = limiters.try_acquire(replica, 0.0, now_s)
            if permit is not None and permit.is_granted:
                times.append(now_s)
    return times


def most_in_window(times: list[float]) -> int:
    return max(sum(end - WINDOW_S < sent_s <= end for sent_s in times) for end in times)


@pytest.mark.parametrize('rate_per_s', [0.3, 2.3, 20.0])
def test_rate_is_used_and_not_exceeded(rate_per_s: float) -> None:
    times = permit_times([owner_limiters()], replica_with(rate_per_s), 0.0, 60.0)
    later = [sent_s for sent_s in times if sent_s >= 2 * REDUCED_RATE_PERIOD_S]
    assert len(later) >= 0.9 * rate_per_s * (60.0 - 2 * REDUCED_RATE_PERIOD_S) - 1
    # The step size of the test delays a permit by up to one step.
    assert most_in_window(times) <= rate_per_s * (WINDOW_S + 0.25) + 1


@pytest.mark.parametrize('rate_per_s', [0.3, 2.3, 20.0])
@pytest.mark.parametrize('others', [0, 1, 2, 4])
def test_new_and_replacement_pacers_stay_within_tolerance(rate_per_s: float, others: int) -> None:
    replica = replica_with(rate_per_s)
    first = owner_limiters()
    times = permit_times([first], replica, 0.0, 20.0)
    centres = ['z1', *(f'y{number}' for number in range(others))]
    # Each replacement sees no owner but itself.
    replacements = [
        ReplicaRateLimiters({centre: LOCAL}.get, lambda: centres)
        for centre in centres
        if centre != 'z1'
    ]
    new_pacer = owner_limiters()
    times += permit_times(
        [first, *(replacements or [new_pacer])], replica, 20.0, 3 * REDUCED_RATE_PERIOD_S
    )
    if not others:
        times = [sent_s for sent_s in times if sent_s < 20.0 + REDUCED_RATE_PERIOD_S]
    assert most_in_window(times) <= tolerated_calls(rate_per_s)


def test_replica_without_rate_limit_needs_no_permit() -> None:
    limiters = owner_limiters()
    assert limiters.try_acquire(replica_with(None), 0.0, 1.0) == RatePermit(True, 0.0)
    assert limiters.wait_s(replica_with(None), 1.0) == 0.0


def test_permit_is_reserved_for_a_call_that_can_wait() -> None:
    limiters = owner_limiters()
    replica = replica_with(2.0 / REDUCED_RATE_SHARE)
    assert limiters.try_acquire(replica, 0.0, 10.0) == RatePermit(True, 0.0)
    assert limiters.try_acquire(replica, 0.1, 10.0) == RatePermit(False, 0.25)
    assert limiters.try_acquire(replica, 0.3, 10.0) == RatePermit(True, 0.25)
    assert limiters.try_acquire(replica, 0.3, 10.0) == RatePermit(False, 0.75)


def test_replica_with_rate_zero_still_gets_occasional_calls() -> None:
    times = permit_times([owner_limiters()], replica_with(0.0), 0.0, 30.0)
    assert len(times) == pytest.approx(30.0 * MIN_RATE_PER_S, abs=1)


def test_new_rate_rescales_the_remaining_wait() -> None:
    limiters = owner_limiters()
    replica = replica_with(0.1)
    limiters.try_acquire(replica, 0.0, 10.0)
    assert limiters.wait_s(replica, 15.0) > 4.0
    replica.backpressure.rate.record(20.0, 15.0)
    assert limiters.wait_s(replica, 15.0) == 0.0
    limiters.try_acquire(replica, 0.0, 15.0)
    replica.backpressure.rate.record(0.1, 16.0)
    limiters.try_acquire(replica, 0.0, 16.0)
    assert limiters.wait_s(replica, 16.0) > 9.0


def test_queue_waits_for_permits_only_if_every_replica_is_rate_limited() -> None:
    limiters = owner_limiters()
    slow, free = replica_with(2.0 / REDUCED_RATE_SHARE), replica_with(None)
    limiters.try_acquire(slow, 0.0, 10.0)
    assert limiters.queue_wait_s([slow], 3, 10.0) == pytest.approx(0.25 + 1.0)
    assert limiters.queue_wait_s([slow, free], 3, 10.0) == 0.0


def test_another_owner_replaces_a_missing_one() -> None:
    owners = {'z2': '10.0.0.2:1', 'z3': LOCAL}
    limiters = ReplicaRateLimiters(owners.get, lambda: ['z3', 'z2', 'z1'])
    assert limiters.pacer_of(replica_with(2.0)) == '10.0.0.2:1'
    assert limiters.try_acquire(replica_with(2.0), 0.0, 1.0) is None
    del owners['z2']
    assert limiters.pacer_of(replica_with(2.0)) == LOCAL
    owners.clear()
    assert limiters.pacer_of(replica_with(2.0)) is None


def test_restarted_replica_gets_a_new_limiter() -> None:
    limiters = owner_limiters()
    replica = replica_with(0.1)
    limiters.try_acquire(replica, 0.0, 10.0)
    assert not limiters.try_acquire(replica, 0.0, 10.1).is_granted
    later = replica_with(0.1)
    later.start = type(replica.start)('r-1', 1)
    assert limiters.try_acquire(later, 0.0, 10.1).is_granted
