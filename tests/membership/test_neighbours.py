"""What a gateway believes of the words of others."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from limeshelf.membership.members import Member, Members
from limeshelf.membership.messages import HeldModel, ReplicaState, ReplicaStates
from limeshelf.membership.neighbours import Neighbours
from limeshelf.peers.codec import Envelope
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport


@attrs.define
class Fleet:
    leading: bool = False

    def leads(self) -> bool:
        return self.leading


class Leadership:
    def note_fence(self, fence: int) -> None: ...


@attrs.define
class Meter:
    expected: dict[Any, float] = attrs.field(factory=dict)


def told(fence: int, *models: str) -> Envelope:
    held = [HeldModel(name, []) for name in models]
    state = ReplicaState('r1', 3, held, 0, 0, 0, False)
    return Envelope('peer', 'z1', ReplicaStates(fence, [state], []))


def neighbours(fleet: Fleet) -> Neighbours:
    directory = ReplicaDirectory(read_record)
    directory._take_record(ReplicaRecord('r1', 'lm', 'ip:1', 'z1', 8, False, None, (), 1))
    parts: dict[str, Any] = {
        'instance_id': 'g-1',
        'node': None,
        'members': Members(Member('own', 'z1')),
        'directory': directory,
        'meter': Meter(),
        'fleet': fleet,
        'leadership': Leadership(),
    }
    return Neighbours(**parts)


def test_late_word_of_a_predecessor() -> None:
    async def play() -> None:
        one = neighbours(Fleet())
        one._take_states(told(5, 'm1', 'm2'))
        one._take_states(told(4, 'm1'))
        replica = one.directory.get('r1')
        assert replica is not None
        assert set(replica.holdings) == {'m1', 'm2'}

    asyncio.run(play())


def test_leader_believes_its_own_looks_only() -> None:
    async def play() -> None:
        one = neighbours(Fleet(leading=True))
        look = ReplicaReport((Holding('m1'), Holding('m2')), False, 3)
        one.directory.take_report('r1', look)
        one._take_states(told(9, 'm1'))
        replica = one.directory.get('r1')
        assert replica is not None
        assert set(replica.holdings) == {'m1', 'm2'}

    asyncio.run(play())
