"""Usage of a gateway: reserved while a call waits and counted once it is sent."""

from __future__ import annotations

from limeshelf.organisations.usage import LATE_ARRIVAL_S, GatewayUsage, UsageWindow
from limeshelf.util.clock import virtual_clock

WINDOW_S = 8.0


def test_call_counts_while_it_waits_and_for_a_window_after_its_send() -> None:
    with virtual_clock() as clock:
        window = UsageWindow(WINDOW_S)
        call = window.reserve(100)
        clock.advance(20.0)
        assert window.used() == 100
        call.record_sent()
        call.close()
        clock.advance(WINDOW_S)
        assert window.used() == 100
        clock.advance(2 * LATE_ARRIVAL_S)
        assert window.used() == 0


def test_call_that_is_never_sent_releases_its_reservation() -> None:
    window = UsageWindow(WINDOW_S)
    call = window.reserve(100)
    call.close()
    call.close()
    assert window.used() == 0


def test_call_that_its_replica_did_not_run_counts_once() -> None:
    with virtual_clock() as clock:
        window = UsageWindow(WINDOW_S)
        call = window.reserve(100)
        call.record_sent()
        call.record_not_run()
        assert window.used() == 100
        call.record_sent()
        call.close()
        assert window.used() == 100
        clock.advance(WINDOW_S + 1.0)
        assert window.used() == 0


def test_call_that_ends_without_a_run_is_not_counted() -> None:
    window = UsageWindow(WINDOW_S)
    call = window.reserve(100)
    call.record_sent()
    call.record_not_run()
    call.close()
    assert window.used() == 0


def test_further_run_counts_again() -> None:
    window = UsageWindow(WINDOW_S)
    call = window.reserve(100)
    call.record_sent()
    call.record_sent()
    call.close()
    assert window.used() == 200


def test_report_contains_only_organisations_with_usage() -> None:
    with virtual_clock() as clock:
        usage = GatewayUsage(WINDOW_S)
        call = usage.window_of('one').reserve(100)
        usage.window_of('other')
        call.record_sent()
        call.close()
        assert usage.report(keeps_previous=False) == {'one': 100}
        clock.advance(WINDOW_S + 1.0)
        assert usage.report(keeps_previous=False) == {}


def test_reservation_outlives_the_window() -> None:
    with virtual_clock() as clock:
        usage = GatewayUsage(WINDOW_S)
        call = usage.window_of('one').reserve(100)
        clock.advance(WINDOW_S + 1.0)
        assert usage.report(keeps_previous=False) == {'one': 100}
        call.record_sent()
        assert usage.report(keeps_previous=False) == {'one': 100}


def test_gateway_without_a_limiter_continues_at_its_previous_rate() -> None:
    """Guards against refusing all calls until the earlier usage has left the window."""
    with virtual_clock() as clock:
        usage = GatewayUsage(WINDOW_S)
        for _ in range(8):
            call = usage.window_of('one').reserve(100)
            usage.record_grant('one', 100)
            call.record_sent()
            call.close()
            clock.advance(1.0)
            usage.report(keeps_previous=False)
        assert not usage.may_use_without_limiter('one', 100, own_quota=50.0)
        for _ in range(5):
            clock.advance(1.0)
            usage.report(keeps_previous=True)
            assert usage.may_use_without_limiter('one', 100, own_quota=50.0)
            call = usage.window_of('one').reserve(100)
            call.record_sent()
            call.close()
            assert usage.report(keeps_previous=True) == {'one': 800}


def test_allowance_falls_with_usage_while_a_limiter_answers() -> None:
    with virtual_clock() as clock:
        usage = GatewayUsage(WINDOW_S)
        call = usage.window_of('one').reserve(100)
        usage.record_grant('one', 100)
        call.record_sent()
        call.close()
        clock.advance(WINDOW_S + 1.0)
        assert usage.report(keeps_previous=False) == {}
        assert usage.report(keeps_previous=True) == {}
        assert not usage.may_use_without_limiter('one', 100, own_quota=50.0)
