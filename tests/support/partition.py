"""A fleet whose gateways can each be cut off from all replicas, while everything else works."""

from __future__ import annotations

import asyncio
import enum
import socket
from typing import TYPE_CHECKING, Any
from unittest import mock

import attrs

from limeshelf.platform.replicas import read_record
from limeshelf.programs import components
from tests.support.fleet import FleetWorld
from tests.support.resets import reset_connection

if TYPE_CHECKING:
    from limeshelf.replicas.record import ReplicaRecord

CHUNK_BYTES = 1 << 16
#: Connections that fill the backlog of a listener that accepts none, so that further ones hang.
BACKLOG_FILL = 4


class Cut(enum.StrEnum):
    """How a gateway loses its connections to replicas."""

    #: Open connections and new ones hang.
    SILENT = 'silent'
    #: Open connections are reset, new ones refused.
    RESET = 'reset'
    #: Open connections live on, new ones are refused.
    NEW_REFUSED = 'new_refused'


class ReplicaPath:
    """The way from one gateway to one replica: a proxy that can be cut.

    :param target: address of the replica, as ``IP:PORT``.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._listener = _bound_socket(0)
        self._port: int = self._listener.getsockname()[1]
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._passes = asyncio.Event()
        self._passes.set()
        self._fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Return the address at which the gateway sees the replica."""
        return f'127.0.0.1:{self._port}'

    async def open(self) -> None:
        """Accept connections, and let bytes pass."""
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self._passes.set()
        if self._server is None:
            self._listener.close()
            self._listener = _bound_socket(self._port)
            self._server = await asyncio.start_server(self._serve, sock=self._listener)

    async def cut(self, how: Cut) -> None:
        """Cut the way."""
        assert self._server is not None
        self._server.close()
        self._server = None
        if how is Cut.SILENT:
            self._passes.clear()
            self._hang_connections()
        elif how is Cut.RESET:
            for writer in list(self._writers):
                reset_connection(writer)

    def _hang_connections(self) -> None:
        """Listen with a full backlog, so that the opening packets of connections are dropped."""
        self._listener = _bound_socket(self._port)
        self._listener.listen(0)
        for _ in range(BACKLOG_FILL):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', self._port))
            self._fillers.append(filler)

    async def close(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self._listener.close()
        for filler in self._fillers:
            filler.close()
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, to_writer}
        copies = [
            asyncio.create_task(self._copy(reader, to_writer)),
            asyncio.create_task(self._copy(to_reader, writer)),
        ]
        await asyncio.wait(copies)
        self._writers -= {writer, to_writer}

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._passes.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        else:
            writer.close()


def _bound_socket(port: int) -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(('127.0.0.1', port))
    return bound


class PartitionedFleet(FleetWorld):
    """A fleet in which each gateway has its own way to each replica."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._paths: dict[int, dict[str, ReplicaPath]] = {}

    async def start_gateway(self, number: int) -> None:
        """Start a gateway with ways of its own to the replicas that run now."""
        if number not in self._paths:
            paths = {
                replica.address: ReplicaPath(replica.address)
                for replica in [*self.plain, *self.engines]
            }
            for path in paths.values():
                await path.open()
            self._paths[number] = paths
        paths = self._paths[number]

        def read_own_record(replica_id: str, value: bytes) -> ReplicaRecord:
            record = read_record(replica_id, value)
            path = paths.get(record.address)
            return attrs.evolve(record, address=path.address) if path is not None else record

        with mock.patch.object(components, 'read_record', read_own_record):
            await super().start_gateway(number)

    async def cut_off(self, number: int, how: Cut) -> None:
        """Cut a gateway off from all replicas."""
        for path in self._paths[number].values():
            await path.cut(how)

    async def reconnect(self, number: int) -> None:
        """Let a gateway reach all replicas again."""
        for path in self._paths[number].values():
            await path.open()

    async def __aexit__(self, *details: object) -> None:
        await super().__aexit__(*details)
        for paths in self._paths.values():
            for path in paths.values():
                await path.close()
