"""Rules for retries, and the time limit of an attempt."""

from __future__ import annotations

import pytest

from limeshelf.admission.retry_rules import head_limit_s, may_run_again, reason_not_to_send
from limeshelf.calls.call import CallKind
from limeshelf.errors import RefusalReason
from tests.support.routes import make_route

STREAM = make_route(kind=CallKind.STREAM)
RESUMABLE = make_route(kind=CallKind.STREAM, resumable=True)
UNSAFE = make_route(kind=CallKind.UNSAFE)


@pytest.mark.parametrize(
    ('refusals', 'left_s', 'reason'),
    [
        (0, 1.0, None),
        (4, 0.031, None),
        (5, 1.0, RefusalReason.UPSTREAM_REFUSED),
        (0, 0.03, RefusalReason.DEADLINE_TOO_SHORT),
        (5, 0.03, RefusalReason.DEADLINE_TOO_SHORT),
    ],
)
def test_sent_until_time_or_refusals_are_exhausted(
    refusals: int, left_s: float, reason: RefusalReason | None
) -> None:
    assert reason_not_to_send(refusals, left_s) is reason


def test_only_repeatable_calls_run_again_up_to_the_limit_of_the_route() -> None:
    assert may_run_again(make_route(), 1, 1.0)
    assert may_run_again(RESUMABLE, 1, 1.0)
    assert not may_run_again(make_route(), 2, 1.0)
    assert not may_run_again(make_route(), 1, 0.03)
    assert not may_run_again(UNSAFE, 1, 1.0)
    assert not may_run_again(STREAM, 1, 1.0)


def test_first_attempt_leaves_time_for_another_one() -> None:
    assert head_limit_s(make_route(), 0, 9.0) == pytest.approx(3.15)
    assert head_limit_s(make_route(), 0, 0.3) == 0.25
    assert head_limit_s(RESUMABLE, 0, 9.0) == 2.0
    assert head_limit_s(RESUMABLE, 0, 1.5) == 1.5


def test_last_attempt_gets_all_the_time_left() -> None:
    assert head_limit_s(make_route(), 1, 9.0) == 9.0
    assert head_limit_s(UNSAFE, 0, 9.0) == 9.0
    assert head_limit_s(STREAM, 0, 9.0) == 9.0
