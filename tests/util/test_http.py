"""A request on a connection that is closed before the answer is sent only once."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from limeshelf.util.http import without_silent_retry


class DroppingServer:
    """Answers the first request of a connection and closes it at the second."""

    def __init__(self) -> None:
        self.requests = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await writer.drain()
        try:
            await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            pass
        else:
            self.requests += 1
        writer.close()


async def requests_of_two_calls(session: aiohttp.ClientSession) -> tuple[int, bool]:
    """Return the number of requests a server received for two calls, and if the second failed."""
    closing_server = DroppingServer()
    server = await asyncio.start_server(closing_server.serve, '127.0.0.1', 0)
    url = f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}/'
    failed = False
    async with session:
        async with session.get(url):
            pass
        try:
            async with session.get(url):
                pass
        except aiohttp.ServerDisconnectedError:
            failed = True
    server.close()
    return closing_server.requests, failed


@pytest.mark.parametrize(('retries', 'expected'), [(True, (3, False)), (False, (2, True))])
def test_call_on_a_dropped_connection_is_sent_once(
    retries: bool, expected: tuple[int, bool]
) -> None:
    """The first row shows that aiohttp still retries by default."""

    async def scenario() -> tuple[int, bool]:
        session = aiohttp.ClientSession()
        return await requests_of_two_calls(session if retries else without_silent_retry(session))

    assert asyncio.run(scenario()) == expected
