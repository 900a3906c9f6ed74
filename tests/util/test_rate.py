"""A token bucket limits the rate, with the burst of one second."""

from __future__ import annotations

from limeshelf.util.rate import TokenBucket
from tests.support.clock import fake_time


def take_tokens(bucket: TokenBucket, tries: int = 100) -> int:
    return sum(bucket.try_take() for _ in range(tries))


def test_burst_is_one_second_of_the_rate_after_any_pause() -> None:
    with fake_time() as clock:
        bucket = TokenBucket(rate_per_s=4.0)
        assert take_tokens(bucket) == 1
        clock.advance(0.5)
        assert take_tokens(bucket) == 2
        clock.advance(60.0)
        assert take_tokens(bucket) == 4


def test_rate_below_one_a_second_allows_one_action_at_once() -> None:
    with fake_time() as clock:
        bucket = TokenBucket(rate_per_s=0.5)
        assert take_tokens(bucket) == 1
        clock.advance(1.9)
        assert take_tokens(bucket) == 0
        clock.advance(60.0)
        assert take_tokens(bucket) == 1
