"""The connections of this process to all replicas, and probes of those out of reach.

Owns the connections by start of the replica, opened when a call first goes there and closed
after that start is gone. Relies on the directory for who is there, and on
:mod:`limeshelf.replicas.health` for when a probe is due.
"""

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
    from limeshelf.replicas.starts import ReplicaStart

#: Share of the connections that a replica takes which all gateways together open; it resets any
#: beyond its number.
USED_SHARE = 0.9
#: Connections that a gateway may open however many others there are.
LEAST_CONNECTIONS = 4
#: Time between two rounds that close connections to replicas that are gone.
SWEEP_S = 2.0
#: Time between two rounds that probe replicas whose pause is over.
PROBE_ROUND_S = 0.1


def connection_limit(max_connections: int, gateways: int) -> int:
    """Return the most connections that one gateway opens to one replica.

    :param max_connections: connections that the replica takes from all callers.
    :param gateways: gateways that share them, as known; less than 1 counts as 1.
    """
    share = int(max_connections * USED_SHARE / max(1, gateways))
    return max(LEAST_CONNECTIONS, share)


class ConnectionPool:
    """Opens connections to a replica when a call first goes there.

    :ivar gateways: how many gateways share a replica's connections, this one
        included; kept up to date by the program. Connections that are already
        open keep the limit with which they were made.
    """

    def __init__(self, wire: CallWire) -> None:
        self.gateways = 1
        self._wire = wire
        self._by_start: dict[ReplicaStart, ReplicaConnections] = {}
        self._out_of_reach = asyncio.Event()

    def connections(self, replica: Replica, service: ServiceSpec) -> ReplicaConnections:
        """Return the connections to a replica."""
        found = self._by_start.get(replica.start)
        if found is None:
            limit = connection_limit(service.max_connections, self.gateways)
            found = ReplicaConnections(replica.record.address, limit, self._wire)
            self._by_start[replica.start] = found
        return found

    async def sweep(self, directory: ReplicaDirectory) -> None:
        """Close the connections to replicas that are gone, again and again.

        Calls under way at a replica that counts as gone may still end well.
        """
        while True:
            await asyncio.sleep(SWEEP_S)
            for start in list(self._by_start):
                replica = directory.get(start.replica_id)
                if replica is None or replica.start != start:
                    # Whatever ran at an earlier start broke off with it.
                    await self._by_start.pop(start).close()
                elif replica.gone and replica.own.calls == 0:
                    await self._by_start.pop(start).close()

    def note_out_of_reach(self) -> None:
        """Note that a replica is out of reach, so that probes of it come due."""
        self._out_of_reach.set()

    async def probe(self, directory: ReplicaDirectory) -> None:
        """See, while replicas are out of reach, whether they can be reached again.

        A round lasts until each of its probes has ended.
        """
        while True:
            await self._out_of_reach.wait()
            self._out_of_reach.clear()
            while any(replica.health.awaits_probe for replica in directory.all()):
                await asyncio.sleep(PROBE_ROUND_S)
                due = [replica for replica in directory.all() if replica.health.probe_due]
                await asyncio.gather(*(_probe(replica) for replica in due))

    async def close(self) -> None:
        """Close all connections."""
        for connections in self._by_start.values():
            await connections.close()


async def _probe(replica: Replica) -> None:
    """Make a connection and close it; a real call would be lost behind a cut."""
    host, _, port = replica.record.address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # Also a time-out. Not logged: it is so again and again while a cut lasts.
        replica.health.probed(reached=False)
        return
    writer.close()
    replica.health.probed(reached=True)
    log_change('replica_reached', replica=replica.replica_id)
