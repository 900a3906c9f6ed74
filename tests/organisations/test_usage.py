"""Usage of a gateway: reserved while a call waits and counted once it is sent."""

from __future__ import annotations

from limeshelf.organisations.usage import LATE_ARRIVAL_S, UsageLedger, UsageWindow
from limeshelf.util.clock import virtual_clock

WINDOW_S = 8.0


def test_call_counts_while_it_waits_and_for_a_window_after_its_send() -> None:
    with virtual_clock() as clock:
        window = UsageWindow(WINDOW_S)
        call = window.reserve(100)
        clock.advance(20.0)
        assert window.used() == 100
        call.note_sent()
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
        call.note_sent()
        call.note_not_run()
        assert window.used() == 100
        call.note_sent()
        call.close()
        assert window.used() == 100
        clock.advance(WINDOW_S + 1.0)
        assert window.used() == 0


def test_call_that_ends_without_a_run_is_not_counted() -> None:
    window = UsageWindow(WINDOW_S)
    call = window.reserve(100)
    call.note_sent()
    call.note_not_run()
    call.close()
    assert window.used() == 0


def test_further_run_counts_again() -> None:
    window = UsageWindow(WINDOW_S)
    call = window.reserve(100)
    call.note_sent()
    call.note_sent()
    call.close()
    assert window.used() == 200


def test_report_contains_only_organisations_with_usage() -> None:
    with virtual_clock() as clock:
        ledger = UsageLedger(WINDOW_S)
        call = ledger.of('one').reserve(100)
        ledger.of('other')
        call.note_sent()
        call.close()
        assert ledger.report(holds_claims=False) == {'one': 100}
        clock.advance(WINDOW_S + 1.0)
        assert ledger.report(holds_claims=False) == {}


def test_reservation_outlives_the_window() -> None:
    with virtual_clock() as clock:
        ledger = UsageLedger(WINDOW_S)
        call = ledger.of('one').reserve(100)
        clock.advance(WINDOW_S + 1.0)
        assert ledger.report(holds_claims=False) == {'one': 100}
        call.note_sent()
        assert ledger.report(holds_claims=False) == {'one': 100}


def test_gateway_without_a_limiter_continues_at_its_previous_rate() -> None:
    """Guards against refusing all calls until the earlier usage has left the window."""
    with virtual_clock() as clock:
        ledger = UsageLedger(WINDOW_S)
        for _ in range(8):
            call = ledger.of('one').reserve(100)
            ledger.note_granted('one', 100)
            call.note_sent()
            call.close()
            clock.advance(1.0)
            ledger.report(holds_claims=False)
        assert not ledger.may_use('one', 100, own_part=50.0)
        for _ in range(5):
            clock.advance(1.0)
            ledger.report(holds_claims=True)
            assert ledger.may_use('one', 100, own_part=50.0)
            call = ledger.of('one').reserve(100)
            call.note_sent()
            call.close()
            assert ledger.report(holds_claims=True) == {'one': 800}


def test_allowance_falls_with_usage_while_a_limiter_answers() -> None:
    with virtual_clock() as clock:
        ledger = UsageLedger(WINDOW_S)
        call = ledger.of('one').reserve(100)
        ledger.note_granted('one', 100)
        call.note_sent()
        call.close()
        clock.advance(WINDOW_S + 1.0)
        assert ledger.report(holds_claims=False) == {}
        assert ledger.report(holds_claims=True) == {}
        assert not ledger.may_use('one', 100, own_part=50.0)
