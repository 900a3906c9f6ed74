"""Keys that were served late or never, and the leader's actions, from lines in any order."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from limeshelf.account.lines import LogEvent, LogReader
from limeshelf.account.starved import UNSERVED_EXPIRY_S, DemandKey, StarvedKeys
from limeshelf.account.starved_report import SHOWN_ACTIONS, starved_lines
from limeshelf.demand import meter
from limeshelf.standalone.programs.cli import app

if TYPE_CHECKING:
    from pathlib import Path

MODEL = DemandKey('m')
ADAPTER = DemandKey('m', 'a1')


def event(name: str, at_s: float, **fields: Any) -> LogEvent:
    return LogEvent(at_s, 'g-1', name, fields)


def refusal(at_s: float, name: str = 'refused_no_replica', **changes: Any) -> LogEvent:
    fields = {'request': f'c-{at_s}', 'model': 'm', 'adapter': '', 'expected_wait_ms': 2000}
    return event(name, at_s, **{**fields, **changes})


def attempt(at_s: float, **changes: Any) -> LogEvent:
    fields = {'request': f'c-{at_s}', 'model': 'm', 'adapter': '', 'result': 'Delivered'}
    return event('attempt', at_s, **{**fields, 'status': 200, **changes})


def refusals(*moments_s: float, **changes: Any) -> list[LogEvent]:
    return [refusal(at_s, **changes) for at_s in moments_s]


def collected(*events: LogEvent) -> StarvedKeys:
    starved = StarvedKeys()
    starved.add_all(events)
    return starved


def never_served(*events: LogEvent) -> list[DemandKey]:
    return [key for key, _ in collected(*events).never_served()]


@pytest.mark.parametrize(
    ('moments_s', 'is_reported'),
    [
        ((0.0, 2.0, 4.0, 8.0), True),
        ((0.0, 2.0, 4.0, 7.9), False),
        ((0.0, 4.0, 9.0), False),
    ],
)
def test_four_calls_over_eight_seconds_are_reported(
    moments_s: tuple[float, ...], is_reported: bool
) -> None:
    assert never_served(*refusals(*moments_s)) == ([MODEL] if is_reported else [])


def test_lines_of_one_call_are_one_call() -> None:
    assert never_served(*refusals(0.0, 3.0, 6.0, 9.0, request='c')) == []


@pytest.mark.parametrize(
    ('answer', 'is_served'),
    [
        ({'result': 'Delivered'}, True),
        ({'result': 'WholeAnswer', 'status': 200}, True),
        ({'result': 'WholeAnswer', 'status': 404}, False),
        ({'result': 'WholeAnswer', 'status': 500}, False),
        ({'result': 'Broken', 'detail': 'silent', 'status': 0}, False),
        ({'result': 'NeverRan', 'detail': '503', 'status': 503}, False),
    ],
)
def test_answers_that_count_as_served(answer: dict[str, Any], is_served: bool) -> None:
    reported = never_served(*refusals(0.0, 4.0, 6.0, 9.0), attempt(5.0, **answer))
    assert reported == ([] if is_served else [MODEL])


def test_model_is_served_by_a_call_for_an_adapter_and_not_the_other_way_round() -> None:
    requested = refusals(0.0, 4.0, 6.0, 9.0, adapter='a1')
    assert never_served(*requested) == [MODEL, ADAPTER]
    assert never_served(*requested, attempt(5.0, adapter='a2')) == [ADAPTER]
    assert never_served(*requested, attempt(5.0)) == [ADAPTER]


def test_failures_are_counted_by_event() -> None:
    events = refusals(0.0, 4.0, 6.0, adapter='a1', model_held=True)
    events += [refusal(9.0, 'refused_overloaded', adapter='a1', expected_wait_ms=500)]
    events += [attempt(9.5, adapter='a1', result='Broken', detail='silent')]
    demand = dict(collected(*events).never_served())[ADAPTER]
    failures = {name: (one.lines, one.waits_s) for name, one in demand.failures.items()}
    assert failures == {
        'refused_no_replica': (3, [2.0, 2.0, 2.0]),
        'refused_overloaded': (1, [0.5]),
        'attempt Broken silent': (1, []),
    }
    assert demand.refused_with_model == 3


def test_actions_for_a_key_include_its_evictions() -> None:
    starved = collected(
        event('move', 1.0, model='m', evicted=['x']),
        event('adapter_move', 2.0, model='m', adapter='a1', evicted='m/a2'),
        event('order', 3.0, model='m', adapter='a1', kind='load'),
        event('order', 3.5, model='m', adapter='', kind='load'),
        event('move_failed', 4.0, model='m', adapter='a1'),
        event('move_failed', 4.5, model='m', adapter=''),
        event('move', 5.0, model='x', evicted=['y', 'm']),
        event('adapter_move', 6.0, model='m', adapter='a2', evicted='m/a1'),
        event('order', 7.0, model='z', adapter='a1', kind='load'),
    )

    def times(key: DemandKey) -> list[float]:
        return [action.at_s for action in starved.actions_for(key)]

    assert times(MODEL) == [1.0, 3.5, 4.5, 5.0]
    assert times(ADAPTER) == [1.0, 2.0, 3.0, 4.0, 4.5, 5.0, 6.0]
    assert times(DemandKey('x')) == [1.0, 5.0]


def longest_wait_s(*events: LogEvent) -> float:
    ((_, one),) = collected(*events).served_late()
    return one.longest_wait_s


def test_longest_time_without_an_answer_ends_with_the_answer_or_the_last_call() -> None:
    served = attempt(0.0)
    assert longest_wait_s(served, *refusals(1.0, 5.0, 9.0), attempt(11.0)) == 10.0
    assert longest_wait_s(served, *refusals(1.0, 5.0, 9.0)) == 8.0
    assert longest_wait_s(served, attempt(4.0), attempt(7.0), attempt(9.0)) == 0.0


def test_wait_ends_after_a_time_without_calls() -> None:
    early, late = refusals(0.0, 4.0, 7.0), refusals(60.0, 62.0)
    assert longest_wait_s(*early, *late, attempt(63.0)) == 7.0


def test_wait_ends_after_the_same_time_as_at_the_leader() -> None:
    assert UNSERVED_EXPIRY_S == meter.UNSERVED_EXPIRY_S


def test_wait_lasts_from_the_arrival_to_the_begin_of_the_answer() -> None:
    events = refusals(9.0, 9.5, 10.0, waited_ms=500)
    answer = attempt(30.0, waited_ms=5000, took_ms=20_000, first_ms=2000)
    # The answered call arrived at 5 s, and its answer began at 12 s.
    assert longest_wait_s(*events, answer, attempt(31.0)) == pytest.approx(7.0)


@given(st.randoms(use_true_random=False))
def test_order_of_the_lines_has_no_effect(order: random.Random) -> None:
    events = [
        *refusals(0.0, 4.0, 6.0, 9.0, adapter='a1'),
        *refusals(1.0, 20.0, model='n'),
        attempt(12.0, model='n'),
        attempt(25.0, model='n'),
        event('move', 3.0, model='m', evicted=['n']),
        event('order', 3.2, model='m', adapter='a1', kind='load'),
    ]
    expected = starved_lines(collected(*events), LogReader(events=10))
    order.shuffle(events)
    assert starved_lines(collected(*events), LogReader(events=10)) == expected


def test_report_states_missing_actions_and_limits_the_shown_ones() -> None:
    quiet = refusals(10.0, 14.0, 16.0, 19.0, model='n')
    orders = [event('order', 10.0 + n, model='m', kind='load') for n in range(SHOWN_ACTIONS + 3)]
    starved = collected(*quiet, *refusals(10.0, 14.0, 16.0, 19.0), *orders)
    lines = starved_lines(starved, LogReader(events=4))
    assert 'n: 4 calls from 0.0 to 9.0' in lines
    assert lines.count('  the leader did nothing for it') == 1
    assert '  and 3 lines more of the leader' in lines
    failures = '  told     4 refused_no_replica, expected wait 2.0 to 2.0 s, median 2.0 s'
    assert lines.count(failures) == 2


def test_report_warns_of_dropped_lines() -> None:
    starved = collected(*refusals(0.0, 4.0, 6.0, 9.0), event('lines_dropped', 9.0, count=7))
    assert any('7 lines were dropped' in line for line in starved_lines(starved, LogReader()))


def test_command_reads_files_and_standard_input(tmp_path: Path) -> None:
    written = [
        {'at_s': one.at_s, 'event': one.name, 'instance': one.instance, **one.fields}
        for one in refusals(0.0, 4.0, 6.0, 9.0)
    ]
    text = 'no event\n' + ''.join(f'prefix {json.dumps(one)}\n' for one in written)
    log = tmp_path / 'gateways.log'
    log.write_text(text)
    result = CliRunner().invoke(app, ['account', 'starved', str(log)])
    assert result.exit_code == 0
    assert result.output.splitlines()[0] == '4 events, 1 lines without one'
    assert 'm: 4 calls from 0.0 to 9.0' in result.output
    piped = CliRunner().invoke(app, ['account', 'starved'], input=text)
    assert piped.output == result.output


def test_report_without_starved_keys() -> None:
    result = CliRunner().invoke(app, ['account', 'starved'], input='')
    assert result.exit_code == 0
    assert result.output.splitlines().count('  none') == 2
