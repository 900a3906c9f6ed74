"""Connections to one replica: pooled, bounded, and strict about how an answer ends.

Owns the open connections. Relies on the wire port for the headers of a call, on
two private attributes of aiohttp: the factory of a connector's protocol, and its
idle time, which the library lets nobody change later; and on its asking the
connector in the task that sends.
"""

from __future__ import annotations

import asyncio
import functools
import socket
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from limeshelf.errors import SendWithheld
from limeshelf.util.connector import SingleCloseConnector
from limeshelf.util.http import without_silent_retry
from limeshelf.util.sockets import keepalive_socket

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.connector import Connection

    from limeshelf.calls.call import Call
    from limeshelf.calls.wire import AnswerHead, CallWire, SendContext

#: Longest time for a new connection.
CONNECT_S = 0.35
#: Idle connections are closed after this time, unless the replica closes earlier.
IDLE_S = 4.0
#: How long before the replica an idle connection is closed, so that no call is sent on one that
#: the replica is closing.
IDLE_MARGIN_S = 1.0
#: Shortest idle time, for a replica that states less than the margin.
LEAST_IDLE_S = 0.1
#: Headers that the library would add; a call goes on with the caller's alone.
SKIPPED_HEADERS = frozenset({'User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type'})


class StrictResponseHandler(ResponseHandler):
    """Tells a reset from an end, and never reuses a connection with surplus bytes.

    The library takes a reset as the end of a body without length, and the loop
    reports a reset that comes together with data as an end (both in
    tests/gateway/test_path.py::test_unsafe_call_runs_once_and_is_not_called_unrun).
    It also hands out an idle connection on which something arrived unasked.
    """

    def eof_received(self) -> None:
        """Break the running body if the connection ended by a reset."""
        transport = self.transport
        raw = transport.get_extra_info('socket') if transport is not None else None
        if raw is not None and raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._break_body('reset')
        super().eof_received()

    def _break_body(self, cause: str) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f'connection lost: {cause}'))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break the running body if the connection was not ended in order."""
        if exc is not None:
            self._break_body(repr(exc))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Return whether a new exchange may start on this connection."""
        return super().is_connected() and not self._buffer and not self._tail


@attrs.define
class SendProgress:
    """How far the send of one call has come.

    :param may_send: asked once the connection is there, right before the first byte leaves: what
        the replica asks for may have changed since it was chosen.
    :ivar connected: a connection was handed to the call, so bytes of it may have left;
        before that, none has.
    """

    may_send: Callable[[], bool] = lambda: True
    connected: bool = False


#: The send that the running task is at; the library does not pass it to the connector.
_sending: ContextVar[SendProgress] = ContextVar('sending')


class NotingConnector(SingleCloseConnector):
    """Notes that a call got its connection, before the library writes a byte of it.

    A call that may no longer be sent gives the connection back.

    The library's own traces tell the same, but take some 40 us more of each call (the
    commit that brought this class).
    """

    async def connect(self, *request: Any, **limits: Any) -> Connection:
        """Return a connection for a request, new or kept.

        :raises SendWithheld: the call may no longer be sent.
        """
        connection = await super().connect(*request, **limits)
        progress = _sending.get()
        if not progress.may_send():
            connection.release()
            raise SendWithheld
        progress.connected = True
        return connection


def idle_limit_s(keep_alive_s: float) -> float:
    """Return how long an idle connection is kept.

    :param keep_alive_s: how long the replica keeps one.
    """
    return min(IDLE_S, max(LEAST_IDLE_S, keep_alive_s - IDLE_MARGIN_S))


class ReplicaConnections:
    """The client side of the connections to one replica.

    :param address: of the replica, as ``IP:PORT``.
    :param limit: the most connections that this process opens to it.
    """

    def __init__(self, address: str, limit: int, wire: CallWire) -> None:
        self.address = address
        self._wire = wire
        self._connector = NotingConnector(keepalive_socket, limit=limit, keepalive_timeout=IDLE_S)
        make: Any = functools.partial(StrictResponseHandler, loop=asyncio.get_running_loop())
        self._connector._factory = make
        session = aiohttp.ClientSession(
            connector=self._connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
        )
        self._session = without_silent_retry(session)

    async def send(
        self, call: Call, context: SendContext, progress: SendProgress
    ) -> aiohttp.ClientResponse:
        """Send *call* and return the answer as soon as its head is there.

        The caller sets the time limit.

        :param progress: is kept up to date, also where the time limit ends the send.
        :raises SendWithheld: it may no longer be sent; no byte left this process.
        :raises aiohttp.ClientConnectorError: no byte left this process.
        :raises aiohttp.ClientError: the replica may have received it.
        """
        _sending.set(progress)
        return await self._session.request(
            call.method,
            URL(f'http://{self.address}{call.target}', encoded=True),
            headers=self._wire.send_headers(call, context),
            data=call.body or None,
            allow_redirects=False,
        )

    def note_keep_alive(self, head: AnswerHead) -> None:
        """Keep idle connections for less time than the replica does."""
        if head.keep_alive_s is not None:
            self._connector._keepalive_timeout = idle_limit_s(head.keep_alive_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
