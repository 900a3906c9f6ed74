"""The connections of this process to all replicas, by address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change
from limeshelf.replicas.connections import CONNECT_S, ReplicaConnections

if TYPE_CHECKING:
    from limeshelf.calls.routes import ServiceSpec
    from limeshelf.calls.wire import CallWire
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Part of a replica's connections that all entry instances together use.
USED_SHARE = 0.9
LEAST_CONNECTIONS = 4
SWEEP_S = 2.0
#: Replicas out of reach are looked at this often, when their pause is over.
PROBE_LOOK_S = 0.1


class ConnectionPool:
    """Opens connections to a replica when a call first goes there."""

    def __init__(self, wire: CallWire) -> None:
        self.sharers = 1
        self._wire = wire
        self._by_replica: dict[str, ReplicaConnections] = {}

    def connections(self, replica: Replica, service: ServiceSpec) -> ReplicaConnections:
        """Return the connections to a replica."""
        found = self._by_replica.get(replica.replica_id)
        if found is None:
            share = int(service.max_connections * USED_SHARE / max(1, self.sharers))
            limit = max(LEAST_CONNECTIONS, share)
            found = ReplicaConnections(replica.record.address, limit, self._wire)
            self._by_replica[replica.replica_id] = found
        return found

    async def sweep(self, directory: ReplicaDirectory) -> None:
        """Close the connections to replicas that are gone, again and again."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for replica_id in list(self._by_replica):
                replica = directory.get(replica_id)
                if replica is None or (replica.gone and replica.own.calls == 0):
                    await self._by_replica.pop(replica_id).close()

    async def probe(self, directory: ReplicaDirectory) -> None:
        """See, again and again, whether replicas out of reach can be reached."""
        while True:
            await asyncio.sleep(PROBE_LOOK_S)
            due = [replica for replica in directory.all() if replica.health.probe_due]
            await asyncio.gather(*(_probe(replica) for replica in due))

    async def close(self) -> None:
        """Close all connections."""
        for connections in self._by_replica.values():
            await connections.close()


async def _probe(replica: Replica) -> None:
    """Make a connection and close it; a real call would be lost behind a cut."""
    host, _, port = replica.record.address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        replica.health.probed(reached=False)
        return
    writer.close()
    replica.health.probed(reached=True)
    log_change('replica_reached', replica=replica.replica_id)
