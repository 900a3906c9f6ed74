"""Turns are asked of the pacer; nobody goes without one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from limeshelf.dispatch.pace import ReplicaPaces, Turn
from limeshelf.dispatch.turns import TurnExchange
from limeshelf.membership.member import LOCAL
from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.peers.questions import AVOID_S
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.notices import NoticeTaker
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica
from limeshelf.util.clock import boottime_s

PACER, ASKER = '10.0.0.1:7001', '10.0.0.2:7001'


@attrs.define
class Node:
    """One end of a network of two; messages arrive at once, unless *is_cut*."""

    address: str
    nodes: dict[str, Node] = attrs.field(factory=dict)
    handlers: dict[type[Any], Callable[[Envelope], None]] = attrs.field(factory=dict)
    sent: int = 0
    is_cut: bool = False

    def add_handler(self, kind: type[Any], handler: Callable[[Envelope], None]) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: Any) -> None:
        self.sent += 1
        if not self.is_cut:
            envelope = decode(encode(Envelope(self.address, 'z1', message)))
            receiver = self.nodes[address].handlers[type(message)]
            asyncio.get_running_loop().call_soon(receiver, envelope)


def gateway_at(node: Any, owner: str | None) -> tuple[TurnExchange, Replica]:
    directory = ReplicaDirectory(read_record)
    directory.take_record(ReplicaRecord('r-1', 'app', 'ip:1', 'z1', 4, False, None, (), 1))
    replica = directory.get('r-1')
    assert replica is not None
    paces = ReplicaPaces(lambda data_centre: owner)
    turns = TurnExchange(node, directory, NoticeTaker(directory), paces)
    turns.start()
    return turns, replica


@attrs.define
class Two:
    """A pacer, and a gateway that asks it."""

    nodes: dict[str, Node]
    asker: TurnExchange
    at_asker: Replica
    at_pacer: Replica


def two() -> Two:
    nodes: dict[str, Node] = {}
    nodes.update({address: Node(address, nodes) for address in (PACER, ASKER)})
    _, at_pacer = gateway_at(nodes[PACER], LOCAL)
    asker, at_asker = gateway_at(nodes[ASKER], PACER)
    at_asker.backpressure.note_rate(2.0, boottime_s())
    return Two(nodes, asker, at_asker, at_pacer)


def test_pacer_learns_the_rate_by_the_question_for_a_turn() -> None:
    async def play() -> None:
        world = two()
        assert (await world.asker.get(world.at_asker, 0.0)).is_granted
        assert world.at_pacer.backpressure.rate_per_s == 2.0

    asyncio.run(play())


def test_next_turn_is_not_asked_for_before_its_time() -> None:
    async def play() -> None:
        world = two()
        await world.asker.get(world.at_asker, 0.0)
        turn = await world.asker.get(world.at_asker, 0.0)
        assert not turn.is_granted
        assert 0.5 < turn.wait_s <= 1.0
        asked = world.nodes[ASKER].sent
        assert not (await world.asker.get(world.at_asker, 0.0)).is_granted
        assert world.nodes[ASKER].sent == asked
        # Another rate brings it at another time.
        world.at_asker.backpressure.note_rate(20.0, boottime_s())
        await world.asker.get(world.at_asker, 0.0)
        assert world.nodes[ASKER].sent == asked + 1

    asyncio.run(play())


def test_pacer_that_has_heard_that_the_rate_ended_lets_the_call_go() -> None:
    async def play() -> None:
        world = two()
        world.at_pacer.backpressure.note_no_rate(boottime_s() + 1.0)
        for _ in range(3):
            assert await world.asker.get(world.at_asker, 0.0) == Turn(True, 0.0)

    asyncio.run(play())


def test_no_turn_without_a_pacer_that_answers() -> None:
    async def play() -> None:
        world = two()
        world.nodes[PACER].is_cut = True
        assert await world.asker.get(world.at_asker, 1.0) == Turn(False, AVOID_S)
        nobody, replica = gateway_at(world.nodes[ASKER], None)
        replica.backpressure.note_rate(2.0, boottime_s())
        assert await nobody.get(replica, 1.0) == Turn(False, AVOID_S)

    asyncio.run(play())


def test_gateway_that_is_no_pacer_gives_none() -> None:
    async def play() -> None:
        nodes: dict[str, Node] = {}
        nodes.update({address: Node(address, nodes) for address in (PACER, ASKER)})
        gateway_at(nodes[PACER], 'somebody else')
        asker, replica = gateway_at(nodes[ASKER], PACER)
        replica.backpressure.note_rate(2.0, boottime_s())
        assert not (await asker.get(replica, 0.0)).is_granted

    asyncio.run(play())
