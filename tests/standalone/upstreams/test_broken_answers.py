"""Answers of upstreams that end early are never taken for complete, on our native protocol."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from multidict import CIMultiDict

from limeshelf.errors import ExchangeBroken
from limeshelf.standalone.upstreams.http import open_session
from limeshelf.standalone.upstreams.plain import HttpPlainClient, PlainCall
from tests.support.resets import reset_connection

WHOLE = b'HTTP/1.1 200 OK\r\nX-Some: value\r\nContent-Length: 2\r\n\r\nok'
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Some: value\r\n\r\nhalf an ans'
CUTS = [WHOLE[:length] for length in (0, 5, 15, 17, 30, len(WHOLE) - 6, len(WHOLE) - 1)]


async def _call(script: bytes, *, reset: bool) -> bytes:
    """Return the body of an answer that consists of *script* and the end of its connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(script)
        await writer.drain()
        if reset:
            await asyncio.sleep(0.05)
            reset_connection(writer)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    shared, fresh = open_session(1.0), open_session(1.0, reuse=False)
    client = HttpPlainClient('u', f'127.0.0.1:{port}', shared, fresh)
    try:
        call = PlainCall('POST', '/x', CIMultiDict(), b'', 5.0)
        async with client.send(call, repeatable=False) as answer:
            return await answer.read()
    finally:
        await shared.close()
        await fresh.close()
        server.close()


def _run(script: bytes, *, reset: bool) -> bytes:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_call(script, reset=reset))


@pytest.mark.parametrize('reset', [False, True])
@pytest.mark.parametrize('script', CUTS, ids=len)
def test_answer_that_ends_in_its_head_or_body_is_no_answer(script: bytes, reset: bool) -> None:
    with pytest.raises(ExchangeBroken):
        _run(script, reset=reset)


def test_answer_without_a_length_ends_with_its_connection_unless_that_is_reset() -> None:
    assert _run(UNFRAMED, reset=False) == b'half an ans'
    with pytest.raises(ExchangeBroken):
        _run(UNFRAMED, reset=True)
