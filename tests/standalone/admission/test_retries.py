"""Retries: limits of attempts and time, and a budget that first attempts earn."""

from __future__ import annotations

import pytest

from limeshelf.standalone.admission.retries import (
    SAVED_RETRIES_LIMIT,
    RetryQuestion,
    RouteRetryBudget,
    may_retry,
)


def drained(ratio: float = 0.25) -> RouteRetryBudget:
    budget = RouteRetryBudget(ratio)
    while budget.try_retry():
        pass
    return budget


def test_full_budget_holds_its_limit() -> None:
    budget = RouteRetryBudget(0.25)
    budget.note_first_attempt()
    taken = 0
    while budget.try_retry():
        taken += 1
    assert taken == SAVED_RETRIES_LIMIT


def test_first_attempts_earn_their_share_of_retries() -> None:
    budget = drained(ratio=0.25)
    for _ in range(3):
        budget.note_first_attempt()
        assert not budget.try_retry()
    budget.note_first_attempt()
    assert budget.try_retry()
    assert not budget.try_retry()


@pytest.mark.parametrize(
    ('question', 'expected'),
    [
        (RetryQuestion(attempts=2, attempts_limit=3, remaining_s=0.1), True),
        (RetryQuestion(attempts=3, attempts_limit=3, remaining_s=0.1), False),
        (RetryQuestion(attempts=1, attempts_limit=3, remaining_s=0.0), False),
    ],
)
def test_attempts_and_time_limit_retries(question: RetryQuestion, expected: bool) -> None:
    assert may_retry(question, RouteRetryBudget(0.1)) is expected


def test_refused_retry_takes_nothing_from_the_budget() -> None:
    budget = RouteRetryBudget(0.0)
    for _ in range(100):
        assert not may_retry(RetryQuestion(3, 3, 1.0), budget)
    assert may_retry(RetryQuestion(1, 3, 1.0), budget)


def test_empty_budget_ends_the_attempts() -> None:
    assert not may_retry(RetryQuestion(1, 3, 1.0), drained())
