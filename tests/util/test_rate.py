"""A rate of actions, with a burst of one second's worth."""

from __future__ import annotations

from limeshelf.util.rate import TokenBucket
from tests.support.clock import fake_time


def taken(bucket: TokenBucket, tries: int = 100) -> int:
    return sum(bucket.try_take() for _ in range(tries))


def test_burst_is_one_seconds_worth_however_long_it_rested() -> None:
    with fake_time() as clock:
        bucket = TokenBucket(rate_per_s=4.0)
        assert taken(bucket) == 1
        clock.advance(0.5)
        assert taken(bucket) == 2
        clock.advance(60.0)
        assert taken(bucket) == 4


def test_rate_below_one_a_second_saves_up_one() -> None:
    with fake_time() as clock:
        bucket = TokenBucket(rate_per_s=0.5)
        assert taken(bucket) == 1
        clock.advance(1.9)
        assert taken(bucket) == 0
        clock.advance(60.0)
        assert taken(bucket) == 1
