"""The expected remaining wait for a missing adapter."""

from __future__ import annotations

import pytest

from limeshelf.demand.adapter_waits import INITIAL_ESTIMATE_S, AdapterWaitEstimator
from limeshelf.demand.keys import ModelKey

KEY = ModelKey('lm', 'm1', 'a1')
OTHER = ModelKey('lm', 'm2', 'a7')


def miss_until_found(
    waits: AdapterWaitEstimator, key: ModelKey, begin_s: float, took_s: float
) -> None:
    """Miss *key* every 50 ms, as a waiting call does, until it is found."""
    for step in range(int(took_s / 0.05) + 1):
        waits.remaining_wait_s(key, begin_s + 0.05 * step)
    waits.record_found(key, begin_s + took_s)


def test_estimate_shrinks_while_the_adapter_is_missing() -> None:
    waits = AdapterWaitEstimator()
    assert waits.remaining_wait_s(KEY, 10.0) == INITIAL_ESTIMATE_S
    assert waits.remaining_wait_s(KEY, 10.05) == pytest.approx(INITIAL_ESTIMATE_S - 0.05)
    assert waits.remaining_wait_s(KEY, 10.2) == pytest.approx(INITIAL_ESTIMATE_S / 2)


def test_first_sample_replaces_the_initial_estimate_and_later_ones_are_averaged() -> None:
    waits = AdapterWaitEstimator()
    miss_until_found(waits, KEY, 10.0, 0.1)
    assert waits.remaining_wait_s(OTHER, 20.0) == pytest.approx(0.1)
    miss_until_found(waits, KEY, 30.0, 0.6)
    assert waits.remaining_wait_s(OTHER, 40.0) == pytest.approx(0.2)


def test_services_are_estimated_separately() -> None:
    waits = AdapterWaitEstimator()
    miss_until_found(waits, KEY, 10.0, 0.1)
    assert waits.remaining_wait_s(ModelKey('other', 'm1', 'a1'), 20.0) == INITIAL_ESTIMATE_S


def test_adapter_found_after_a_gap_without_lookups_gives_no_sample() -> None:
    waits = AdapterWaitEstimator()
    waits.remaining_wait_s(KEY, 10.0)
    waits.record_found(KEY, 14.0)
    waits.record_found(OTHER, 14.0)
    assert waits.remaining_wait_s(KEY, 20.0) == INITIAL_ESTIMATE_S
    # After a gap without calls the wait starts again.
    assert waits.remaining_wait_s(KEY, 25.0) == INITIAL_ESTIMATE_S
