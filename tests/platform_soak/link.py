"""A loopback TCP proxy that can impair the connections through it."""

from __future__ import annotations

import asyncio
import enum

from tests.support.resets import reset_connection

CHUNK_BYTES = 1 << 16
DELAY_S = 0.15
#: Longer than any limit of a gateway for one answer of a sound store or replica.
LONG_DELAY_S = 1.6


class Impairment(enum.StrEnum):
    """How the proxy impairs its connections; ``ONE_WAY`` holds back responses only."""

    NONE = 'none'
    DELAY = 'delay'
    LONG_DELAY = 'long_delay'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    REFUSE = 'refuse'


class _ConnectionClosed(Exception):
    """One side closed the connection normally."""


class Link:
    """Forwards connections to a target, subject to the current impairment."""

    def __init__(self, target: str) -> None:
        self.impairment = Impairment.NONE
        self.address = ''
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._restored = asyncio.Event()

    async def start(self) -> str:
        """Listen on loopback and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self.address

    def restore(self) -> None:
        """End the impairment and forward the data held back."""
        self.impairment = Impairment.NONE
        self._restored.set()
        self._restored = asyncio.Event()

    def silence_open(self) -> None:
        """Forward nothing more over the open connections; new ones are not impaired."""
        self._silenced |= self._writers

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.impairment is Impairment.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, target_writer, is_response=False))
                group.create_task(self._copy(target_reader, writer, is_response=True))
        except* _ConnectionClosed:
            pass
        except* OSError:
            # A reset must be forwarded as a reset: a normal close marks a response without a
            # length as complete.
            reset_connection(writer)
            reset_connection(target_writer)
        finally:
            self._writers -= {writer, target_writer}
            self._silenced -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_response: bool
    ) -> None:
        while data := await source.read(CHUNK_BYTES):
            if self.impairment is Impairment.DELAY:
                await asyncio.sleep(DELAY_S)
            elif self.impairment is Impairment.LONG_DELAY:
                await asyncio.sleep(LONG_DELAY_S)
            while self.impairment is Impairment.SILENT or (
                is_response and self.impairment is Impairment.ONE_WAY
            ):
                await self._restored.wait()
            if sink in self._silenced:
                await asyncio.Event().wait()
            sink.write(data)
            await sink.drain()
        # A close by one side closes both: the programs under test never half-close a connection.
        raise _ConnectionClosed

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.restore()
        self.reset_all()
