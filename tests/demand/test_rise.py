"""Benchmark: extrapolation of a linear rise in demand, and of steady demand after its start.

A model gets 10 calls/s; then the rate rises linearly to 36 calls/s within 8 s. A load takes 9 s.
The prediction 4 s into the rise is 0.64 of the rate at the end of a load. Adding 0.6 of the
difference of the averages, at most half of the demand, whatever the load time, gives 0.53.
Steady demand, 5 s after the first call, is predicted at 1.00 of its rate. With averages that both
start at zero, of which the long-term one lags, it would be 1.18.
"""

from __future__ import annotations

import pytest

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.model_demand import rise_factor
from limeshelf.demand.totals import DemandTotals
from limeshelf.util.clock import virtual_clock

KEY = ModelKey('lm', 'm')
STEP_S = 0.25
LOAD_S = 9.0
RISE_S = 8.0


def rate_per_s(since_s: float) -> float:
    """Return the calls per second at a time after the rise began (negative: before it)."""
    return 10.0 + 26.0 * min(1.0, max(0.0, since_s / RISE_S))


def predicted_per_s(before_s: float, after_s: float) -> float:
    """Return the prediction *after_s* into the rise, after *before_s* of steady calls."""
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('g-1', [KeyDemand(KEY)])
        started = 0.0
        for step in range(int((before_s + after_s) / STEP_S)):
            started += STEP_S * rate_per_s(step * STEP_S - before_s)
            clock.advance(STEP_S)
            totals.add_counters('g-1', [KeyDemand(KEY, started=int(started))])
            found = totals.update_averages()[KEY]
        factor = rise_factor(found.calls_per_s, found.long_term_calls_per_s, LOAD_S)
        return factor * found.calls_per_s


def test_rise_is_predicted() -> None:
    expected = rate_per_s(4.0 + LOAD_S)
    assert predicted_per_s(30.0, 4.0) / expected == pytest.approx(0.64, abs=0.03)


def test_steady_demand_is_not_predicted_to_rise_after_its_start() -> None:
    assert predicted_per_s(5.0, 0.0) / 10.0 == pytest.approx(1.0, abs=0.03)
