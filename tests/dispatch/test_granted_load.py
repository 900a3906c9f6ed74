"""What granted requests take of a replica, and when a prompt counts as read."""

from __future__ import annotations

from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.granted_load import RECENT_KEPT_S, GrantedLoad
from limeshelf.dispatch.messages import DispatchQuery
from limeshelf.dispatch.requests import GrantedRequest
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica

NOW_S = 1000.0
REPLICA = Replica(ReplicaRecord('r0', 'lm', 'ip:0', 'z1', 4, False, None, (), 1), {})


def granted(request_id: str, read_ms: float, granted_s: float = NOW_S) -> GrantedRequest:
    query = DispatchQuery(
        request_id, ModelKey('lm', 'm'), 1000, 100, 1, 1000, 5000, 300, 'z1', [], []
    )
    return GrantedRequest(query, 'g1', granted_s + 5.0, REPLICA, 1000, read_ms, granted_s)


def test_lone_prompt_is_read_alone_and_two_are_not() -> None:
    load = GrantedLoad()
    one, two = granted('a', 50.0), granted('b', 60.0)
    load.add(one)
    assert one.read_alone
    load.add(two)
    assert not one.read_alone
    assert not two.read_alone


def test_prompt_after_one_that_was_read_is_alone() -> None:
    load = GrantedLoad()
    one, two = granted('a', 50.0), granted('b', 60.0)
    load.add(one)
    load.end_reading(one)
    load.add(two)
    assert two.read_alone


def test_sums_come_back_to_nothing() -> None:
    load = GrantedLoad()
    requests = [granted(f'r{number}', 0.1 * number) for number in range(5)]
    for request in requests:
        load.add(request)
    assert (load.calls, load.tokens) == (5, 5500)
    load.end_reading(requests[0])
    for request in requests:
        load.remove(request)
    assert (load.calls, load.tokens, load.reading_ms) == (0, 0, 0.0)


def test_end_of_reading_counts_once() -> None:
    load = GrantedLoad()
    one, two = granted('a', 50.0), granted('b', 60.0)
    load.add(one)
    load.add(two)
    load.end_reading(one)
    load.end_reading(one)
    assert load.reading_ms == 60.0


def test_prompt_counts_as_read_after_its_margin_and_a_step() -> None:
    load = GrantedLoad()
    load.add(granted('a', 100.0))
    load.end_overdue_reading(NOW_S + 0.139)
    assert load.reading_ms == 100.0
    load.end_overdue_reading(NOW_S + 0.141)
    assert load.reading_ms == 0.0


def test_reading_in_a_window_counts_by_the_time_of_its_grant() -> None:
    load = GrantedLoad()
    load.add(granted('a', 50.0, NOW_S))
    load.add(granted('b', 60.0, NOW_S + 0.2))
    assert load.read_ms_since(NOW_S) == 110.0
    assert load.read_ms_since(NOW_S + 0.1) == 60.0
    assert load.read_ms_since(NOW_S) == 110.0
    assert load.read_ms_since(NOW_S + RECENT_KEPT_S + 1.0) == 0.0
