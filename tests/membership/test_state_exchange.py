"""What a gateway believes of the states that a leader sends."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from limeshelf.membership.leader import LeaderView
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.messages import HeldModel, ReplicaState, ReplicaStates
from limeshelf.membership.state_changes import StateChanges
from limeshelf.membership.state_exchange import StateExchange, states_count
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
    """Keeps what is passed on."""

    forwarded: list[tuple[list[str], Envelope]] = attrs.field(factory=list)

    def forward_all(self, addresses: list[str], envelope: Envelope) -> None:
        self.forwarded.append((addresses, envelope))


def states(fence: int, *models: str, centre: str = 'z1') -> Envelope:
    held = [HeldModel(name, []) for name in models]
    state = ReplicaState('r1', 3, held, 0, 0, 0, False)
    return Envelope('peer', centre, ReplicaStates(fence, [state], []))


def exchange(leadership: Any) -> StateExchange:
    directory = ReplicaDirectory(read_record)
    directory.take_record(ReplicaRecord('r1', 'lm', 'ip:1', 'z1', 8, False, None, (), 1))
    members = Members(Member('own', 'z1'))
    known: dict[str, Any] = {
        'node': Node(),
        'members': members,
        'leader': LeaderView(members, leadership),
        'leadership': leadership,
        'directory': directory,
        'meter': Meter(),
        'placement': None,
        'changes': StateChanges(),
    }
    return StateExchange(**known)


def holdings(one: StateExchange) -> set[str]:
    replica = one.directory.get('r1')
    assert replica is not None
    return set(replica.holdings)


def test_late_word_of_a_predecessor() -> None:
    async def play() -> None:
        one = exchange(Leadership())
        one._take_states(states(5, 'm1', 'm2'))
        one._take_states(states(4, 'm1'))
        assert holdings(one) == {'m1', 'm2'}

    asyncio.run(play())


def test_leader_believes_its_own_looks_only() -> None:
    async def play() -> None:
        one = exchange(Leadership(fence=5))
        report = ReplicaReport((Holding('m1'), Holding('m2')), False, 3)
        one.directory.take_report('r1', report)
        one._take_states(states(9, 'm1'))
        assert holdings(one) == {'m1', 'm2'}

    asyncio.run(play())


def test_only_states_of_the_newest_leader_are_believed() -> None:
    assert states_count(fence=5, newest_fence=5, own_leads=False)
    assert states_count(fence=6, newest_fence=5, own_leads=False)
    assert not states_count(fence=4, newest_fence=5, own_leads=False)
    assert not states_count(fence=6, newest_fence=5, own_leads=True)


def test_first_relay_passes_states_of_another_centre_on() -> None:
    async def play() -> None:
        one = exchange(Leadership())
        one.members.add('second', 'z1')
        one._take_states(states(5, 'm1', centre='z1'))
        one._take_states(states(5, 'm1', centre='z2'))
        node: Any = one.node
        assert [addresses for addresses, _ in node.forwarded] == [[], ['second']]

    asyncio.run(play())


def test_changes_are_taken_once() -> None:
    async def play() -> None:
        changes = StateChanges()
        changes.note_replica('r1')
        changes.note_replica('r2')
        await asyncio.wait_for(changes.wait(limit_s=30.0, gap_s=0.0), 5.0)
        assert changes.take() == {'r1', 'r2'}
        assert changes.take() == set()

    asyncio.run(play())
