"""Detection of how a connection to a replica ended, and of when a call was connected."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.streams import StreamReader

from limeshelf.calls.call import Call
from limeshelf.errors import SendWithheld
from limeshelf.replicas.connections import CallConnections, SendProgress
from limeshelf.util.strict_response import StrictResponseHandler
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
    async def scenario() -> bytes:
        handler = StrictResponseHandler(asyncio.get_running_loop())
        handler.connection_made(Transport(error))
        handler.set_response_params(read_until_eof=True)
        handler.data_received(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf')
        message: Any = await handler.read()
        payload: StreamReader = message[1]
        handler.eof_received()
        handler.connection_lost(lost)
        return await payload.read()

    return asyncio.run(scenario())


def test_clean_end_completes_a_body_without_length() -> None:
    assert body_after(0, None) == b'half'


def test_reset_that_is_reported_as_an_end_fails_the_body() -> None:
    with pytest.raises(ClientPayloadError):
        body_after(104, None)


def test_reset_fails_the_body() -> None:
    with pytest.raises(ClientPayloadError):
        body_after(0, ConnectionResetError())


def test_connection_with_surplus_bytes_is_not_used_again() -> None:
    async def scenario() -> bool:
        handler = StrictResponseHandler(asyncio.get_running_loop())
        handler.connection_made(Transport(0))
        assert handler.is_connected()
        handler.data_received(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        return handler.is_connected()

    assert not asyncio.run(scenario())


def test_progress_shows_whether_the_call_was_assigned_a_connection() -> None:
    """Covers new and pooled connections, and none available.

    A connection on which no response arrives counts as assigned. A call that is withheld writes
    no byte to its connection, which returns to the pool.
    """

    async def scenario() -> None:
        replica = ReplicaStandIn('p-1')
        connections = CallConnections(await replica.start(), 1)

        async def send(call_id: str, limit_s: float, **options: Any) -> SendProgress:
            progress = SendProgress(call_id, **options)
            headers = [('Limeshelf-Attempt-Id', call_id)]
            call = Call(call_id, 'GET', 'h', '/x', (), b'', 0.0, None, None, None)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    response = await connections.send(call, headers, progress)
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

    asyncio.run(scenario())
