"""When an adapter whose moves failed is ordered again."""

from __future__ import annotations

from limeshelf.demand.keys import ModelKey
from limeshelf.placement.adapter_backoff import INITIAL_BACKOFF_S, MAX_BACKOFF_S, AdapterBackoff
from limeshelf.util.clock import virtual_clock

KEY = ModelKey('lm', 'm1', 'a1')


def test_pause_doubles_with_each_failure_and_ends_with_success() -> None:
    with virtual_clock() as clock:
        retries = AdapterBackoff()
        assert retries.may_try(KEY)
        for failures in range(3):
            retries.record_result(KEY, succeeded=False)
            pause_s = INITIAL_BACKOFF_S * 2**failures
            clock.advance(pause_s - 0.01)
            assert not retries.may_try(KEY)
            clock.advance(0.02)
            assert retries.may_try(KEY)
        retries.record_result(KEY, succeeded=True)
        retries.record_result(KEY, succeeded=False)
        clock.advance(INITIAL_BACKOFF_S)
        assert retries.may_try(KEY)


def test_pause_has_a_limit() -> None:
    with virtual_clock() as clock:
        retries = AdapterBackoff()
        for _ in range(2000):
            retries.record_result(KEY, succeeded=False)
        clock.advance(MAX_BACKOFF_S)
        assert retries.may_try(KEY)
