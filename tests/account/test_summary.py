"""Endings of calls and causes of losses, from lines in any order."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limeshelf.account import summary as module
from limeshelf.account.calls import CallRecord, Cause, Ending
from limeshelf.account.lines import LogEvent
from limeshelf.account.spans import SpanKind
from limeshelf.account.summary import CallSummary
from limeshelf.account.worths import RouteWorth, Worths


def event(name: str, at_s: float = 10.0, instance: str = 'g-1', **fields: Any) -> LogEvent:
    return LogEvent(at_s, instance, name, fields)


def attempt(call_id: str, at_s: float = 10.0, **changes: Any) -> LogEvent:
    fields: dict[str, Any] = {
        'request': call_id,
        'route': 'r',
        'model': 'm',
        'replica': 'i-1',
        'result': 'Delivered',
        'status': 200,
        'waited_ms': 20,
        'first_ms': 60,
        'pause_ms': 100,
        'objective_ms': 400,
        'pause_limit_ms': 250,
        **changes,
    }
    return event('attempt', at_s, **fields)


def refusal(call_id: str, why: str, at_s: float = 10.0, **changes: Any) -> list[LogEvent]:
    fields = {'request': call_id, 'route': 'r', 'model': 'm', 'objective_ms': 400, **changes}
    reason = 'overloaded' if why == 'refused_overloaded' else 'no_ready_replica'
    return [
        event(why, at_s, **fields),
        event('refused', at_s, request=call_id, reason=reason, retry_after_s=1.5),
    ]


def ending_and_cause(*events: LogEvent) -> tuple[Ending, Cause]:
    record = CallRecord('c', events[0].at_s)
    for one in events:
        record.add_event(one)
    return record.ending, record.cause


@pytest.mark.parametrize(
    ('events', 'ending', 'cause'),
    [
        ([attempt('c')], Ending.IN_TIME, Cause.NONE),
        ([attempt('c', waited_ms=350)], Ending.LATE, Cause.WAITED),
        ([attempt('c', first_ms=390)], Ending.LATE, Cause.SLOW_FIRST),
        ([attempt('c', pause_ms=251)], Ending.LATE, Cause.PAUSED),
        ([attempt('c', result='Broken', detail='cut_short')], Ending.FAILED, Cause.BROKEN),
        ([attempt('c', result='Broken', detail='time_over')], Ending.FAILED, Cause.NO_TIME),
        (
            [attempt('c', result='WholeAnswer', status=500)],
            Ending.FAILED,
            Cause.REPLICA_FAILED,
        ),
        ([attempt('c', result='WholeAnswer', model='')], Ending.IN_TIME, Cause.NONE),
        ([attempt('c', result='NeverRan')], Ending.FAILED, Cause.REPLICA_REFUSED),
        (refusal('c', 'refused_overloaded'), Ending.REFUSED, Cause.NO_ROOM),
        (refusal('c', 'refused_no_replica'), Ending.REFUSED, Cause.MODEL_ABSENT),
        (
            refusal('c', 'refused_no_replica', adapter='a1', model_held=True),
            Ending.REFUSED,
            Cause.ADAPTER_ABSENT,
        ),
    ],
)
def test_ending_and_cause_of_a_call(events: list[LogEvent], ending: Ending, cause: Cause) -> None:
    assert ending_and_cause(*events) == (ending, cause)


def test_broken_answer_is_ignored_if_a_later_one_is_complete() -> None:
    broken = attempt('c', result='Broken', detail='silent')
    assert ending_and_cause(broken, attempt('c', 10.2)) == (Ending.IN_TIME, Cause.NONE)


def mixed_events() -> list[LogEvent]:
    return [
        event('started', 1.0, data_centre='z1'),
        event('started', 1.0, 'g-2', data_centre='z2'),
        event('move', 9.0, model='m', from_store=True, load_s=6.0),
        attempt('c-1'),
        attempt('c-2', waited_ms=500),
        *refusal('c-3', 'refused_no_replica', 12.0, waited_ms=200),
        *refusal('c-4', 'refused_overloaded', 30.0, returned=True),
        event('refused', 30.0, 'g-2', request='c-5', reason='unknown_route'),
    ]


def summarized(events: list[LogEvent], worths: Worths | None = None) -> CallSummary:
    summary = CallSummary(worths or Worths())
    summary.add_all(events)
    return summary


def test_sums_and_causes() -> None:
    worths = Worths({'r': RouteWorth(2.0, 0.5)})
    summary = summarized(mixed_events(), worths)
    total = summary.total
    assert total.asked == 4
    assert dict(total.endings) == {Ending.IN_TIME: 1, Ending.LATE: 1, Ending.REFUSED: 2}
    assert (total.owed, total.earned) == (8.0, 2.5)
    assert total.lost_retries == 1
    # One call waited half of its objective without being sent; one was refused again.
    assert total.earned_strictly == pytest.approx(2.5 - 0.5 * 2.0 - 0.3 * 2.0)
    assert total.wasted_wait_s == pytest.approx(0.2)
    ranked = [
        (cause, cause_sum.calls, cause_sum.worth) for cause, cause_sum in summary.ranked_causes()
    ]
    assert ranked == [
        (Cause.MODEL_ABSENT, 1, 2.0),
        (Cause.NO_ROOM, 1, 2.0),
        (Cause.WAITED, 1, 1.5),
    ]
    assert set(summary.by_centre) == {'z1'}


def test_causes_list_the_spans_in_which_calls_were_lost() -> None:
    summary = summarized(mixed_events())
    assert summary.causes[Cause.MODEL_ABSENT].within == {SpanKind.STORE_LOAD: 1}
    assert summary.causes[Cause.NO_ROOM].within == {}


@given(st.randoms(use_true_random=False))
def test_order_of_the_lines_has_no_effect(order: random.Random) -> None:
    events = mixed_events()
    order.shuffle(events)
    summary, expected = summarized(events), summarized(mixed_events())
    assert summary.total.endings == expected.total.endings
    assert summary.total.earned_strictly == pytest.approx(expected.total.earned_strictly)
    assert summary.causes == expected.causes


def test_retry_in_time_counts_as_late_in_the_strict_count() -> None:
    summary = summarized([attempt('c-1', returned=True)])
    assert (summary.total.earned, summary.total.earned_strictly) == (1.0, 0.1)


def test_number_of_open_calls_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, 'MAX_OPEN_CALLS', 3)
    summary = CallSummary()
    for n in range(10):
        summary.add_event(attempt(f'c-{n}'))
    assert len(summary._open) == 3
    summary.close()
    assert summary.total.asked == 10
