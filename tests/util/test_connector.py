"""A connection that is given up as it is made closes its descriptor once."""

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


def test_private_method_of_the_library_is_there() -> None:
    assert asyncio.iscoroutinefunction(aiohttp.TCPConnector._wrap_create_connection)


@attrs.frozen
class Made:
    """A socket and what its descriptor is.

    :ivar inode: names the connection behind the number, which another one may get.
    """

    socket: socket.socket
    inode: int

    @classmethod
    def from_address(cls, address_info: Any) -> Made:
        made = keepalive_socket(address_info)
        return cls(made, os.fstat(made.fileno()).st_ino)

    def is_closed_behind(self) -> bool:
        """Return whether the object still has its number, and the connection is closed."""
        if self.socket.fileno() == -1:
            return False
        try:
            return os.fstat(self.socket.fileno()).st_ino != self.inode
        except OSError:
            return True


async def give_up_at_first_use(connector: aiohttp.TCPConnector, url: str) -> None:
    """Ask for something, and give it up as the connection is handed to its protocol."""
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
def test_no_socket_is_left_with_a_number_that_is_closed(guarded: bool) -> None:
    """With the library's own connector some are; if that ends, this class can go."""
    sockets: list[Made] = []

    def make(address_info: Any) -> socket.socket:
        sockets.append(Made.from_address(address_info))
        return sockets[-1].socket

    async def play() -> int:
        server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        url = f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}'
        connector = (
            SingleCloseConnector(make) if guarded else aiohttp.TCPConnector(socket_factory=make)
        )
        await give_up_at_first_use(connector, url)
        server.close()
        return sum(one.is_closed_behind() for one in sockets)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        left = runner.run(play())
        for one in sockets:
            if one.is_closed_behind():
                one.socket.detach()
    assert len(sockets) == 1
    assert bool(left) is not guarded
