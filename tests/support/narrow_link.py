"""A loopback TCP proxy whose way back from the target carries few bytes per second."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 1 << 13


class NarrowLink:
    """Forwards connections to a target; all answers share one bandwidth.

    :param bytes_per_s: bandwidth of the answers.
    """

    def __init__(self, target: str, bytes_per_s: float) -> None:
        self._host, _, port = target.rpartition(':')
        self._port = int(port)
        self._bytes_per_s = bytes_per_s
        self._turn = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen on loopback and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        target_reader, target_writer = await asyncio.open_connection(self._host, self._port)
        back = asyncio.create_task(self._carry_back(target_reader, writer))
        try:
            with contextlib.suppress(OSError):
                while data := await reader.read(CHUNK_BYTES):
                    target_writer.write(data)
        finally:
            back.cancel()
            self._tasks.discard(task)
            writer.close()
            target_writer.close()

    async def _carry_back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            async with self._turn:
                await asyncio.sleep(len(data) / self._bytes_per_s)
            writer.write(data)
        writer.close()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
