"""What a replica asks for reaches every gateway once, through relays, and goes round no circle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import pytest

from limeshelf.calls.notice import NO_NOTICE, ReplicaNotice
from limeshelf.calls.wire import AnswerHead
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.notice_exchange import GATHER_S, NoticeExchange
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.notices import NoticeTaker
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica
from limeshelf.util.clock import boottime_s
from tests.membership.test_crash_exchange import Network, Node

BORN_MS = 1_784_591_736_000
ANSWER = AnswerHead(200, 'c', True, False, False, False, None, (), None)


def fleet(gateways: int, centres: int) -> tuple[Network, list[NoticeExchange]]:
    network = Network()
    addresses = [f'10.0.0.{number}:7001' for number in range(gateways)]
    for number, address in enumerate(addresses):
        network.centres[address] = f'z{number % centres}'
    exchanges = []
    for address in addresses:
        members = Members(Member(address, network.centres[address], 1.0))
        for other in addresses:
            if other != address:
                members.add(other, network.centres[other], 1.0)
                members.note_message(other, network.centres[other])
        directory = ReplicaDirectory(read_record)
        directory.take_record(
            ReplicaRecord('r-1', 'app', 'ip:1', 'z0', 4, False, None, (), 1, BORN_MS)
        )
        node: Any = Node(address, network)
        exchange = NoticeExchange(node, members, directory, NoticeTaker(directory))
        exchange.start()
        exchanges.append(exchange)
    return network, exchanges


def replica_of(exchange: NoticeExchange) -> Replica:
    replica = exchange.directory.get('r-1')
    assert replica is not None
    return replica


def play(exchanges: list[NoticeExchange], *steps: Callable[[], None]) -> None:
    """Run the exchanges; each step gets the time in which its news has gone round."""

    async def run() -> None:
        tasks = [asyncio.create_task(exchange.run()) for exchange in exchanges]
        for step in steps:
            step()
            await asyncio.sleep(10 * GATHER_S)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def hears(exchange: NoticeExchange, rate_per_s: float | None) -> None:
    notice = NO_NOTICE if rate_per_s is None else ReplicaNotice(rate_per_s, names_rate=True)
    facts = attrs.evolve(ANSWER, notice=notice)
    exchange.notices.take_of_call(replica_of(exchange), facts, boottime_s())


@pytest.mark.parametrize('teller', [0, 8])
def test_rate_and_its_end_reach_all(teller: int) -> None:
    network, exchanges = fleet(9, 3)
    rates: list[list[float | None]] = []

    def look() -> None:
        rates.append([replica_of(one).backpressure.rate_per_s for one in exchanges])

    play(
        exchanges,
        lambda: hears(exchanges[teller], 2.3),
        look,
        lambda: hears(exchanges[teller], None),
        look,
    )
    assert rates == [[2.3] * 9, [None] * 9]
    # Once to each other gateway, and what relays tell one another twice.
    assert network.messages <= 2 * 4 * 9


def test_that_a_replica_leaves_reaches_all() -> None:
    _, exchanges = fleet(9, 3)
    facts = attrs.evolve(ANSWER, notice=ReplicaNotice(leaving=True))
    teller = exchanges[8]
    play(
        exchanges,
        lambda: teller.notices.take_of_call(replica_of(teller), facts, boottime_s()),
    )
    assert not any(replica_of(one).takes_calls for one in exchanges)


def test_another_start_of_the_replica_takes_nothing_from_it() -> None:
    _, exchanges = fleet(2, 1)
    replica_of(exchanges[1]).known_start.born_ms = BORN_MS + 1
    play(exchanges, lambda: hears(exchanges[0], 2.3))
    assert replica_of(exchanges[0]).backpressure.rate_per_s == 2.3
    assert replica_of(exchanges[1]).backpressure.rate_per_s is None
