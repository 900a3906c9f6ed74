"""Sums of the load of other gateways at a replica."""

from __future__ import annotations

import attrs

from limeshelf.replicas.freshness import PEER_LOAD_VALID_S
from limeshelf.replicas.loads import PeerLoads
from limeshelf.replicas.replica import Load
from tests.support.clock import fake_time


@attrs.define
class At:
    replica_id: str
    calls: int
    tokens: int


def test_loads_of_peers_are_summed_until_they_expire() -> None:
    with fake_time() as clock:
        loads = PeerLoads()
        loads.update('g1', [At('r1', 2, 20), At('r2', 1, 10)])
        clock.advance(PEER_LOAD_VALID_S / 2)
        loads.update('g2', [At('r1', 3, 30)])
        assert loads.load_at('r1') == Load(5, 50)
        clock.advance(PEER_LOAD_VALID_S / 2 + 0.01)
        assert loads.load_at('r1') == Load(3, 30)
        assert loads.load_at('r2') == Load()


def test_newer_report_of_a_peer_replaces_the_older_one() -> None:
    with fake_time():
        loads = PeerLoads()
        loads.update('g1', [At('r1', 2, 20)])
        loads.update('g1', [])
        assert loads.load_at('r1') == Load()


def test_totals_replace_peers_and_count_own_calls_once() -> None:
    with fake_time():
        loads = PeerLoads()
        loads.update('g1', [At('r1', 9, 90)])
        own = {'r1': Load(2, 20), 'r2': Load(4, 5)}
        loads.update_totals([At('r1', 5, 50), At('r2', 3, 30)], lambda name: own[name])
        assert loads.load_at('r1') == Load(3, 30)
        # More own calls than in the totals: they started afterwards.
        assert loads.load_at('r2') == Load(0, 25)
