"""Bounds of the offset between the store's clock and this machine's boot clock."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from limeshelf.feeds.store_clock import StoreClock

#: The store's clock minus the machine's clock.
AHEAD_S = 5000.0
TIMES_S = st.floats(0.0, 2.0)


@given(st.lists(st.tuples(TIMES_S, TIMES_S, TIMES_S), min_size=1, max_size=10))
def test_estimate_is_late_by_the_shortest_latency_at_most(
    calls: list[tuple[float, float, float]],
) -> None:
    """Each call has a latency, is held by the store, and its answer has a latency."""
    clock = StoreClock()
    now_s = 100.0
    shortest_s = 2.0
    for call_latency_s, held_s, answer_latency_s in calls:
        requested_s = now_s
        actual_s = requested_s + call_latency_s + held_s
        now_s = actual_s + answer_latency_s
        shortest_s = min(shortest_s, answer_latency_s)
        estimated_s = clock.estimate_answer_s(requested_s, now_s, actual_s + AHEAD_S)
        assert requested_s <= estimated_s <= now_s
        assert estimated_s <= actual_s + shortest_s + 1e-6


def test_held_call_counts_from_its_answer() -> None:
    clock = StoreClock()
    clock.estimate_answer_s(100.0, 100.01, 5100.005)
    assert clock.estimate_answer_s(101.0, 101.71, 5101.705) > 101.70


def test_later_era_resets_the_offset() -> None:
    """The store's clock may be reset; with the old offset, confirmations would seem too new."""
    clock = StoreClock()
    clock.advance_era(1)
    clock.record_answer(100.0, 5100.0)
    assert clock.era_changed_s == -math.inf
    clock.advance_era(2)
    assert not clock.is_known
    assert clock.era_changed_s > 0.0
    clock.record_answer(101.0, 90_000.0)
    clock.advance_era(2)
    assert clock.offset_lower_bound_s == 101.0 - 90_000.0
    clock.advance_era(1)
    assert clock.era == 2
