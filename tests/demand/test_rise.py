"""Benchmark: demand that rises evenly, as it is foreseen, and steady demand at its begin.

A model gets 10 calls a second and from some moment on more, up to 36 after 8 s; a load takes
9 s. Foreseen 4 s after that moment, as a share of what is asked for when a load is done: 0.53
before (0.6 of the difference, up to half more, whatever a load takes), 0.64 now. Steady
demand five seconds after the first call counted as 1.18 of what it was (both averages began at
zero, the longer one slower), as 1.00 now.
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


def asked_per_s(since_s: float) -> float:
    """Return the calls a second, some time after the rise began (below zero: before it)."""
    return 10.0 + 26.0 * min(1.0, max(0.0, since_s / RISE_S))


def foreseen_per_s(before_s: float, after_s: float) -> float:
    """Return what is foreseen after the rise has begun; there were calls for *before_s*."""
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.take('g-1', [KeyDemand(KEY)])
        started = 0.0
        for step in range(int((before_s + after_s) / STEP_S)):
            started += STEP_S * asked_per_s(step * STEP_S - before_s)
            clock.advance(STEP_S)
            totals.take('g-1', [KeyDemand(KEY, started=int(started))])
            found = totals.step()[KEY]
        factor = rise_factor(found.calls_per_s, found.lasting_calls_per_s, LOAD_S)
        return factor * found.calls_per_s


def test_rise_is_foreseen() -> None:
    expected = asked_per_s(4.0 + LOAD_S)
    assert foreseen_per_s(30.0, 4.0) / expected == pytest.approx(0.64, abs=0.03)


def test_steady_demand_is_not_taken_for_a_rise_at_its_begin() -> None:
    assert foreseen_per_s(5.0, 0.0) / 10.0 == pytest.approx(1.0, abs=0.03)
