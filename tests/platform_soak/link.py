"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct

CHUNK_BYTES = 1 << 16
DELAY_S = 0.15


class Harm(enum.StrEnum):
    """What the link does to its connections."""

    NONE = 'none'
    DELAY = 'delay'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSE = 'refuse'


class _Ended(Exception):
    """One side has ended the connection in order."""


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


class Link:
    """Passes connections on to a target, as well as its harm lets it."""

    def __init__(self, target: str) -> None:
        self.harm = Harm.NONE
        self.address = ''
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._healed = asyncio.Event()

    async def start(self) -> str:
        """Listen on loopback and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self.address

    def heal(self) -> None:
        """Pass on what is held up."""
        self.harm = Harm.NONE
        self._healed.set()
        self._healed = asyncio.Event()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.harm is Harm.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, back, answers=False))
                group.create_task(self._copy(there, writer, answers=True))
        except* _Ended:
            pass
        except* OSError:
            # A reset must arrive as one: to an answer without a length, an end in
            # order says that it is whole (found by seed 202, a fault of this link).
            _reset(writer)
            _reset(back)
        finally:
            self._writers -= {writer, back}
            writer.close()
            back.close()

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, answers: bool
    ) -> None:
        while data := await source.read(CHUNK_BYTES):
            if self.harm is Harm.DELAY:
                await asyncio.sleep(DELAY_S)
            while self.harm is Harm.SILENT or (answers and self.harm is Harm.ONE_WAY):
                await self._healed.wait()
            sink.write(data)
            await sink.drain()
        # An end of one side ends both; our peers never close half a connection.
        raise _Ended

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.heal()
        self.reset_all()
