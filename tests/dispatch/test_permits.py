"""Permits are requested from the pacer, and no call is sent without one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from limeshelf.dispatch.permits import PermitExchange
from limeshelf.dispatch.rate_limiter import RatePermit, ReplicaRateLimiters
from limeshelf.membership.member import LOCAL
from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.peers.query_client import AVOID_S
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.notices import NoticeHandler
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica
from limeshelf.util.clock import boottime_s

PACER, CLIENT = '10.0.0.1:7001', '10.0.0.2:7001'


@attrs.define
class Node:
    """One of two connected peer nodes; messages arrive at once, unless *is_cut*."""

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


def gateway_at(node: Any, owner: str | None) -> tuple[PermitExchange, Replica]:
    directory = ReplicaDirectory(read_record)
    directory.apply_record(ReplicaRecord('r-1', 'app', 'ip:1', 'z1', 4, False, None, (), 1))
    replica = directory.get('r-1')
    assert replica is not None
    limiters = ReplicaRateLimiters(lambda data_centre: owner)
    permits = PermitExchange(node, directory, NoticeHandler(directory), limiters)
    permits.start()
    return permits, replica


@attrs.define
class PacerAndClient:
    """A pacer, and a gateway that requests permits from it."""

    nodes: dict[str, Node]
    client: PermitExchange
    replica_at_client: Replica
    replica_at_pacer: Replica


def pacer_and_client() -> PacerAndClient:
    nodes: dict[str, Node] = {}
    nodes.update({address: Node(address, nodes) for address in (PACER, CLIENT)})
    _, replica_at_pacer = gateway_at(nodes[PACER], LOCAL)
    client, replica_at_client = gateway_at(nodes[CLIENT], PACER)
    replica_at_client.backpressure.rate.record(2.0, boottime_s())
    return PacerAndClient(nodes, client, replica_at_client, replica_at_pacer)


def test_pacer_takes_the_rate_from_the_permit_query() -> None:
    async def scenario() -> None:
        pair = pacer_and_client()
        assert (await pair.client.acquire(pair.replica_at_client, 0.0)).is_granted
        assert pair.replica_at_pacer.backpressure.rate_per_s == 2.0

    asyncio.run(scenario())


def test_no_query_is_sent_before_the_next_permit_is_due() -> None:
    async def scenario() -> None:
        pair = pacer_and_client()
        await pair.client.acquire(pair.replica_at_client, 0.0)
        permit = await pair.client.acquire(pair.replica_at_client, 0.0)
        assert not permit.is_granted
        assert 0.5 < permit.wait_s <= 1.0
        asked = pair.nodes[CLIENT].sent
        assert not (await pair.client.acquire(pair.replica_at_client, 0.0)).is_granted
        assert pair.nodes[CLIENT].sent == asked
        # At another rate, the next permit is due at another time.
        pair.replica_at_client.backpressure.rate.record(20.0, boottime_s())
        await pair.client.acquire(pair.replica_at_client, 0.0)
        assert pair.nodes[CLIENT].sent == asked + 1

    asyncio.run(scenario())


def test_pacer_that_knows_of_no_rate_limit_grants_at_once() -> None:
    async def scenario() -> None:
        pair = pacer_and_client()
        pair.replica_at_pacer.backpressure.rate.record_absent(boottime_s() + 1.0)
        for _ in range(3):
            assert await pair.client.acquire(pair.replica_at_client, 0.0) == RatePermit(True, 0.0)

    asyncio.run(scenario())


def test_no_permit_without_a_responding_pacer() -> None:
    async def scenario() -> None:
        pair = pacer_and_client()
        pair.nodes[PACER].is_cut = True
        assert await pair.client.acquire(pair.replica_at_client, 1.0) == RatePermit(False, AVOID_S)
        without_pacer, replica = gateway_at(pair.nodes[CLIENT], None)
        replica.backpressure.rate.record(2.0, boottime_s())
        assert await without_pacer.acquire(replica, 1.0) == RatePermit(False, AVOID_S)

    asyncio.run(scenario())


def test_gateway_that_is_not_the_pacer_issues_no_permit() -> None:
    async def scenario() -> None:
        nodes: dict[str, Node] = {}
        nodes.update({address: Node(address, nodes) for address in (PACER, CLIENT)})
        gateway_at(nodes[PACER], 'somebody else')
        client, replica = gateway_at(nodes[CLIENT], PACER)
        replica.backpressure.rate.record(2.0, boottime_s())
        assert not (await client.acquire(replica, 0.0)).is_granted

    asyncio.run(scenario())
