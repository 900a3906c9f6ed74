"""Calls of an organisation above its limit are admitted at an even rate, not all at once."""

from __future__ import annotations

import pytest

from limeshelf.organisations.limits import USED_SHARE, LimitRule
from limeshelf.organisations.organisation import UsageLimit
from limeshelf.organisations.token_buckets import MIN_BUCKET_CALLS, MIN_BUCKET_S, TokenBuckets

RULE = LimitRule(window_s=8.0, overrun=0.0, slack=0.0, centres=2)
LIMIT = UsageLimit(per_s=1000.0, burst=4000.0, in_tokens=True)
PER_S = USED_SHARE * 500.0
CAPACITY = USED_SHARE * 2000.0


def admit_until_refused(
    buckets: TokenBuckets, amount: int, now_s: float, limit: UsageLimit = LIMIT
) -> int:
    total = 0
    while not buckets.wait_s('acme', limit, amount, now_s):
        buckets.deduct('acme', amount)
        total += amount
    return total


def test_burst_is_admitted_at_once_and_then_the_rate() -> None:
    buckets = TokenBuckets(RULE)
    assert admit_until_refused(buckets, 10, 0.0) == pytest.approx(CAPACITY, abs=10)
    assert admit_until_refused(buckets, 10, 1.0) == pytest.approx(PER_S, abs=10)
    assert admit_until_refused(buckets, 10, 9.0) == pytest.approx(CAPACITY, abs=10)


def test_call_is_admitted_after_the_stated_wait() -> None:
    buckets = TokenBuckets(RULE)
    admit_until_refused(buckets, 10, 0.0)
    wait_s = buckets.wait_s('acme', LIMIT, 400, 0.0)
    assert 0.5 < wait_s < 1.0
    assert buckets.wait_s('acme', LIMIT, 400, wait_s - 0.01) > 0
    assert buckets.wait_s('acme', LIMIT, 400, wait_s + 0.01) == 0


def test_limit_without_a_burst_still_admits_clustered_calls() -> None:
    limit = UsageLimit(per_s=1000.0, burst=0.0, in_tokens=True)
    expected = MIN_BUCKET_S * PER_S
    assert admit_until_refused(TokenBuckets(RULE), 10, 0.0, limit) == pytest.approx(
        expected, abs=10
    )


def test_bucket_holds_several_of_the_largest_calls_whatever_the_limit() -> None:
    buckets = TokenBuckets(RULE)
    assert admit_until_refused(buckets, 5000, 0.0) == MIN_BUCKET_CALLS * 5000
    assert buckets.wait_s('acme', LIMIT, 5000, 1.0) > 9.0
    assert buckets.wait_s('acme', LIMIT, 10, 0.0) > 0


def test_lowered_limit_reduces_the_level() -> None:
    buckets = TokenBuckets(RULE)
    buckets.wait_s('acme', LIMIT, 10, 0.0)
    lowered = UsageLimit(per_s=100.0, burst=0.0, in_tokens=True)
    assert admit_until_refused(buckets, 10, 0.0, lowered) <= MIN_BUCKET_S * 50.0
