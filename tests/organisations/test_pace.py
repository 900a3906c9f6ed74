"""An organisation that sends much is let through evenly, not all at once."""

from __future__ import annotations

import pytest

from limeshelf.organisations.limits import USED_SHARE, LimitRule
from limeshelf.organisations.organisation import UsageLimit
from limeshelf.organisations.pace import LEAST_BUCKET_CALLS, LEAST_BUCKET_S, Paces

RULE = LimitRule(window_s=8.0, overrun=0.0, slack=0.0, centres=2)
LIMIT = UsageLimit(per_s=1000.0, burst=4000.0, in_tokens=True)
PER_S = USED_SHARE * 500.0
CAPACITY = USED_SHARE * 2000.0


def let_through(paces: Paces, amount: int, now_s: float, limit: UsageLimit = LIMIT) -> int:
    total = 0
    while not paces.wait_s('acme', limit, amount, now_s):
        paces.take('acme', amount)
        total += amount
    return total


def test_burst_at_once_and_then_the_rate() -> None:
    paces = Paces(RULE)
    assert let_through(paces, 10, 0.0) == pytest.approx(CAPACITY, abs=10)
    assert let_through(paces, 10, 1.0) == pytest.approx(PER_S, abs=10)
    assert let_through(paces, 10, 9.0) == pytest.approx(CAPACITY, abs=10)


def test_wait_is_when_the_call_is_let_through() -> None:
    paces = Paces(RULE)
    let_through(paces, 10, 0.0)
    wait_s = paces.wait_s('acme', LIMIT, 400, 0.0)
    assert 0.5 < wait_s < 1.0
    assert paces.wait_s('acme', LIMIT, 400, wait_s - 0.01) > 0
    assert paces.wait_s('acme', LIMIT, 400, wait_s + 0.01) == 0


def test_limit_without_a_burst_still_takes_calls_that_come_in_clumps() -> None:
    limit = UsageLimit(per_s=1000.0, burst=0.0, in_tokens=True)
    expected = LEAST_BUCKET_S * PER_S
    assert let_through(Paces(RULE), 10, 0.0, limit) == pytest.approx(expected, abs=10)


def test_bucket_holds_some_of_the_largest_calls_whatever_the_limit() -> None:
    paces = Paces(RULE)
    assert let_through(paces, 5000, 0.0) == LEAST_BUCKET_CALLS * 5000
    assert paces.wait_s('acme', LIMIT, 5000, 1.0) > 9.0
    assert paces.wait_s('acme', LIMIT, 10, 0.0) > 0


def test_lowered_limit_takes_what_was_saved_up() -> None:
    paces = Paces(RULE)
    paces.wait_s('acme', LIMIT, 10, 0.0)
    lowered = UsageLimit(per_s=100.0, burst=0.0, in_tokens=True)
    assert let_through(paces, 10, 0.0, lowered) <= LEAST_BUCKET_S * 50.0
