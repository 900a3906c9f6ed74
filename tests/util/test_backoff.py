"""Bounds of random delays and of jittered periods."""

from __future__ import annotations

import pytest

from limeshelf.util.backoff import equal_jitter_s, full_jitter_s, jittered_s


@pytest.mark.parametrize(
    ('attempt', 'bound_s'), [(0, 0.1), (1, 0.2), (3, 0.8), (5, 2.0), (10_000, 2.0)]
)
def test_delay_stays_below_the_doubled_bound(attempt: int, bound_s: float) -> None:
    delays_s = [full_jitter_s(attempt, base_s=0.1, limit_s=2.0) for _ in range(500)]
    assert 0.0 <= min(delays_s) < 0.2 * bound_s
    assert 0.8 * bound_s < max(delays_s) <= bound_s


def test_equal_jitter_leaves_half_of_the_bound() -> None:
    delays_s = [equal_jitter_s(3, base_s=0.1, limit_s=2.0) for _ in range(500)]
    assert 0.4 <= min(delays_s) < 0.45 and 0.75 < max(delays_s) <= 0.8


def test_period_varies_by_a_tenth() -> None:
    periods_s = [jittered_s(10.0) for _ in range(500)]
    assert 9.0 <= min(periods_s) < 9.5 and 10.5 < max(periods_s) <= 11.0
