"""The averaged demand over all gateways."""

from __future__ import annotations

import pytest

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.meter import UNSERVED_EXPIRY_S
from limeshelf.demand.totals import RETRY_WINDOW_S, DemandTotals
from limeshelf.util.clock import boottime_s, virtual_clock

KEY = ModelKey('lm', 'm1')


def test_shortest_objective_of_all_gateways_is_known() -> None:
    """Guards against dropping the objective of a digest: no idle model was ever unloaded."""
    totals = DemandTotals()
    totals.add_counters('g-1', [KeyDemand(KEY, started=1, running=1, objective_ms=6000)])
    totals.add_counters('g-2', [KeyDemand(KEY, started=1, running=1, objective_ms=1000)])
    assert totals.update_averages()[KEY].objective_s == 1.0


def test_rates_follow_the_calls_that_began() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('g-1', [KeyDemand(KEY)])
        started = 0
        for _ in range(100):
            clock.advance(0.25)
            started += 5
            totals.add_counters('g-1', [KeyDemand(KEY, started=started, tokens=100 * started)])
            demand = totals.update_averages()[KEY]
        assert demand.calls_per_s == pytest.approx(20.0, rel=0.01)
        assert demand.tokens_per_s == pytest.approx(2000.0, rel=0.01)
        assert demand.long_term_calls_per_s == pytest.approx(20.0, rel=0.1)


def test_many_calls_before_the_first_message_of_a_gateway_are_not_counted() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        clock.advance(1.0)
        totals.add_counters('g-1', [KeyDemand(KEY, started=500)])
        totals.add_counters('g-2', [KeyDemand(KEY, started=3)])
        assert totals.update_averages()[KEY].calls_per_s == pytest.approx(3.0 / 1.0)


def test_restart_of_a_gateway_does_not_lower_the_rate() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('g-1', [KeyDemand(KEY, started=3)])
        totals.update_averages()
        clock.advance(1.0)
        before = totals.update_averages()[KEY].calls_per_s
        totals.add_counters('g-1', [KeyDemand(KEY, started=0)])
        clock.advance(1.0)
        assert 0.0 <= totals.update_averages()[KEY].calls_per_s <= before


def test_running_calls_of_a_silent_gateway_expire() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('g-1', [KeyDemand(KEY, running=2)])
        clock.advance(1.0)
        totals.add_counters('g-2', [KeyDemand(KEY, running=3)])
        assert totals.update_averages()[KEY].running == 5.0
        clock.advance(2.0)
        assert totals.update_averages()[KEY].running == 3.0


def waiting(unserved_s: float, started: int = 1, served_ago_s: float | None = None) -> KeyDemand:
    """Return the counters of a gateway for a key with an unserved call."""
    served_ago_ms = None if served_ago_s is None else int(1000 * served_ago_s)
    return KeyDemand(
        KEY, started=started, served_ago_ms=served_ago_ms, unserved_ms=int(1000 * unserved_s)
    )


def served(ago_s: float = 0.0, started: int = 1) -> KeyDemand:
    """Return the counters of a gateway for a key whose last call was served."""
    return KeyDemand(KEY, started=started, served_ago_ms=int(1000 * ago_s))


def test_key_is_unserved_until_the_first_call_is_served() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('g-1', [waiting(0.0)])
        clock.advance(5.0)
        totals.add_counters('g-2', [waiting(0.0)])
        key = totals.latest()[KEY]
        assert key.unserved_s(boottime_s()) == pytest.approx(5.0)
        assert key.may_be_retried(boottime_s())
        totals.add_counters('g-2', [served(started=2)])
        assert key.unserved_s(boottime_s()) == 0.0
        # The call at the first gateway was refused before that; its next call begins below.
        totals.add_counters('g-1', [waiting(5.0)])
        assert key.unserved_s(boottime_s()) == 0.0
        clock.advance(1.0)
        totals.add_counters('g-1', [waiting(6.0, started=2)])
        clock.advance(2.0)
        assert key.unserved_s(boottime_s()) == pytest.approx(2.0)


def test_one_message_carries_the_whole_unserved_time() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('g-1', [waiting(17.0)])
        assert totals.latest()[KEY].unserved_s(boottime_s()) == pytest.approx(17.0)
        clock.advance(3.0)
        totals.add_counters('g-1', [waiting(20.0)])
        assert totals.latest()[KEY].unserved_s(boottime_s()) == pytest.approx(20.0)


def test_sum_from_another_relay_neither_ends_nor_restarts_the_unserved_period() -> None:
    """Guards against counting all calls in the first sum of another relay as served just now."""
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('relay-1', [waiting(0.0)])
        clock.advance(15.0)
        totals.add_counters('relay-2', [])
        totals.add_counters('relay-2', [waiting(15.0, started=50, served_ago_s=60.0)])
        assert totals.latest()[KEY].unserved_s(boottime_s()) == pytest.approx(15.0)


def test_unserved_period_expires_without_requests() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.record_missing(KEY)
        key = totals.latest()[KEY]
        clock.advance(RETRY_WINDOW_S + 0.1)
        assert not key.may_be_retried(boottime_s())
        assert key.unserved_s(boottime_s()) > RETRY_WINDOW_S
        clock.advance(UNSERVED_EXPIRY_S)
        assert key.unserved_s(boottime_s()) == 0.0
        totals.record_missing(KEY)
        clock.advance(1.0)
        assert key.unserved_s(boottime_s()) == pytest.approx(1.0)


def test_gateway_that_sends_no_ages_adds_no_unserved_time() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('old', [KeyDemand(KEY, started=1)])
        clock.advance(5.0)
        totals.add_counters('old', [KeyDemand(KEY, started=2)])
        assert totals.latest()[KEY].unserved_s(boottime_s()) == 0.0


@pytest.mark.parametrize('ages', [(-5, -5), (10**12, 10**12), (0, None), (None, 10**12)])
def test_implausible_ages_are_tolerated(ages: tuple[int | None, int | None]) -> None:
    with virtual_clock():
        totals = DemandTotals()
        demand = KeyDemand(KEY, started=1, served_ago_ms=ages[0], unserved_ms=ages[1])
        totals.add_counters('odd', [demand])
        assert totals.update_averages()[KEY].unserved_s(boottime_s()) >= 0.0
