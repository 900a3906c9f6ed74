"""Which replica states from a leader a gateway accepts and forwards."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from limeshelf.membership.leader import LeaderView
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.messages import HeldModel, ReplicaState, ReplicaStates
from limeshelf.membership.state_changes import StateChanges
from limeshelf.membership.state_exchange import StateExchange, accepts_states
from limeshelf.peers.codec import Envelope
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport


@attrs.define
class Leadership:
    fence: int = 0

    def observe_fence(self, fence: int) -> None: ...


@attrs.define
class Meter:
    announced_ready_s: dict[Any, float] = attrs.field(factory=dict)


@attrs.define
class Node:
    """Records the forwarded messages."""

    forwarded: list[tuple[list[str], Envelope]] = attrs.field(factory=list)

    def forward_all(self, addresses: list[str], envelope: Envelope) -> None:
        self.forwarded.append((addresses, envelope))


def states(fence: int, *models: str, centre: str = 'z1') -> Envelope:
    held = [HeldModel(name, []) for name in models]
    state = ReplicaState('r1', 3, held, 0, 0, 0, False)
    return Envelope('peer', centre, ReplicaStates(fence, [state], []))


def exchange(leadership: Any) -> StateExchange:
    directory = ReplicaDirectory(read_record)
    directory.apply_record(ReplicaRecord('r1', 'lm', 'ip:1', 'z1', 8, False, None, (), 1))
    members = Members(Member('own', 'z1'))
    parts: dict[str, Any] = {
        'node': Node(),
        'members': members,
        'leader': LeaderView(members, leadership),
        'leadership': leadership,
        'directory': directory,
        'meter': Meter(),
        'placement': None,
        'changes': StateChanges(),
    }
    return StateExchange(**parts)


def holdings(state_exchange: StateExchange) -> set[str]:
    replica = state_exchange.directory.get('r1')
    assert replica is not None
    return set(replica.holdings)


def test_delayed_states_of_a_former_leader_are_ignored() -> None:
    async def run_scenario() -> None:
        state_exchange = exchange(Leadership())
        state_exchange._handle_states(states(5, 'm1', 'm2'))
        state_exchange._handle_states(states(4, 'm1'))
        assert holdings(state_exchange) == {'m1', 'm2'}

    asyncio.run(run_scenario())


def test_leader_accepts_only_the_reports_it_queried_itself() -> None:
    async def run_scenario() -> None:
        state_exchange = exchange(Leadership(fence=5))
        report = ReplicaReport((Holding('m1'), Holding('m2')), False, 3)
        state_exchange.directory.apply_report('r1', report)
        state_exchange._handle_states(states(9, 'm1'))
        assert holdings(state_exchange) == {'m1', 'm2'}

    asyncio.run(run_scenario())


def test_only_states_of_the_newest_leader_are_accepted() -> None:
    assert accepts_states(fence=5, highest_fence=5, own_leads=False)
    assert accepts_states(fence=6, highest_fence=5, own_leads=False)
    assert not accepts_states(fence=4, highest_fence=5, own_leads=False)
    assert not accepts_states(fence=6, highest_fence=5, own_leads=True)


def test_first_relay_forwards_states_from_another_centre() -> None:
    async def run_scenario() -> None:
        state_exchange = exchange(Leadership())
        state_exchange.members.add('second', 'z1')
        state_exchange._handle_states(states(5, 'm1', centre='z1'))
        state_exchange._handle_states(states(5, 'm1', centre='z2'))
        node: Any = state_exchange.node
        assert [addresses for addresses, _ in node.forwarded] == [[], ['second']]

    asyncio.run(run_scenario())


def test_changes_are_returned_once() -> None:
    async def run_scenario() -> None:
        changes = StateChanges()
        changes.add_replica('r1')
        changes.add_replica('r2')
        await asyncio.wait_for(changes.wait(timeout_s=30.0, batch_window_s=0.0), 5.0)
        assert changes.pop_replicas() == {'r1', 'r2'}
        assert changes.pop_replicas() == set()

    asyncio.run(run_scenario())
