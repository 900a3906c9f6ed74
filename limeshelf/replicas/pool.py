"""Connections of this process to all replicas, and probes of unreachable replicas.

Owns the connections to each start of a replica. They are opened for the first call and closed
after the start is gone. :mod:`limeshelf.replicas.health` decides when a probe is due.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change
from limeshelf.replicas.connections import CONNECT_TIMEOUT_S, ReplicaConnections

if TYPE_CHECKING:
    from limeshelf.calls.routes import ServiceSpec
    from limeshelf.calls.wire import CallWire
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart

#: Fraction of a replica's connection limit that all gateways together use; the replica resets
#: connections above the limit.
USED_CONNECTIONS_FRACTION = 0.9
#: Minimum number of connections per gateway, however many gateways there are.
MIN_CONNECTIONS = 4
#: Interval between checks for connections to replicas that are gone.
SWEEP_INTERVAL_S = 2.0
#: Pause before each round of probes.
PROBE_INTERVAL_S = 0.1


def connection_limit(max_connections: int, gateways: int) -> int:
    """Return the maximum number of connections from one gateway to one replica.

    :param max_connections: connections that the replica accepts in total.
    :param gateways: known number of gateways that share them; less than 1 counts as 1.
    """
    share = int(max_connections * USED_CONNECTIONS_FRACTION / max(1, gateways))
    return max(MIN_CONNECTIONS, share)


class ConnectionPool:
    """Creates the connections to a replica when the first call is sent to it.

    :ivar gateways: number of gateways that share a replica's connections, including this one;
        updated by the program. The limit of a replica's connections is fixed when they are
        created, so a change applies only to replicas that are used for the first time.
    """

    def __init__(self, wire: CallWire) -> None:
        self.gateways = 1
        self._wire = wire
        self._by_start: dict[ReplicaStart, ReplicaConnections] = {}
        self._unreachable = asyncio.Event()

    def connections(self, replica: Replica, service: ServiceSpec) -> ReplicaConnections:
        """Return the connections to a replica, created if there are none."""
        found = self._by_start.get(replica.start)
        if found is None:
            limit = connection_limit(service.max_connections, self.gateways)
            found = ReplicaConnections(replica.record.address, limit, self._wire)
            self._by_start[replica.start] = found
        return found

    async def sweep(self, directory: ReplicaDirectory) -> None:
        """Close the connections to replicas that are gone; runs until cancelled.

        Calls in progress at a replica that is considered gone may still succeed, so its
        connections stay open until these have ended.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for start in list(self._by_start):
                replica = directory.get(start.replica_id)
                if replica is None or replica.start != start:
                    # The replica has restarted, so the calls at its earlier start have failed.
                    await self._by_start.pop(start).close()
                elif replica.gone and replica.own_load.calls == 0:
                    await self._by_start.pop(start).close()

    def request_probes(self) -> None:
        """Start probing, because a replica has become unreachable."""
        self._unreachable.set()

    async def probe(self, directory: ReplicaDirectory) -> None:
        """Probe unreachable replicas until they can be reached again; runs until cancelled.

        A round ends when all of its probes have ended.
        """
        while True:
            await self._unreachable.wait()
            self._unreachable.clear()
            while any(replica.health.awaits_probe for replica in directory.all()):
                await asyncio.sleep(PROBE_INTERVAL_S)
                due = [replica for replica in directory.all() if replica.health.probe_due]
                await asyncio.gather(*(_probe(replica) for replica in due))

    async def close(self) -> None:
        """Close all connections."""
        for connections in self._by_start.values():
            await connections.close()


async def _probe(replica: Replica) -> None:
    """Open a connection and close it; a real call would be lost in a network partition."""
    host, _, port = replica.record.address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # Includes timeouts. Not logged, since probes fail repeatedly during a partition.
        replica.health.record_probe(reached=False)
        return
    writer.close()
    replica.health.record_probe(reached=True)
    log_change('replica_reached', replica=replica.replica_id)
