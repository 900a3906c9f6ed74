"""TCP relays that simulate the links between data centres and can be cut."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

#: Largest chunk that a relay forwards at once.
CHUNK_BYTES = 64 << 10


class Relay:
    """A TCP relay from a local port to a target address."""

    def __init__(self, target: str) -> None:
        host, port = target.split(':')
        self._target = (host, int(port))
        self._writers: set[asyncio.StreamWriter] = set()
        self.cut = False

    async def open(self) -> int:
        """Start listening and return the port."""
        self._server = await asyncio.start_server(self._relay, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    def set_cut(self, cut: bool) -> None:
        """Abort all connections and refuse new ones, or accept them again."""
        self.cut = cut
        if cut:
            for writer in self._writers:
                writer.transport.abort()

    async def _relay(self, reader, writer) -> None:
        if self.cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy(reader, target_writer), self._copy(target_reader, writer)
            )
        finally:
            for end in (writer, target_writer):
                self._writers.discard(end)
                end.close()

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            return
        finally:
            writer.close()


def relay_app() -> web.Application:
    """Return the web application that opens and cuts relays."""
    relays: dict[str, Relay] = {}
    app = web.Application()

    async def open_relay(request: web.Request) -> web.Response:
        relay = Relay(msgspec.json.decode(await request.read())['target'])
        port = await relay.open()
        relays[str(port)] = relay
        return web.json_response({'port': port})

    async def cut(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        for port in body['ports']:
            relays[str(port)].set_cut(body['cut'])
        return web.Response()

    app.router.add_post('/_open', open_relay)
    app.router.add_post('/_cut', cut)
    return app
