"""Spans are derived from the events of gateways."""

from __future__ import annotations

from typing import Any

from limeshelf.account.calls import CallRecord
from limeshelf.account.lines import LogEvent
from limeshelf.account.spans import STARTING_S, TERM_TIMEOUT_S, Span, SpanKind, Spans


def spans_of(*events: LogEvent) -> Spans:
    spans = Spans()
    for event in events:
        spans.add_event(event)
    spans.close()
    return spans


def event(name: str, at_s: float, **fields: Any) -> LogEvent:
    return LogEvent(at_s, 'g-1', name, fields)


def call(at_s: float, **fields: Any) -> CallRecord:
    return CallRecord('c', at_s, **fields)


def test_load_affects_the_calls_to_its_model() -> None:
    spans = spans_of(event('move', 5.0, model='m', from_store=False, load_s=2.0))
    assert spans.kinds_affecting(call(6.0, model='m')) == [SpanKind.MACHINE_LOAD]
    assert spans.kinds_affecting(call(6.0, model='other')) == []
    assert spans.kinds_affecting(call(7.5, model='m')) == []


def test_time_without_events_of_a_leader() -> None:
    spans = spans_of(event('term_begun', 1.0), event('order', 2.0), event('claim', 12.0))
    assert Span(SpanKind.NO_LEADER, 2.0 + TERM_TIMEOUT_S, 12.0) in spans.close()
    assert spans.kinds_affecting(call(8.0, model='m')) == [SpanKind.NO_LEADER]
    assert spans.kinds_affecting(call(8.0)) == []


def test_store_is_unreachable_for_an_instance_until_it_is_reached() -> None:
    spans = spans_of(event('lease_store_lost', 3.0), event('lease_store_reached', 8.0))
    assert spans.kinds_affecting(call(5.0, instance='g-1')) == [SpanKind.STORE_UNREACHABLE]
    assert spans.kinds_affecting(call(5.0, instance='g-2')) == []


def test_restored_store_affects_the_instances_that_switched_to_it() -> None:
    spans = spans_of(event('table_returned', 3.0, table='servers', era=2))
    assert spans.kinds_affecting(call(4.0, instance='g-1')) == [SpanKind.STORE_RESTORED]
    assert spans.kinds_affecting(call(4.0, instance='g-2')) == []


def test_starting_instance_and_suspended_or_removed_replica() -> None:
    spans = spans_of(
        event('started', 3.0),
        event('attempt', 4.0, replica='i-1', suspended=True),
        event('replica_gone', 4.0, replica='i-2'),
    )
    lost = call(4.0 + STARTING_S / 5, instance='g-1', replica='i-1', model='m')
    assert spans.kinds_affecting(lost) == sorted(
        [SpanKind.STARTING, SpanKind.SUSPENDED, SpanKind.REPLICA_GONE]
    )
