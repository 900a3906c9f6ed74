"""Turns at replicas that take only so many calls a second from all gateways together."""

from __future__ import annotations

import pytest

from limeshelf.dispatch.pace import CAUTIOUS_SHARE, LEAST_PER_S, NEW_FOR_S, ReplicaPaces, Turn
from limeshelf.membership.member import LOCAL
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica
from tests.support.needs import WINDOW_S, tolerated

STEP_S = 0.01


def replica_with(rate_per_s: float | None) -> Replica:
    record = ReplicaRecord('r-1', 'app', '127.0.0.1:1', 'z1', 8, False, None, (), 1)
    replica = Replica(record, {})
    if rate_per_s is not None:
        replica.backpressure.note_rate(rate_per_s, 0.0)
    return replica


def owner() -> ReplicaPaces:
    return ReplicaPaces(lambda data_centre: LOCAL)


def taken(
    pacers: list[ReplicaPaces], replica: Replica, begin_s: float, for_s: float
) -> list[float]:
    """Return when calls went that always wait at each pacer."""
    times = []
    for step in range(int(for_s / STEP_S)):
        now_s = begin_s + step * STEP_S
        for paces in pacers:
            turn = paces.try_take(replica, 0.0, now_s)
            if turn is not None and turn.is_granted:
                times.append(now_s)
    return times


def most_in_window(times: list[float]) -> int:
    return max(sum(end - WINDOW_S < one <= end for one in times) for end in times)


@pytest.mark.parametrize('rate_per_s', [0.3, 2.3, 20.0])
def test_rate_is_used_and_kept(rate_per_s: float) -> None:
    times = taken([owner()], replica_with(rate_per_s), 0.0, 60.0)
    later = [one for one in times if one >= 2 * NEW_FOR_S]
    assert len(later) >= 0.9 * rate_per_s * (60.0 - 2 * NEW_FOR_S) - 1
    # Steps of the test make a turn up to one step late.
    assert most_in_window(times) <= rate_per_s * (WINDOW_S + 0.25) + 1


@pytest.mark.parametrize('rate_per_s', [0.3, 2.3, 20.0])
@pytest.mark.parametrize('others', [0, 1, 2, 4])
def test_further_pacers_that_begin_or_stand_in_stay_within_what_is_tolerated(
    rate_per_s: float, others: int
) -> None:
    replica = replica_with(rate_per_s)
    first = owner()
    times = taken([first], replica, 0.0, 20.0)
    centres = ['z1', *(f'y{number}' for number in range(others))]
    # Each of the others sees no owner but its own.
    stand_ins = [
        ReplicaPaces({centre: LOCAL}.get, lambda: centres) for centre in centres if centre != 'z1'
    ]
    begins_anew = owner()
    times += taken([first, *(stand_ins or [begins_anew])], replica, 20.0, 3 * NEW_FOR_S)
    if not others:
        times = [one for one in times if one < 20.0 + NEW_FOR_S]
    assert most_in_window(times) <= tolerated(rate_per_s)


def test_no_rate_needs_no_turn() -> None:
    paces = owner()
    assert paces.try_take(replica_with(None), 0.0, 1.0) == Turn(True, 0.0)
    assert paces.wait_s(replica_with(None), 1.0) == 0.0


def test_turn_is_kept_for_a_call_that_can_wait() -> None:
    paces = owner()
    replica = replica_with(2.0 / CAUTIOUS_SHARE)
    assert paces.try_take(replica, 0.0, 10.0) == Turn(True, 0.0)
    assert paces.try_take(replica, 0.1, 10.0) == Turn(False, 0.25)
    assert paces.try_take(replica, 0.3, 10.0) == Turn(True, 0.25)
    assert paces.try_take(replica, 0.3, 10.0) == Turn(False, 0.75)


def test_replica_that_takes_nothing_is_asked_now_and_then() -> None:
    times = taken([owner()], replica_with(0.0), 0.0, 30.0)
    assert len(times) == pytest.approx(30.0 * LEAST_PER_S, abs=1)


def test_other_rate_counts_for_the_wait_that_is_left() -> None:
    paces = owner()
    replica = replica_with(0.1)
    paces.try_take(replica, 0.0, 10.0)
    assert paces.wait_s(replica, 15.0) > 4.0
    replica.backpressure.note_rate(20.0, 15.0)
    assert paces.wait_s(replica, 15.0) == 0.0
    paces.try_take(replica, 0.0, 15.0)
    replica.backpressure.note_rate(0.1, 16.0)
    paces.try_take(replica, 0.0, 16.0)
    assert paces.wait_s(replica, 16.0) > 9.0


def test_queue_waits_for_its_turns_only_where_no_replica_takes_any_number() -> None:
    paces = owner()
    slow, free = replica_with(2.0 / CAUTIOUS_SHARE), replica_with(None)
    paces.try_take(slow, 0.0, 10.0)
    assert paces.queue_wait_s([slow], 3, 10.0) == pytest.approx(0.25 + 1.0)
    assert paces.queue_wait_s([slow, free], 3, 10.0) == 0.0


def test_another_owner_stands_in_for_a_data_centre_without_one() -> None:
    owners = {'z2': '10.0.0.2:1', 'z3': LOCAL}
    paces = ReplicaPaces(owners.get, lambda: ['z3', 'z2', 'z1'])
    assert paces.pacer_of(replica_with(2.0)) == '10.0.0.2:1'
    assert paces.try_take(replica_with(2.0), 0.0, 1.0) is None
    del owners['z2']
    assert paces.pacer_of(replica_with(2.0)) == LOCAL
    owners.clear()
    assert paces.pacer_of(replica_with(2.0)) is None


def test_later_start_begins_with_turns_of_its_own() -> None:
    paces = owner()
    replica = replica_with(0.1)
    paces.try_take(replica, 0.0, 10.0)
    assert not paces.try_take(replica, 0.0, 10.1).is_granted
    later = replica_with(0.1)
    later.start = type(replica.start)('r-1', 1)
    assert paces.try_take(later, 0.0, 10.1).is_granted
