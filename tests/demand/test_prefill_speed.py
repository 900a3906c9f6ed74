"""The estimated prefill speed of each model."""

from __future__ import annotations

import pytest

from limeshelf.demand.prefill_speed import FIRST_EVENT_OVERHEAD_MS, PrefillSpeed


def test_initial_estimate_without_samples() -> None:
    assert PrefillSpeed().prefill_ms('m', 1000) == pytest.approx(55.0)


def test_speed_follows_the_samples_of_its_model() -> None:
    speed = PrefillSpeed()
    for _ in range(60):
        speed.add_sample('m', 1000, 100.0 + FIRST_EVENT_OVERHEAD_MS)
    assert speed.prefill_ms('m', 1000) == pytest.approx(100.0, rel=0.01)
    assert speed.prefill_ms('other', 1000) == pytest.approx(55.0)


def test_one_sample_moves_the_estimate_by_its_weight() -> None:
    speed = PrefillSpeed()
    speed.add_sample('m', 1000, 105.0 + FIRST_EVENT_OVERHEAD_MS)
    assert speed.prefill_ms('m', 1000) == pytest.approx(55.0 + 0.2 * 50.0)


def test_short_prompts_give_no_sample() -> None:
    speed = PrefillSpeed()
    speed.add_sample('m', 249, 1000.0)
    assert speed.prefill_ms('m', 1000) == pytest.approx(55.0)


@pytest.mark.parametrize(('first_event_ms', 'expected_ms'), [(1e6, 400.0), (0.0, 2.0)])
def test_samples_are_clamped(first_event_ms: float, expected_ms: float) -> None:
    speed = PrefillSpeed()
    for _ in range(100):
        speed.add_sample('m', 1000, first_event_ms)
    assert speed.prefill_ms('m', 1000) == pytest.approx(expected_ms, rel=0.01)
