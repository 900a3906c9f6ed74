"""The demand counters of a data centre, summed over its gateways."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limeshelf.demand.centre_demand import CentreDemand
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.meter import RECENT_REQUEST_S
from limeshelf.demand.totals import DemandTotals, KeyTotals
from limeshelf.util.clock import virtual_clock

KEYS = [ModelKey('lm', 'm1'), ModelKey('lm', 'm1', 'a1'), ModelKey('lm', 'm2')]
STEPS = st.lists(
    st.tuples(
        st.integers(0, 3), st.integers(0, 2), st.integers(1, 4), st.booleans(), st.booleans()
    ),
    max_size=60,
)


@given(STEPS)
def test_rates_are_the_same_by_sums_as_by_single_counts(
    steps: list[tuple[int, int, int, bool, bool]],
) -> None:
    """Random gateways start calls for random keys; some gateways restart."""
    with virtual_clock() as clock:
        single, summed = DemandTotals(), DemandTotals()
        centre = CentreDemand()
        counts = [{key: KeyDemand(key) for key in KEYS} for _ in range(4)]
        _send_counts(single, summed, centre, counts)
        for gateway, key, calls, is_served, restarts in steps:
            clock.advance(0.25)
            _advance_ages(counts, 250)
            if restarts:
                counts[gateway] = {key: KeyDemand(key) for key in KEYS}
            demand = counts[gateway][KEYS[key]]
            demand.started += calls
            demand.wanted += calls
            demand.running = calls
            if is_served:
                demand.served_ago_ms, demand.unserved_ms = 0, None
            elif demand.unserved_ms is None:
                demand.unserved_ms = 0
            _send_counts(single, summed, centre, counts)
            from_sums, from_counts = summed.update_averages(), single.update_averages()
            for one, expected in from_counts.items():
                found = from_sums.get(one, KeyTotals())
                assert abs(found.calls_per_s - expected.calls_per_s) < 1e-6
                assert found.last_missing_s == expected.last_missing_s
                assert found.running == expected.running
                assert found.serving_state.served_s == pytest.approx(
                    expected.serving_state.served_s
                )
                assert found.serving_state.unserved_since_s == pytest.approx(
                    expected.serving_state.unserved_since_s
                )


def _advance_ages(counts: list[dict[ModelKey, KeyDemand]], passed_ms: int) -> None:
    for demand in (demand for one in counts for demand in one.values()):
        if demand.served_ago_ms is not None:
            demand.served_ago_ms += passed_ms
        if demand.unserved_ms is not None:
            demand.unserved_ms += passed_ms


def _send_counts(
    single: DemandTotals,
    summed: DemandTotals,
    centre: CentreDemand,
    counts: list[dict[ModelKey, KeyDemand]],
) -> None:
    """Send copies of all counters, once by gateway and once as the sums of the data centre."""
    sent = [[_copy(demand) for demand in one.values()] for one in counts]
    for number, demands in enumerate(sent):
        single.add_counters(f'g-{number}', demands)
        centre.add_counters(f'g-{number}', demands)
    summed.add_counters('centre', [_copy(demand) for demand in centre.recent(sent)])


def _copy(demand: KeyDemand) -> KeyDemand:
    return KeyDemand(
        demand.key,
        demand.started,
        demand.running,
        demand.wanted,
        demand.objective_ms,
        served_ago_ms=demand.served_ago_ms,
        unserved_ms=demand.unserved_ms,
    )


def test_keys_without_recent_requests_are_left_out() -> None:
    with virtual_clock() as clock:
        centre = CentreDemand()
        centre.add_counters('g-1', [KeyDemand(KEYS[0], started=1)])
        assert len(centre.recent([])) == 1
        clock.advance(RECENT_REQUEST_S + 0.1)
        centre.add_counters('g-1', [KeyDemand(KEYS[0], started=1)])
        assert centre.recent([]) == []
