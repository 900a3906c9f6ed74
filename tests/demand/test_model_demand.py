"""How many replicas the demand for a model occupies."""

from __future__ import annotations

import functools

import pytest

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.keys import ModelKey
from limeshelf.demand.model_demand import _model_demand, demand_by_model, rise_factor
from limeshelf.demand.totals import KeyTotals
from limeshelf.util.clock import boottime_s

ADAPTERS = frozenset({'a1', 'a2'})
ENGINE = EngineSpec(
    8, 10000, 160.0, 4, 2.0, {'hot': ModelSpec('hot', 70.0, 5.0, 1.0, ADAPTERS, 1.0)}
)


def prefill_ms(model: str, tokens: float) -> float:
    return 0.055 * tokens


def test_demand_sums_the_keys_of_a_model() -> None:
    now_s = boottime_s()
    totals = {
        ModelKey('lm', 'hot'): KeyTotals(
            calls_per_s=2.0,
            long_term_calls_per_s=2.0,
            tokens_per_s=2000.0,
            running=3.0,
            last_requested_s=now_s,
            objective_s=6.0,
        ),
        ModelKey('lm', 'hot', 'a1'): KeyTotals(
            calls_per_s=1.0,
            long_term_calls_per_s=1.0,
            tokens_per_s=1000.0,
            running=1.0,
            last_requested_s=now_s,
            objective_s=1.0,
        ),
        ModelKey('lm', 'hot', 'a2'): KeyTotals(last_requested_s=now_s - 60.0),
        ModelKey('lm2', 'hot'): KeyTotals(calls_per_s=50.0),
    }
    hot = demand_by_model('lm', ENGINE, totals, prefill_ms)['hot']
    assert (hot.calls_per_s, hot.running, hot.objective_s) == (3.0, 4.0, 1.0)
    assert hot.adapters == 1
    assert hot.busy_replicas == pytest.approx(max(3000 * 0.055 / 1000 / 0.5, 4 / 6.4))


def test_rising_demand_is_extrapolated_to_the_end_of_a_load() -> None:
    def replicas(long_term_rate: float) -> float:
        hot = KeyTotals(
            calls_per_s=10.0, long_term_calls_per_s=long_term_rate, tokens_per_s=10000.0
        )
        demands = demand_by_model('lm', ENGINE, {ModelKey('lm', 'hot'): hot}, prefill_ms)
        return demands['hot'].busy_replicas

    assert replicas(10.0) == pytest.approx(1.1)
    assert replicas(12.0) == pytest.approx(1.1)
    # Load time 5 s: the averages differ by the rise over 7.5 s, extrapolated over 7.5 s.
    assert replicas(5.0) == pytest.approx(1.1 * 1.5)
    assert replicas(0.0) == pytest.approx(1.1 * 2.0)


@pytest.mark.parametrize(
    ('calls_per_s', 'long_term_calls_per_s', 'lead_s', 'factor'),
    [
        (0.0, 5.0, 9.0, 1.0),
        (10.0, 12.0, 9.0, 1.0),
        (10.0, 7.0, 2.0, 1.18),
        (10.0, 7.0, 9.0, 1.46),
        (10.0, 0.0, 9.0, 2.0),
    ],
)
def test_rise_is_extrapolated_over_the_load_time_up_to_a_factor_of_two(
    calls_per_s: float, long_term_calls_per_s: float, lead_s: float, factor: float
) -> None:
    found = rise_factor(calls_per_s, long_term_calls_per_s, lead_s)
    assert found == pytest.approx(factor)


def test_model_without_calls_has_no_demand() -> None:
    demands = demand_by_model('lm', ENGINE, {}, prefill_ms)
    computed = _model_demand(
        [], ENGINE, ENGINE.models['hot'], functools.partial(prefill_ms, 'hot')
    )
    assert demands == {name: computed for name in ENGINE.models}
