"""Messages to peers take a share of the link."""

from __future__ import annotations

from limeshelf.peers.link_budget import (
    BYTES_PER_MBIT,
    MAX_AHEAD_S,
    MAX_BROADCAST_S,
    PEER_SHARE,
    SMALL_BROADCAST_S,
    LinkBudget,
)
from limeshelf.util.clock import virtual_clock

WIDTH_BYTES_PER_S = 10 * BYTES_PER_MBIT
STEP_S = 0.1


def test_room_is_back_once_the_share_of_the_link_has_passed() -> None:
    with virtual_clock() as clock:
        budget = LinkBudget.from_mbps(10)
        assert budget.has_room()
        budget.charge(WIDTH_BYTES_PER_S)
        clock.advance(1 / PEER_SHARE - MAX_AHEAD_S - 0.01)
        assert not budget.has_room()
        clock.advance(0.02)
        assert budget.has_room()


def test_broadcast_that_would_occupy_the_link_is_not_allowed() -> None:
    budget = LinkBudget.from_mbps(10)
    limit_bytes = int(MAX_BROADCAST_S * WIDTH_BYTES_PER_S)
    assert budget.allows_broadcast(limit_bytes)
    assert not budget.allows_broadcast(limit_bytes + 1)


def test_small_broadcast_is_allowed_in_any_case() -> None:
    budget = LinkBudget.from_mbps(10)
    budget.charge(WIDTH_BYTES_PER_S)
    small_bytes = int(SMALL_BROADCAST_S * WIDTH_BYTES_PER_S)
    assert budget.allows_broadcast(small_bytes)
    assert not budget.allows_broadcast(small_bytes + 1)


def test_messages_that_are_sent_all_the_time_leave_room() -> None:
    """Otherwise rows that are not large would be announced whenever something was just sent."""
    with virtual_clock() as clock:
        budget = LinkBudget.from_mbps(10)
        for _ in range(100):
            budget.charge(int(0.5 * PEER_SHARE * WIDTH_BYTES_PER_S * STEP_S))
            assert budget.allows_broadcast(int(MAX_BROADCAST_S * WIDTH_BYTES_PER_S))
            clock.advance(STEP_S)


def test_link_of_unknown_width_has_room_for_all() -> None:
    budget = LinkBudget.from_mbps(0)
    budget.charge(1 << 30)
    assert budget.allows_broadcast(1 << 30)
