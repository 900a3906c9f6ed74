"""Header and idle time-outs close a caller's connection."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from limeshelf.calls.routes import ClientLimits
from limeshelf.gateway.connection import CallerServer

LIMITS = ClientLimits(16384, 1 << 20, header_timeout_s=0.2, idle_timeout_s=0.5)
HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n'


async def answer_after_body(request: web.BaseRequest) -> web.Response:
    await request.read()
    return web.Response(body=b'ok')


async def answer_early(request: web.BaseRequest) -> web.Response:
    return web.Response(status=413)


@pytest.mark.parametrize('name', ['_waiter', '_request_count', 'force_close'])
def test_library_has_the_attributes_relied_on(name: str) -> None:
    assert hasattr(web.RequestHandler, name)


async def connect_to(handler: object) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    server = CallerServer(handler, lambda: LIMITS, access_log=None)
    listening = await asyncio.get_running_loop().create_server(server, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    return await asyncio.open_connection(host, port)


async def closed_after_s(reader: asyncio.StreamReader) -> float:
    """Return the time until the server closes the connection, in seconds; fail after 2 s."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    async with asyncio.timeout(2):
        await reader.read()
    return loop.time() - began_s


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
    await reader.readexactly(length)
    return head


def test_head_that_stops_midway() -> None:
    async def scenario() -> None:
        reader, writer = await connect_to(answer_after_body)
        writer.write(HEAD[:20])
        assert 0.1 < await closed_after_s(reader) < 0.45
        writer.close()

    asyncio.run(scenario())


def test_head_that_comes_byte_by_byte() -> None:
    async def scenario() -> None:
        reader, writer = await connect_to(answer_after_body)
        ended = asyncio.create_task(closed_after_s(reader))
        for place in range(20):
            writer.write(HEAD[place : place + 1])
            await asyncio.sleep(0.05)
            if ended.done():
                break
        assert 0.1 < await ended < 0.45
        writer.close()

    asyncio.run(scenario())


def test_second_head_on_a_connection_is_timed_too() -> None:
    async def scenario() -> None:
        reader, writer = await connect_to(answer_after_body)
        writer.write(HEAD + b'body')
        await read_answer(reader)
        writer.write(HEAD[:20])
        assert 0.1 < await closed_after_s(reader) < 0.45
        writer.close()

    asyncio.run(scenario())


def test_connection_without_a_request() -> None:
    async def scenario() -> None:
        reader, writer = await connect_to(answer_after_body)
        assert 0.4 < await closed_after_s(reader) < 1.0
        writer.close()

    asyncio.run(scenario())


def test_connection_that_is_idle_after_an_answer() -> None:
    async def scenario() -> None:
        reader, writer = await connect_to(answer_after_body)
        writer.write(HEAD + b'body')
        await read_answer(reader)
        assert 0.4 < await closed_after_s(reader) < 1.2
        writer.close()

    asyncio.run(scenario())


def test_slow_body_is_no_slow_head() -> None:
    async def scenario() -> None:
        reader, writer = await connect_to(answer_after_body)
        writer.write(HEAD)
        for place in range(4):
            await asyncio.sleep(0.15)
            writer.write(b'body'[place : place + 1])
        assert (await read_answer(reader)).startswith(b'HTTP/1.1 200')
        writer.close()

    asyncio.run(scenario())


def test_rest_of_a_body_after_an_early_answer_starts_no_head_timer() -> None:
    """The next request on the connection is served after more than the head time-out."""

    async def scenario() -> None:
        reader, writer = await connect_to(answer_early)
        writer.write(HEAD + b'bo')
        assert (await read_answer(reader)).startswith(b'HTTP/1.1 413')
        writer.write(b'dy')
        await asyncio.sleep(0.35)
        writer.write(HEAD + b'body')
        assert (await read_answer(reader)).startswith(b'HTTP/1.1 413')
        writer.close()

    asyncio.run(scenario())
