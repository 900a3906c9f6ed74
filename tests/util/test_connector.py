"""A connection that is cancelled while it is opened closes its descriptor once."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

import aiohttp
import attrs
import pytest
import uvloop

from limeshelf.util.connector import SingleCloseConnector
from limeshelf.util.sockets import keepalive_socket


def test_private_method_of_aiohttp_exists() -> None:
    assert asyncio.iscoroutinefunction(aiohttp.TCPConnector._wrap_create_connection)


@attrs.frozen
class TrackedSocket:
    """A socket and the identity of its connection.

    :ivar inode: inode of the connection; the descriptor number alone may be reused.
    """

    socket: socket.socket
    inode: int

    @classmethod
    def from_address(cls, address_info: Any) -> TrackedSocket:
        created = keepalive_socket(address_info)
        return cls(created, os.fstat(created.fileno()).st_ino)

    def has_stale_descriptor(self) -> bool:
        """Return whether the object still holds a descriptor whose connection is closed."""
        if self.socket.fileno() == -1:
            return False
        try:
            return os.fstat(self.socket.fileno()).st_ino != self.inode
        except OSError:
            return True


async def cancel_at_first_use(connector: aiohttp.TCPConnector, url: str) -> None:
    """Send a request and cancel it when the connection is passed to its protocol."""
    loop = asyncio.get_running_loop()
    make_protocol = connector._factory
    async with aiohttp.ClientSession(connector=connector) as session:
        request = asyncio.create_task(session.get(url))

        def make() -> Any:
            loop.call_soon(request.cancel)
            return make_protocol()

        connector._factory = make
        with pytest.raises(asyncio.CancelledError):
            await request
        await asyncio.sleep(0)


@pytest.mark.parametrize('guarded', [True, False])
def test_no_socket_is_left_with_a_stale_descriptor(guarded: bool) -> None:
    """The unguarded row shows that aiohttp still leaves one; if it fails, drop the connector."""
    sockets: list[TrackedSocket] = []

    def make(address_info: Any) -> socket.socket:
        sockets.append(TrackedSocket.from_address(address_info))
        return sockets[-1].socket

    async def scenario() -> int:
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        url = f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}'
        connector = (
            SingleCloseConnector(make) if guarded else aiohttp.TCPConnector(socket_factory=make)
        )
        await cancel_at_first_use(connector, url)
        server.close()
        return sum(one.has_stale_descriptor() for one in sockets)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        stale_descriptors = runner.run(scenario())
        for one in sockets:
            if one.has_stale_descriptor():
                one.socket.detach()
    assert len(sockets) == 1
    assert bool(stale_descriptors) is not guarded
