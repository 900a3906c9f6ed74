"""Notices of replicas reach every gateway through relays, without loops."""

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
from limeshelf.membership.notice_exchange import BATCH_WINDOW_S, NoticeExchange
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.notices import NoticeHandler
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
                members.record_message(other, network.centres[other])
        directory = ReplicaDirectory(read_record)
        directory.apply_record(
            ReplicaRecord('r-1', 'app', 'ip:1', 'z0', 4, False, None, (), 1, BORN_MS)
        )
        node: Any = Node(address, network)
        exchange = NoticeExchange(node, members, directory, NoticeHandler(directory))
        exchange.start()
        exchanges.append(exchange)
    return network, exchanges


def replica_of(exchange: NoticeExchange) -> Replica:
    replica = exchange.directory.get('r-1')
    assert replica is not None
    return replica


def run_steps(exchanges: list[NoticeExchange], *steps: Callable[[], None]) -> None:
    """Run the exchanges; after each step, wait until its notices have reached all gateways."""

    async def run() -> None:
        tasks = [asyncio.create_task(exchange.run()) for exchange in exchanges]
        for step in steps:
            step()
            await asyncio.sleep(10 * BATCH_WINDOW_S)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def receive_answer(exchange: NoticeExchange, rate_per_s: float | None) -> None:
    notice = NO_NOTICE if rate_per_s is None else ReplicaNotice(rate_per_s, names_rate=True)
    facts = attrs.evolve(ANSWER, notice=notice)
    exchange.notices.handle_call_response(replica_of(exchange), facts, boottime_s())


@pytest.mark.parametrize('sender', [0, 8])
def test_rate_and_its_end_reach_all(sender: int) -> None:
    network, exchanges = fleet(9, 3)
    rates: list[list[float | None]] = []

    def record_rates() -> None:
        rates.append([replica_of(exchange).backpressure.rate_per_s for exchange in exchanges])

    run_steps(
        exchanges,
        lambda: receive_answer(exchanges[sender], 2.3),
        record_rates,
        lambda: receive_answer(exchanges[sender], None),
        record_rates,
    )
    assert rates == [[2.3] * 9, [None] * 9]
    # One message to each other gateway, and further ones between relays, for each of two changes.
    assert network.messages <= 2 * 4 * 9


def test_shutdown_notice_of_a_replica_reaches_all() -> None:
    _, exchanges = fleet(9, 3)
    facts = attrs.evolve(ANSWER, notice=ReplicaNotice(leaving=True))
    sender = exchanges[8]
    run_steps(
        exchanges,
        lambda: sender.notices.handle_call_response(replica_of(sender), facts, boottime_s()),
    )
    assert not any(replica_of(exchange).takes_calls for exchange in exchanges)


def test_notice_does_not_apply_to_another_start_of_the_replica() -> None:
    _, exchanges = fleet(2, 1)
    replica_of(exchanges[1]).known_start.born_ms = BORN_MS + 1
    run_steps(exchanges, lambda: receive_answer(exchanges[0], 2.3))
    assert replica_of(exchanges[0]).backpressure.rate_per_s == 2.3
    assert replica_of(exchanges[1]).backpressure.rate_per_s is None
