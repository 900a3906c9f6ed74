"""How a connection to a replica ended, as the transport reports it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.streams import StreamReader

from limeshelf.calls.call import Call
from limeshelf.calls.wire import SendContext
from limeshelf.errors import SendWithheld
from limeshelf.platform.wire import PlatformWire
from limeshelf.replicas.connections import ReplicaConnections, SendProgress, StrictResponseHandler
from standins.users_platform.replica import Fault, ReplicaStandIn


class Socket:
    def __init__(self, error: int) -> None:
        self.error = error

    family = 0
    type = 0
    proto = 0

    def setsockopt(self, *_: int) -> None: ...

    def getsockopt(self, *_: int) -> int:
        return self.error


class Transport(asyncio.Transport):
    def __init__(self, error: int) -> None:
        super().__init__({'socket': Socket(error)})

    def close(self) -> None: ...

    def is_closing(self) -> bool:
        return False


def body_after(error: int, lost: BaseException | None) -> bytes:
    async def play() -> bytes:
        handler = StrictResponseHandler(asyncio.get_running_loop())
        handler.connection_made(Transport(error))
        handler.set_response_params(read_until_eof=True)
        handler.data_received(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf')
        message: Any = await handler.read()
        payload: StreamReader = message[1]
        handler.eof_received()
        handler.connection_lost(lost)
        return await payload.read()

    return asyncio.run(play())


def test_end_in_order_completes_a_body_without_length() -> None:
    assert body_after(0, None) == b'half'


def test_reset_that_looks_like_an_end_is_none() -> None:
    with pytest.raises(ClientPayloadError):
        body_after(104, None)


def test_reset_is_no_end() -> None:
    with pytest.raises(ClientPayloadError):
        body_after(0, ConnectionResetError())


def test_connection_with_surplus_bytes_is_not_used_again() -> None:
    async def play() -> bool:
        handler = StrictResponseHandler(asyncio.get_running_loop())
        handler.connection_made(Transport(0))
        assert handler.is_connected()
        handler.data_received(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        return handler.is_connected()

    assert not asyncio.run(play())


def test_progress_tells_whether_a_connection_was_handed_to_the_call() -> None:
    """New, kept and none free; a connection that answers nothing is one all the same.

    A call that may not be sent after all leaves no byte on its connection, which is kept.
    """

    async def play() -> None:
        replica = ReplicaStandIn('p-1')
        connections = ReplicaConnections(await replica.start(), 1, PlatformWire())
        facts = SendContext(1.0, 'p-1', 0, None)

        async def send(call_id: str, limit_s: float, **options: Any) -> SendProgress:
            progress = SendProgress(**options)
            headers = (('Limeshelf-Attempt-Id', call_id),)
            call = Call(call_id, 'GET', 'h', '/x', headers, b'', 0.0, None, None, None)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    response = await connections.send(call, facts, progress)
                    await response.read()
            return progress

        assert (await send('new', 5.0)).connected
        with pytest.raises(SendWithheld):
            await send('withheld', 5.0, may_send=lambda: False)
        replica.fault = Fault.SILENT
        kept = asyncio.create_task(send('kept', 1.0))
        while len(replica.runs) < 2:
            await asyncio.sleep(0.01)
        assert not (await send('waits', 0.1)).connected
        assert (await kept).connected
        assert replica.runs == ['new', 'kept']
        await connections.close()
        await replica.close()

    asyncio.run(play())
