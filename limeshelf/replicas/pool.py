"""Connections of this process to all replicas, and probes of those that may be unreachable.

Owns the connections to each start of a replica. They are opened for the first call and closed
after the start is gone. :mod:`limeshelf.replicas.health` decides when a probe is due.

A replica that cannot be connected to may be down, or this gateway may be cut off from it and
others. So some others are probed then, and more for each of these that is unreachable too:
otherwise a call would be lost at each replica in turn.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change
from limeshelf.replicas.connections import CONNECT_TIMEOUT_S, CallConnections
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.calls.routes import ServiceSpec
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
#: Replicas that are checked when another one turns out to be unreachable.
CHECKED_REPLICAS = 4
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

    def __init__(self) -> None:
        self.gateways = 1
        self._by_start: dict[ReplicaStart, CallConnections] = {}
        self._unreachable = asyncio.Event()

    def connections(self, replica: Replica, service: ServiceSpec) -> CallConnections:
        """Return the connections to a replica, created if there are none."""
        found = self._by_start.get(replica.start)
        if found is None:
            limit = connection_limit(service.max_connections, self.gateways)
            found = CallConnections(replica.record.address, limit)
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

    def check(self, replica: Replica) -> None:
        """Probe a replica that may be unreachable."""
        replica.health.request_check()
        self._unreachable.set()

    def record_unreachable(self, replica: Replica, directory: ReplicaDirectory) -> None:
        """Probe a replica that has become unreachable, and check some of the others."""
        log_change(
            'replica_unreachable', replica=replica.replica_id, service=replica.record.service
        )
        # Replicas that were heard while this one was tried are reachable.
        oldest_s = boottime_s() - CONNECT_TIMEOUT_S
        unsure = [
            other
            for other in directory.all()
            if not other.health.needs_probe and other.health.heard_s < oldest_s
        ]
        for other in random.sample(unsure, min(CHECKED_REPLICAS, len(unsure))):
            other.health.request_check()
        self._unreachable.set()

    def probe_soon(self, replicas: Iterable[Replica]) -> None:
        """Probe unreachable replicas without waiting for the end of their back-off.

        :param replicas: those that calls need now.
        """
        for replica in replicas:
            replica.health.request_probe()
        self._unreachable.set()

    async def probe(self, directory: ReplicaDirectory) -> None:
        """Probe replicas until all can be reached again; runs until cancelled.

        A round ends when all of its probes have ended.
        """
        while True:
            await self._unreachable.wait()
            self._unreachable.clear()
            while any(replica.health.needs_probe for replica in directory.all()):
                await asyncio.sleep(PROBE_INTERVAL_S)
                due = [replica for replica in directory.all() if replica.health.probe_due]
                await asyncio.gather(*(self._probe(replica, directory) for replica in due))

    async def _probe(self, replica: Replica, directory: ReplicaDirectory) -> None:
        was_unreachable = replica.health.awaits_probe
        is_reached = await _can_connect(replica.record.address)
        replica.health.record_probe(is_reached)
        if is_reached and was_unreachable:
            log_change('replica_reached', replica=replica.replica_id)
        elif not is_reached and not was_unreachable:
            self.record_unreachable(replica, directory)

    async def close(self) -> None:
        """Close all connections."""
        for connections in self._by_start.values():
            await connections.close()


async def _can_connect(address: str) -> bool:
    """Open a connection and close it; a real call would be lost in a network partition."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # Includes timeouts. Not logged, since probes fail repeatedly during a partition.
        return False
    writer.close()
    return True
