"""Tests that the history checks detect each kind of violation."""

from __future__ import annotations

import json
import zlib

import attrs
import pytest

from tests.support.history import Call, check_stream, find_history_violations

CALL = Call('book', 'c', 'k', 'x-0', 1.0, 2.0, 200, 'completed', True, 3)
MARK = f'c.{zlib.crc32(b"user: hello"):08x}'


def stream(*tokens: str, end: str = 'data: [DONE]\n\n') -> str:
    events = [{'choices': [{'delta': {'content': token}}]} for token in tokens]
    return ''.join(f'data: {json.dumps(event)}\n\n' for event in events) + end


def test_correct_history_has_no_violation() -> None:
    assert find_history_violations([CALL], {'k': 1}) == []


@pytest.mark.parametrize(
    ('calls', 'runs'),
    [
        ([attrs.evolve(CALL, whole=False)], {'k': 1}),
        ([attrs.evolve(CALL, outcome='missing')], {'k': 1}),
        ([CALL], {'k': 2}),
        ([CALL], {}),
        ([attrs.evolve(CALL, outcome='not_run')], {'k': 1}),
        ([CALL, attrs.evolve(CALL, started_s=3.0, ended_s=4.0, revision=2)], {'k': 1}),
    ],
    ids=['not-whole', 'missing', 'ran-twice', 'never-ran', 'ran-though-not-run', 'step-back'],
)
def test_violation_is_found(calls: list[Call], runs: dict[str, int]) -> None:
    assert len(find_history_violations(calls, runs)) == 1


def test_stream_is_checked_token_by_token() -> None:
    whole = stream(f'{MARK}.0 ', f'{MARK}.1 ')
    assert check_stream(whole, 'c', 'hello', 2) == ('completed', True)
    assert check_stream(whole, 'c', 'hello', 3) == ('completed', False)
    assert check_stream(whole, 'd', 'hello', 2) == ('completed', False)
    swapped = stream(f'{MARK}.1 ', f'{MARK}.0 ')
    assert check_stream(swapped, 'c', 'hello', 2) == ('completed', False)


def test_truncated_stream_is_dropped_unless_it_ends_with_an_error() -> None:
    assert check_stream(stream(f'{MARK}.0 ', end=''), 'c', 'hello', 2) == ('dropped', True)
    error = f'data: {json.dumps({"error": {"outcome": "may_have_run"}})}\n\n'
    broken = stream(f'{MARK}.0 ', end=error)
    assert check_stream(broken, 'c', 'hello', 2) == ('may_have_run', True)
