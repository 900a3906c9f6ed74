"""Statistics of unserved models and adapters."""

from __future__ import annotations

import pytest

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.meter import UNSERVED_EXPIRY_S
from limeshelf.demand.totals import DemandTotals
from limeshelf.demand.unserved import LONG_UNSERVED_S, UnservedKind, UnservedStats, unserved_stats
from limeshelf.util.clock import boottime_s, virtual_clock

MODEL = ModelKey('lm', 'm')
ADAPTER = ModelKey('lm', 'm', 'a1')
OTHER = ModelKey('lm', 'm', 'a2')


def stats_by_kind(totals: DemandTotals) -> dict[UnservedKind, UnservedStats]:
    return {kind: unserved_stats(kind, totals.latest(), boottime_s()) for kind in UnservedKind}


def test_no_requests_give_empty_statistics() -> None:
    assert set(stats_by_kind(DemandTotals()).values()) == {UnservedStats()}


def test_model_counts_once_for_all_its_adapters() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.record_missing(ADAPTER)
        clock.advance(LONG_UNSERVED_S - 2.0)
        totals.record_missing(OTHER)
        clock.advance(4.0)
        found = stats_by_kind(totals)
        assert found[UnservedKind.MODEL].keys == 1
        assert found[UnservedKind.ADAPTER].keys == 1
        for one in found.values():
            assert one.longest_s == pytest.approx(LONG_UNSERVED_S + 2.0)


def test_unserved_time_counts_as_long_above_ten_seconds() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.record_missing(MODEL)
        clock.advance(LONG_UNSERVED_S - 0.1)
        assert stats_by_kind(totals)[UnservedKind.MODEL].keys == 0
        clock.advance(0.2)
        assert stats_by_kind(totals)[UnservedKind.MODEL].keys == 1


def test_request_without_adapter_counts_for_no_adapter() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.record_missing(MODEL)
        clock.advance(LONG_UNSERVED_S + 1.0)
        assert stats_by_kind(totals)[UnservedKind.ADAPTER] == UnservedStats()


def test_answer_for_one_adapter_serves_the_model_but_no_other_adapter() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.add_counters('g', [KeyDemand(ADAPTER, started=1, unserved_ms=0)])
        totals.record_missing(ADAPTER)
        totals.record_missing(OTHER)
        clock.advance(LONG_UNSERVED_S + 1.0)
        totals.add_counters('g', [KeyDemand(ADAPTER, started=1, served_ago_ms=0)])
        found = stats_by_kind(totals)
        assert found[UnservedKind.MODEL] == UnservedStats()
        assert found[UnservedKind.ADAPTER].keys == 1


def test_models_of_the_same_name_in_two_services_count_separately() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.record_missing(MODEL)
        totals.record_missing(ModelKey('lm2', 'm'))
        clock.advance(LONG_UNSERVED_S + 1.0)
        assert stats_by_kind(totals)[UnservedKind.MODEL].keys == 2


def test_unserved_keys_expire_without_requests() -> None:
    with virtual_clock() as clock:
        totals = DemandTotals()
        totals.record_missing(ADAPTER)
        clock.advance(UNSERVED_EXPIRY_S + 0.1)
        assert set(stats_by_kind(totals).values()) == {UnservedStats()}
