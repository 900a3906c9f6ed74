"""How a connection to a replica ended, as the transport tells it."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.streams import StreamReader

from limeshelf.replicas.connections import StrictResponseHandler


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
