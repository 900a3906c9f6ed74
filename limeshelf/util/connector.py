"""An HTTP client connector that closes each descriptor only once, even if a request is cancelled.

If a request is cancelled between the end of the connection's handshake and its first use, the
event loop closes the descriptor, but the socket object still holds its number. When that object
is garbage collected, the number is closed again, although it may belong to another connection by
then. Answers then reached callers of other requests, and processes crashed (in two of three runs
of a load on which processes are short of CPU time).

Depends on a private method of aiohttp's connector, which creates a connection;
tests/util/test_connector.py fails when a release of aiohttp removes or renames it.
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

#: The sockets of the connection that the current task is opening.
_opened_sockets: ContextVar[list[socket.socket]] = ContextVar('made')


class SingleCloseConnector(aiohttp.TCPConnector):
    """Opens connections and abandons them without closing a descriptor twice.

    :param make_socket: creates the socket of a new connection.
    """

    def __init__(self, make_socket: Callable[[Any], socket.socket], **options: Any) -> None:
        def make(address_info: Any) -> socket.socket:
            made = make_socket(address_info)
            _opened_sockets.get().append(made)
            return made

        super().__init__(socket_factory=make, **options)

    async def _wrap_create_connection(
        self, *arguments: Any, **options: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        made: list[socket.socket] = []
        _opened_sockets.set(made)
        try:
            return await super()._wrap_create_connection(*arguments, **options)
        except BaseException:
            for one in made:
                # A socket that never connected is closed already and holds no descriptor. For
                # any other, the event loop has closed the descriptor.
                one.detach()
            raise
