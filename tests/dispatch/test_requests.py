"""The order in which queued requests are served."""

from __future__ import annotations

from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.messages import DispatchQuery
from limeshelf.dispatch.requests import QueuedRequest

NOW_S = 1000.0


def make_request(request_id: str, priority: int, objective_ms: int) -> QueuedRequest:
    query = DispatchQuery(
        request_id, ModelKey('lm', 'm'), 100, 10, priority, objective_ms, 5000, 300, 'z1', [], []
    )
    return QueuedRequest.from_query(query, 'g1', NOW_S)


def served(requests: list[QueuedRequest], now_s: float) -> list[str]:
    return [
        request.request_id
        for request in sorted(requests, key=lambda request: request.urgency(now_s))
    ]


def test_times_of_a_query_count_from_its_arrival() -> None:
    made = make_request('a', 1, 800)
    assert (made.last_query_s, made.due_s, made.deadline_s) == (NOW_S, NOW_S + 0.8, NOW_S + 5.0)


def test_priority_goes_before_time() -> None:
    requests = [
        make_request('low', 2, 100),
        make_request('high', 0, 900),
        make_request('soon', 0, 800),
    ]
    assert served(requests, NOW_S) == ['soon', 'high', 'low']


def test_late_requests_go_last_whatever_their_priority() -> None:
    requests = [make_request('late', 0, 100), make_request('in time', 2, 900)]
    assert served(requests, NOW_S + 0.2) == ['in time', 'late']


def test_request_is_not_late_at_its_due_time() -> None:
    assert not make_request('a', 1, 500).urgency(NOW_S + 0.5)[0]
