"""Limits on the prefill time and the memory that calls may use on a replica at once."""

from __future__ import annotations

import pytest

from limeshelf.dispatch.limits import Occupancy, PrefillWindow


def test_window_limit_subtracts_decode_steps_from_the_pause() -> None:
    window = PrefillWindow.from_pause(pause_ms=300, steps_per_event=2, granted_share=1.0)
    assert window.span_s == pytest.approx(0.345)
    assert window.limit_ms == pytest.approx(0.84 * (300 - 2 * 12))


def test_limit_scales_with_the_granted_share() -> None:
    whole = PrefillWindow.from_pause(300, 2, 1.0)
    part = PrefillWindow.from_pause(300, 2, 0.4)
    assert part.limit_ms == pytest.approx(0.4 * whole.limit_ms)
    assert part.span_s == whole.span_s


def test_steps_longer_than_the_pause_leave_no_prefill_time() -> None:
    assert PrefillWindow.from_pause(20, 2, 1.0).limit_ms == 0.0


def test_prompts_share_the_limit() -> None:
    window = PrefillWindow(0.3, 200.0)
    assert window.admits(granted_prefill_ms=100.0, prefill_ms=100.0)
    assert not window.admits(granted_prefill_ms=100.0, prefill_ms=101.0)


def test_prompt_above_the_limit_needs_an_empty_window() -> None:
    window = PrefillWindow(0.3, 200.0)
    assert window.admits(granted_prefill_ms=0.0, prefill_ms=500.0)
    assert not window.admits(granted_prefill_ms=1.0, prefill_ms=500.0)


def test_slots_limit_the_calls() -> None:
    assert Occupancy(calls=3, tokens=0, slots=4, memory_tokens=1000).admits(100)
    assert not Occupancy(calls=4, tokens=0, slots=4, memory_tokens=1000).admits(100)


def test_memory_limits_the_calls_except_a_single_one() -> None:
    assert Occupancy(calls=1, tokens=800, slots=4, memory_tokens=1000).admits(100)
    assert not Occupancy(calls=1, tokens=800, slots=4, memory_tokens=1000).admits(101)
    assert Occupancy(calls=0, tokens=0, slots=4, memory_tokens=1000).admits(5000)
