"""What lasted, by the events of gateways."""

from __future__ import annotations

from typing import Any

from limeshelf.account.calls import CallRecord
from limeshelf.account.lines import LogEvent
from limeshelf.account.spans import START_S, TERM_LIFE_S, Span, SpanKind, Spans


def spans_of(*events: LogEvent) -> Spans:
    spans = Spans()
    for event in events:
        spans.take(event)
    spans.close()
    return spans


def event(name: str, at_s: float, **fields: Any) -> LogEvent:
    return LogEvent(at_s, 'g-1', name, fields)


def call(at_s: float, **fields: Any) -> CallRecord:
    return CallRecord('c', at_s, **fields)


def test_load_concerns_the_calls_to_its_model() -> None:
    spans = spans_of(event('move', 5.0, model='m', from_store=False, load_s=2.0))
    assert spans.around(call(6.0, model='m')) == [SpanKind.NEAR_LOAD]
    assert spans.around(call(6.0, model='other')) == []
    assert spans.around(call(7.5, model='m')) == []


def test_time_without_a_sign_of_a_leader() -> None:
    spans = spans_of(event('term_begun', 1.0), event('order', 2.0), event('claim', 12.0))
    assert Span(SpanKind.NO_LEADER, 2.0 + TERM_LIFE_S, 12.0) in spans.close()
    assert spans.around(call(8.0, model='m')) == [SpanKind.NO_LEADER]
    assert spans.around(call(8.0)) == []


def test_store_is_away_for_an_instance_until_it_is_reached() -> None:
    spans = spans_of(event('lease_store_lost', 3.0), event('lease_store_reached', 8.0))
    assert spans.around(call(5.0, instance='g-1')) == [SpanKind.STORE_AWAY]
    assert spans.around(call(5.0, instance='g-2')) == []


def test_store_that_came_back_from_a_copy_concerns_who_went_over_to_it() -> None:
    spans = spans_of(event('table_returned', 3.0, table='servers', era=2))
    assert spans.around(call(4.0, instance='g-1')) == [SpanKind.STORE_RETURNED]
    assert spans.around(call(4.0, instance='g-2')) == []


def test_instance_that_starts_and_replica_that_is_suspended() -> None:
    spans = spans_of(
        event('started', 3.0),
        event('attempt', 4.0, replica='i-1', suspended=True),
        event('replica_gone', 4.0, replica='i-2'),
    )
    lost = call(4.0 + START_S / 5, instance='g-1', replica='i-1', model='m')
    assert spans.around(lost) == sorted(
        [SpanKind.STARTING, SpanKind.SUSPENDED, SpanKind.REPLICA_GONE]
    )
