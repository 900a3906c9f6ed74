"""Refusal of queued requests, and the estimated wait."""

from __future__ import annotations

import attrs
import pytest

from limeshelf.dispatch.refusal import QueuePosition, estimate_wait

POSITION = QueuePosition(
    queued_prefill_ms=650.0, holders=1, objective_ms=1000, left_ms=5000, is_caller_retry=False
)


def test_wait_accounts_for_the_prefill_duty() -> None:
    assert estimate_wait(POSITION).expected_ms == pytest.approx(1000.0)


def test_holders_share_the_queue() -> None:
    assert estimate_wait(attrs.evolve(POSITION, holders=4)).expected_ms == pytest.approx(250.0)


def test_wait_above_the_share_of_the_objective_is_refused() -> None:
    assert estimate_wait(POSITION).is_too_long
    assert estimate_wait(attrs.evolve(POSITION, queued_prefill_ms=521.0)).is_too_long
    assert not estimate_wait(attrs.evolve(POSITION, queued_prefill_ms=519.0)).is_too_long


def test_retried_call_may_wait_until_its_caller_gives_up() -> None:
    retried = attrs.evolve(POSITION, is_caller_retry=True)
    assert not estimate_wait(retried).is_too_long
    assert estimate_wait(attrs.evolve(retried, queued_prefill_ms=3300.0)).is_too_long
