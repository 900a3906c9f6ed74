"""Tests that the soak's proxy forwards a close as a close and a reset as a reset."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from tests.platform_soak.link import Link


@pytest.mark.parametrize('resets', [False, True])
def test_close_and_reset_are_forwarded_unchanged(resets: bool) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b'half')
        await writer.drain()
        await asyncio.sleep(0.05)
        if resets:
            raw = writer.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            writer.transport.abort()
        writer.close()

    async def read_through_link() -> bytes:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        link = Link(f'{host}:{port}')
        target, _, number = (await link.start()).rpartition(':')
        reader, writer = await asyncio.open_connection(target, int(number))
        try:
            return await reader.read()
        finally:
            writer.close()
            await link.close()
            server.close()

    if resets:
        with pytest.raises(ConnectionResetError):
            asyncio.run(read_through_link())
    else:
        assert asyncio.run(read_through_link()) == b'half'
