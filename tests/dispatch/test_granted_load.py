"""The load of granted requests, and when a prefill counts as finished."""

from __future__ import annotations

from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.granted_load import GRANT_HISTORY_S, GrantedLoad
from limeshelf.dispatch.messages import DispatchQuery
from limeshelf.dispatch.requests import GrantedRequest
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica

NOW_S = 1000.0
REPLICA = Replica(ReplicaRecord('r0', 'lm', 'ip:0', 'z1', 4, False, None, (), 1), {})


def granted(request_id: str, prefill_ms: float, granted_s: float = NOW_S) -> GrantedRequest:
    query = DispatchQuery(
        request_id, ModelKey('lm', 'm'), 1000, 100, 1, 1000, 5000, 300, 'z1', [], []
    )
    return GrantedRequest(query, 'g1', granted_s + 5.0, REPLICA, 1000, prefill_ms, granted_s)


def test_single_prefill_counts_as_alone_and_two_do_not() -> None:
    load = GrantedLoad()
    first, second = granted('a', 50.0), granted('b', 60.0)
    load.add(first)
    assert first.prefilled_alone
    load.add(second)
    assert not first.prefilled_alone
    assert not second.prefilled_alone


def test_prefill_after_a_finished_one_counts_as_alone() -> None:
    load = GrantedLoad()
    first, second = granted('a', 50.0), granted('b', 60.0)
    load.add(first)
    load.end_prefill(first)
    load.add(second)
    assert second.prefilled_alone


def test_sums_return_to_zero() -> None:
    load = GrantedLoad()
    requests = [granted(f'r{number}', 0.1 * number) for number in range(5)]
    for request in requests:
        load.add(request)
    assert (load.calls, load.tokens) == (5, 5500)
    load.end_prefill(requests[0])
    for request in requests:
        load.remove(request)
    assert (load.calls, load.tokens, load.total_prefill_ms) == (0, 0, 0.0)


def test_prefill_ends_once() -> None:
    load = GrantedLoad()
    first, second = granted('a', 50.0), granted('b', 60.0)
    load.add(first)
    load.add(second)
    load.end_prefill(first)
    load.end_prefill(first)
    assert load.total_prefill_ms == 60.0


def test_prefill_expires_after_margin_and_grace() -> None:
    load = GrantedLoad()
    load.add(granted('a', 100.0))
    load.expire_prefills(NOW_S + 0.139)
    assert load.total_prefill_ms == 100.0
    load.expire_prefills(NOW_S + 0.141)
    assert load.total_prefill_ms == 0.0


def test_prefill_is_in_window_by_time_of_grant() -> None:
    load = GrantedLoad()
    load.add(granted('a', 50.0, NOW_S))
    load.add(granted('b', 60.0, NOW_S + 0.2))
    assert load.prefill_ms_since(NOW_S) == 110.0
    assert load.prefill_ms_since(NOW_S + 0.1) == 60.0
    assert load.prefill_ms_since(NOW_S) == 110.0
    assert load.prefill_ms_since(NOW_S + GRANT_HISTORY_S + 1.0) == 0.0
