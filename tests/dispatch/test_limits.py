"""How much a replica may read, and hold, at once."""

from __future__ import annotations

import pytest

from limeshelf.dispatch.limits import Occupancy, ReadingWindow


def test_window_leaves_the_steps_of_an_event_their_part_of_the_pause() -> None:
    window = ReadingWindow.from_pause(pause_ms=300, steps_per_event=2, granted_share=1.0)
    assert window.span_s == pytest.approx(0.345)
    assert window.limit_ms == pytest.approx(0.84 * (300 - 2 * 12))


def test_part_of_the_reading_is_a_part_of_the_limit() -> None:
    whole = ReadingWindow.from_pause(300, 2, 1.0)
    part = ReadingWindow.from_pause(300, 2, 0.4)
    assert part.limit_ms == pytest.approx(0.4 * whole.limit_ms)
    assert part.span_s == whole.span_s


def test_steps_longer_than_the_pause_leave_nothing_to_read() -> None:
    assert ReadingWindow.from_pause(20, 2, 1.0).limit_ms == 0.0


def test_prompts_share_the_limit() -> None:
    window = ReadingWindow(0.3, 200.0)
    assert window.admits(granted_ms=100.0, read_ms=100.0)
    assert not window.admits(granted_ms=100.0, read_ms=101.0)


def test_prompt_beyond_the_limit_is_read_where_nothing_else_is() -> None:
    window = ReadingWindow(0.3, 200.0)
    assert window.admits(granted_ms=0.0, read_ms=500.0)
    assert not window.admits(granted_ms=1.0, read_ms=500.0)


def test_slots_bound_the_calls() -> None:
    assert Occupancy(calls=3, tokens=0, slots=4, memory_tokens=1000).admits(100)
    assert not Occupancy(calls=4, tokens=0, slots=4, memory_tokens=1000).admits(100)


def test_memory_bounds_the_calls_but_for_a_lone_one() -> None:
    assert Occupancy(calls=1, tokens=800, slots=4, memory_tokens=1000).admits(100)
    assert not Occupancy(calls=1, tokens=800, slots=4, memory_tokens=1000).admits(101)
    assert Occupancy(calls=0, tokens=0, slots=4, memory_tokens=1000).admits(5000)
