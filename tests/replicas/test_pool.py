"""Limits of the connections of a gateway to a replica, and probes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limeshelf.calls.routes import ServiceSpec
from limeshelf.replicas.connections import MAX_IDLE_S, MIN_IDLE_S, idle_timeout_s
from limeshelf.replicas.health import Failure
from limeshelf.replicas.pool import MIN_CONNECTIONS, ConnectionPool, connection_limit
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.replicas.replica import Replica

SERVICE = ServiceSpec('s', 100, None)


def replica_at(address: str) -> Replica:
    return Replica(ReplicaRecord('r1', 's', address, 'z1', 4, False, None, (), 1), {})


class Directory:
    def __init__(self, replica: Replica) -> None:
        self.replica = replica

    def all(self) -> list[Replica]:
        return [self.replica]

    def get(self, replica_id: str) -> Replica:
        return self.replica


@pytest.mark.parametrize(
    ('max_connections', 'gateways', 'limit'),
    [(100, 1, 90), (100, 9, 10), (100, 0, 90), (100, 50, MIN_CONNECTIONS)],
)
def test_gateways_share_the_connections_of_a_replica(
    max_connections: int, gateways: int, limit: int
) -> None:
    assert connection_limit(max_connections, gateways) == limit


@pytest.mark.parametrize(
    ('keep_alive_s', 'idle_s'), [(3.0, 2.0), (60.0, MAX_IDLE_S), (1.0, MIN_IDLE_S)]
)
def test_idle_connection_is_closed_before_the_replica_closes_it(
    keep_alive_s: float, idle_s: float
) -> None:
    assert idle_timeout_s(keep_alive_s) == idle_s


def test_connections_to_a_replica_are_reused() -> None:
    async def scenario() -> None:
        pool = ConnectionPool()
        first = replica_at('127.0.0.1:1')
        assert pool.connections(first, SERVICE) is pool.connections(first, SERVICE)
        await pool.close()

    asyncio.run(scenario())


def test_replica_that_accepts_a_connection_again_is_no_longer_suspended() -> None:
    async def scenario() -> bool:
        server = await asyncio.start_server(lambda _, writer: writer.close(), '127.0.0.1', 0)
        replica = replica_at(f'127.0.0.1:{server.sockets[0].getsockname()[1]}')
        replica.health.record_failure(Failure.NO_CONNECTION)
        replica.health.suspended_until_s = 0.0
        directory: Any = Directory(replica)
        pool = ConnectionPool()
        probing = asyncio.create_task(pool.probe(directory))
        pool.probe_soon([replica])
        async with asyncio.timeout(10.0):
            while replica.health.awaits_probe:
                await asyncio.sleep(0.01)
        probing.cancel()
        server.close()
        return replica.health.is_suspended()

    assert not asyncio.run(scenario())
