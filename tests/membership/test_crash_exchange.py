"""Suspects reach every gateway through relays, without loops."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import pytest

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.suspects import (
    ReplicaCrash,
    Suspects,
    SuspectState,
    UpdateSource,
)
from limeshelf.membership import crash_exchange
from limeshelf.membership.broadcast_queue import MAX_BATCH_WINDOWS
from limeshelf.membership.crash_exchange import CrashExchange
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.util.clock import virtual_clock
from tests.support.clock import run_virtual
from tests.support.replicas import plain_replica

CALL = Fingerprint('00112233445566aa')
CONTROL_BYTES_PER_S = 4096
#: Longest delay of a message between gateways, and time within which the calls of a crashed
#: replica break off at all gateways.
MAX_DELAY_S = 0.02
BREAK_OFF_S = 0.003
CRASH = ReplicaCrash('i-0123456789', 1_784_591_736_000)


@pytest.fixture(autouse=True)
def _same_clock() -> Iterator[None]:
    """Create fleets on the same virtual clock on which the scenario runs."""
    with virtual_clock():
        yield


@attrs.define
class Network:
    """Delivers messages between gateways after up to :data:`MAX_DELAY_S` and counts their bytes.

    :ivar received: bytes received, by address.
    """

    handlers: dict[str, Callable[[Envelope], None]] = attrs.field(factory=dict)
    centres: dict[str, str] = attrs.field(factory=dict)
    received: dict[str, int] = attrs.field(factory=dict)
    messages: int = 0
    delays: random.Random = attrs.field(factory=lambda: random.Random(7))

    def deliver(self, address: str, frame: bytes) -> None:
        envelope = decode(frame)
        delay_s = self.delays.uniform(0.0, MAX_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, self.handlers[address], envelope)


@attrs.define
class Node:
    """The peer node of one gateway."""

    address: str
    network: Network

    def add_handler(self, kind: type[Any], handler: Callable[[Envelope], None]) -> None:
        self.network.handlers[self.address] = handler

    def send_all(self, addresses: list[str], message: Any) -> None:
        network = self.network
        frame = encode(Envelope(self.address, network.centres[self.address], message))
        for address in addresses:
            network.messages += 1
            network.received[address] = network.received.get(address, 0) + len(frame)
            network.deliver(address, frame)


def fleet(gateways: int, centres: int) -> tuple[Network, list[CrashExchange]]:
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
        exchange = CrashExchange(Node(address, network), members, Suspects())
        exchange.start()
        exchanges.append(exchange)
    return network, exchanges


def run_fleet(exchanges: list[CrashExchange], scenario: Callable[[], None]) -> None:
    """Run the exchanges until no message was sent for longer than a batch can take."""

    async def run() -> None:
        tasks = [asyncio.create_task(exchange.run()) for exchange in exchanges]
        scenario()
        network = exchanges[0].node.network
        sent = -1
        while sent != network.messages:
            sent = network.messages
            await asyncio.sleep(2 * MAX_BATCH_WINDOWS * crash_exchange.BATCH_WINDOW_S)
        for task in tasks:
            task.cancel()

    run_virtual(run())


def test_all_gateways_receive_all_crashes_detected_by_any() -> None:
    network, exchanges = fleet(9, 3)

    def scenario() -> None:
        for number in (2, 4, 8):
            exchanges[number].suspects.record_crash(CALL, ReplicaCrash(f'r{number}'))

    run_fleet(exchanges, scenario)
    counts = [exchange.suspects.state_of(CALL).crash_count for exchange in exchanges]
    assert counts == [3] * 9
    # Three gateways send to two relays each, and six relays send to two gateways and four relays
    # each. A gateway forwards an item only if it is new to it.
    assert network.messages < 120


def test_suspect_cleared_at_one_gateway_is_cleared_at_all() -> None:
    _, exchanges = fleet(6, 2)

    def scenario() -> None:
        for exchange in exchanges:
            state = SuspectState(CALL, frozenset({CRASH, ReplicaCrash('r')}))
            exchange.suspects.merge(state, UpdateSource.ROW)
        exchanges[5].suspects.record_completion(CALL)

    run_fleet(exchanges, scenario)
    assert [exchange.suspects.state_of(CALL).crash_count for exchange in exchanges] == [0] * 6


def test_trial_sent_by_one_gateway_and_its_failure_are_known_to_all() -> None:
    _, exchanges = fleet(6, 2)

    def scenario() -> None:
        suspects = exchanges[5].suspects
        suspects.record_crash(CALL, ReplicaCrash('r'))
        suspects.record_trial(CALL, plain_replica(CRASH.replica_id))
        suspects.record_crash(CALL, CRASH)

    run_fleet(exchanges, scenario)
    states = [exchange.suspects.state_of(CALL) for exchange in exchanges]
    assert [state.failed_trials for state in states] == [1] * 6


def test_suspects_from_rows_of_the_store_are_not_broadcast() -> None:
    network, exchanges = fleet(4, 2)

    def scenario() -> None:
        state = SuspectState(CALL, frozenset({CRASH}))
        for exchange in exchanges:
            exchange.suspects.merge(state, UpdateSource.ROW)

    run_fleet(exchanges, scenario)
    assert network.messages == 0


def test_crash_costs_each_of_three_hundred_gateways_few_bytes() -> None:
    """A crash with 50 calls costs the busiest gateway, a relay, 3.4 KB, and most gateways 1.4 KB.

    With a batch window of 5 ms it would cost 6.0 KB and 2.1 KB. A gateway may receive 4 KB of
    control traffic per second.
    """
    network, exchanges = fleet(300, 5)

    def scenario() -> None:
        loop = asyncio.get_running_loop()
        for number in range(50):
            fingerprint = Fingerprint(f'{number:016x}')
            suspects = exchanges[6 * number % 300].suspects
            loop.call_later(
                network.delays.uniform(0.0, BREAK_OFF_S), suspects.record_crash, fingerprint, CRASH
            )

    run_fleet(exchanges, scenario)
    assert all(len(exchange.suspects) == 50 for exchange in exchanges)
    assert max(network.received.values()) < CONTROL_BYTES_PER_S
