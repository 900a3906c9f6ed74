"""TCP relays that can be cut: the links between data centres."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

#: Largest piece that a relay passes on at once. Chosen, not measured.
PIECE_BYTES = 64 << 10


class Gate:
    """One relay from a port of ours to a target."""

    def __init__(self, target: str) -> None:
        host, port = target.split(':')
        self._target = (host, int(port))
        self._writers: set[asyncio.StreamWriter] = set()
        self.cut = False

    async def open(self) -> int:
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._relay, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    def set_cut(self, cut: bool) -> None:
        """Cut all connections and refuse new ones, or end that."""
        self.cut = cut
        if cut:
            for writer in self._writers:
                writer.transport.abort()

    async def _relay(self, reader, writer) -> None:
        if self.cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))
        finally:
            for end in (writer, far_writer):
                self._writers.discard(end)
                end.close()

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(PIECE_BYTES):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            return
        finally:
            writer.close()


def gate_app() -> web.Application:
    """Return the app that opens and cuts relays."""
    gates: dict[str, Gate] = {}
    app = web.Application()

    async def open_gate(request: web.Request) -> web.Response:
        gate = Gate(msgspec.json.decode(await request.read())['target'])
        port = await gate.open()
        gates[str(port)] = gate
        return web.json_response({'port': port})

    async def cut(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        for port in body['ports']:
            gates[str(port)].set_cut(body['cut'])
        return web.Response()

    app.router.add_post('/_open', open_gate)
    app.router.add_post('/_cut', cut)
    return app
