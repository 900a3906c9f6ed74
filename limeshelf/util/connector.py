"""Connections of HTTP clients whose descriptor is closed once, also if they are given up.

The event loop closes the descriptor of a connection that is given up between the end of its
handshake and its first use, and leaves the socket object with the number. Once that object is
collected, the number is closed again, and by then it may be another connection's: answers then
went to callers of other requests, and processes ended (two of three plays of a day on which
processes are short of time).

Relies on a private method of aiohttp's connector, in which a connection is made;
tests/util/test_connector.py fails when a release of aiohttp drops or renames it.
"""

from __future__ import annotations

from contextvars import ContextVar
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    import asyncio
    import socket
    from collections.abc import Callable

    from aiohttp.client_proto import ResponseHandler

#: The sockets of the connection that the running task makes.
_made: ContextVar[list[socket.socket]] = ContextVar('made')


class SingleCloseConnector(aiohttp.TCPConnector):
    """Makes connections and gives them up without closing a descriptor twice.

    :param make_socket: makes the socket of a new connection.
    """

    def __init__(self, make_socket: Callable[[Any], socket.socket], **options: Any) -> None:
        def make(address_info: Any) -> socket.socket:
            made = make_socket(address_info)
            _made.get().append(made)
            return made

        super().__init__(socket_factory=make, **options)

    async def _wrap_create_connection(
        self, *arguments: Any, **options: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        made: list[socket.socket] = []
        _made.set(made)
        try:
            return await super()._wrap_create_connection(*arguments, **options)
        except BaseException:
            for one in made:
                # One that never connected was closed by its maker, and has no number left; of
                # any other, the loop has closed the descriptor.
                one.detach()
            raise
