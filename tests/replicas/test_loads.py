"""What other gateways have under way at a replica."""

from __future__ import annotations

import attrs

from limeshelf.replicas.freshness import PEER_LOAD_LIFE_S
from limeshelf.replicas.loads import PeerLoads
from limeshelf.replicas.replica import Load
from tests.support.clock import fake_time


@attrs.define
class At:
    replica_id: str
    calls: int
    tokens: int


def test_peers_are_added_up_until_they_fall_silent() -> None:
    with fake_time() as clock:
        loads = PeerLoads()
        loads.take('g1', [At('r1', 2, 20), At('r2', 1, 10)])
        clock.advance(PEER_LOAD_LIFE_S / 2)
        loads.take('g2', [At('r1', 3, 30)])
        assert loads.at('r1') == Load(5, 50)
        clock.advance(PEER_LOAD_LIFE_S / 2 + 0.01)
        assert loads.at('r1') == Load(3, 30)
        assert loads.at('r2') == Load()


def test_newer_statement_of_a_peer_replaces_its_older_one() -> None:
    with fake_time():
        loads = PeerLoads()
        loads.take('g1', [At('r1', 2, 20)])
        loads.take('g1', [])
        assert loads.at('r1') == Load()


def test_totals_replace_peers_and_count_own_calls_once() -> None:
    with fake_time():
        loads = PeerLoads()
        loads.take('g1', [At('r1', 9, 90)])
        own = {'r1': Load(2, 20), 'r2': Load(4, 5)}
        loads.take_totals([At('r1', 5, 50), At('r2', 3, 30)], lambda name: own[name])
        assert loads.at('r1') == Load(3, 30)
        # More own calls than the totals know of: they began since.
        assert loads.at('r2') == Load(0, 25)
