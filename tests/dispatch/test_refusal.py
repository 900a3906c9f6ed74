"""When a queued request is refused, and with which expected wait."""

from __future__ import annotations

import attrs
import pytest

from limeshelf.dispatch.refusal import QueuePosition, estimate_wait

POSITION = QueuePosition(
    ahead_ms=650.0, holders=1, objective_ms=1000, left_ms=5000, returned=False
)


def test_replicas_read_only_a_part_of_the_time() -> None:
    assert estimate_wait(POSITION).expected_ms == pytest.approx(1000.0)


def test_holders_share_the_queue() -> None:
    assert estimate_wait(attrs.evolve(POSITION, holders=4)).expected_ms == pytest.approx(250.0)


def test_wait_beyond_its_part_of_the_objective_is_refused() -> None:
    assert estimate_wait(POSITION).is_too_long
    assert estimate_wait(attrs.evolve(POSITION, ahead_ms=521.0)).is_too_long
    assert not estimate_wait(attrs.evolve(POSITION, ahead_ms=519.0)).is_too_long


def test_who_came_back_may_wait_until_the_caller_gives_up() -> None:
    returned = attrs.evolve(POSITION, returned=True)
    assert not estimate_wait(returned).is_too_long
    assert estimate_wait(attrs.evolve(returned, ahead_ms=3300.0)).is_too_long
