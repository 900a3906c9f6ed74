"""States of replicas are sent again in turn, as the link has room."""

from __future__ import annotations

from limeshelf.membership.state_refresh import REFRESH_S, STATE_BYTES, StateRefresh
from limeshelf.peers.link_budget import BYTES_PER_MBIT, MAX_BROADCAST_S, PEER_SHARE, LinkBudget
from limeshelf.util.clock import virtual_clock

REPLICAS = [f'r-{number:03}' for number in range(112)]
RECEIVERS = 26
STEP_S = 0.25
LINK_MBPS = 10.0


def test_each_state_is_sent_again_within_the_interval() -> None:
    with virtual_clock() as clock:
        refresh = StateRefresh()
        refresh.next_replicas(REPLICAS, RECEIVERS)
        sent: set[str] = set()
        for _ in range(int(REFRESH_S / STEP_S)):
            clock.advance(STEP_S)
            part = refresh.next_replicas(REPLICAS, RECEIVERS)
            assert len(part) <= len(REPLICAS) * STEP_S / REFRESH_S + 1
            sent |= part
        assert sent == set(REPLICAS)


def test_states_that_are_sent_again_do_not_fill_a_narrow_link() -> None:
    with virtual_clock() as clock:
        budget = LinkBudget.from_mbps(LINK_MBPS)
        refresh = StateRefresh(budget)
        sent: set[str] = set()
        sent_bytes = 0
        seconds = 12.0
        for _ in range(int(seconds / STEP_S)):
            clock.advance(STEP_S)
            part = refresh.next_replicas(REPLICAS, RECEIVERS)
            size_bytes = len(part) * STATE_BYTES * RECEIVERS
            assert size_bytes <= MAX_BROADCAST_S * LINK_MBPS * BYTES_PER_MBIT
            budget.charge(size_bytes)
            sent_bytes += size_bytes
            sent |= part
        assert sent == set(REPLICAS)
        assert sent_bytes <= (seconds + 1) * PEER_SHARE * LINK_MBPS * BYTES_PER_MBIT


def test_replica_that_is_gone_does_not_end_the_turns_of_others() -> None:
    with virtual_clock() as clock:
        refresh = StateRefresh()
        refresh.next_replicas(['a', 'b', 'c'], 1)
        clock.advance(REFRESH_S)
        assert refresh.next_replicas(['a', 'b'], 1) == {'a', 'b'}
        clock.advance(REFRESH_S)
        assert refresh.next_replicas([], 1) == set()
