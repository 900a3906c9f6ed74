"""Connection pool for one replica or gateway, with strict checks of how a response ends.

Owns the open connections. Uses a private attribute of aiohttp's connector, which it does not
allow to be changed after creation: the keep-alive timeout. Also relies on aiohttp calling the
connector in the task that sends the request.
"""

from __future__ import annotations

from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, cast

import aiohttp
import attrs
from yarl import URL

from limeshelf.errors import SendWithheld
from limeshelf.util.connector import SingleCloseConnector
from limeshelf.util.http import without_silent_retry
from limeshelf.util.sockets import call_socket
from limeshelf.util.strict_response import StrictResponseHandler, use_strict_responses

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp.connector import Connection

    from limeshelf.calls.call import Call
    from limeshelf.calls.wire import AnswerHead

#: Timeout for opening a connection.
CONNECT_TIMEOUT_S = 0.35
#: Longest time that an idle connection is kept; shorter if the replica closes it earlier.
MAX_IDLE_S = 4.0
#: Idle connections are closed this long before the replica would close them, so that no call is
#: sent on a connection that is being closed.
IDLE_MARGIN_S = 1.0
#: Shortest idle timeout, for a replica whose keep-alive time is below the margin.
MIN_IDLE_S = 0.1
#: A connection on which this many calls were not served is closed, so that it need not remember
#: more of them.
MAX_UNSERVED_CALLS = 64
#: Data of one answer that is buffered until it is read.
READ_BUFFER_BYTES = 1 << 16
#: Lets the operating system choose the port from which to connect.
ANY_PORT = 0
#: Headers that aiohttp would add; only the caller's own headers are forwarded.
SKIPPED_HEADERS = frozenset({'User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type'})


class CallConnection(StrictResponseHandler):
    """One connection, which carries no call a second time.

    A surplus copy of the answer to a call's first attempt carries the id of the call, so on this
    connection it could not be told from the answer to a later attempt.

    :ivar calls: number of calls that were sent on it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.calls = 0
        self._unserved_ids: set[str] = set()

    def record_unserved(self, call_id: str) -> None:
        """Record that the answer to a call was one after which the call may be sent again."""
        self._unserved_ids.add(call_id)

    def may_carry(self, call_id: str) -> bool:
        """Return whether a call may be sent on this connection."""
        return call_id not in self._unserved_ids and len(self._unserved_ids) < MAX_UNSERVED_CALLS


@attrs.define
class SendProgress:
    """Progress of sending one call.

    :param call_id: id of the call.
    :param may_send: called when the connection is ready, right before the first byte is sent,
        because the replica may have requested backpressure since it was selected.
    :ivar connection: the connection to which the call has been assigned; ``None`` before. Until
        then no byte of it has been sent; afterwards some may have been.
    :ivar is_first_call: whether that connection has carried no other call.
    """

    call_id: str
    may_send: Callable[[], bool] = lambda: True
    connection: CallConnection | None = None
    is_first_call: bool = False

    @property
    def connected(self) -> bool:
        """Return whether some bytes of the call may have been sent."""
        return self.connection is not None


#: Progress of the send in the current task; aiohttp does not pass it to the connector.
_sending: ContextVar[SendProgress] = ContextVar('sending')


class ProgressConnector(SingleCloseConnector):
    """Marks a call as connected before aiohttp writes its first byte.

    The connection of a call that may no longer be sent is released.

    aiohttp's trace hooks could do the same, but add about 40 us to each call.
    """

    async def connect(self, *request: Any, **limits: Any) -> Connection:
        """Return a new or pooled connection for a request.

        :raises SendWithheld: the call may no longer be sent.
        """
        progress = _sending.get()
        while True:
            connection = await super().connect(*request, **limits)
            protocol = cast('CallConnection', connection.protocol)
            if protocol.may_carry(progress.call_id):
                break
            connection.close()
        if not progress.may_send():
            connection.release()
            raise SendWithheld
        progress.connection = protocol
        progress.is_first_call = not protocol.calls
        protocol.calls += 1
        return connection


def idle_timeout_s(keep_alive_s: float) -> float:
    """Return after how long an idle connection is closed.

    :param keep_alive_s: after how long the replica closes it.
    """
    return min(MAX_IDLE_S, max(MIN_IDLE_S, keep_alive_s - IDLE_MARGIN_S))


class CallConnections:
    """Sends calls to one replica, or to another gateway, over pooled connections.

    :param address: where it listens, as ``IP:PORT``.
    :param limit: maximum number of connections of this process to it.
    :param source_ip: address from which to connect; empty for any of this host.
    """

    def __init__(self, address: str, limit: int, source_ip: str = '') -> None:
        self.address = address
        self._connector = ProgressConnector(
            call_socket,
            limit=limit,
            keepalive_timeout=MAX_IDLE_S,
            local_addr=(source_ip, ANY_PORT) if source_ip else None,
        )
        use_strict_responses(self._connector, CallConnection)
        session = aiohttp.ClientSession(
            connector=self._connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._session = without_silent_retry(session)

    async def send(
        self, call: Call, headers: list[tuple[str, str]], progress: SendProgress
    ) -> aiohttp.ClientResponse:
        """Send *call* and return the response as soon as its head has arrived.

        The timeout is set by the code that calls this.

        :param headers: all headers to send.
        :param progress: updated during the send, and valid also after a timeout.
        :raises SendWithheld: the call may no longer be sent; no byte of it was sent.
        :raises aiohttp.ClientConnectorError: no byte of the call was sent.
        :raises aiohttp.ClientError: the replica may have received the call.
        """
        _sending.set(progress)
        return await self._session.request(
            call.method,
            URL(f'http://{self.address}{call.target}', encoded=True),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
        )

    def apply_keep_alive(self, head: AnswerHead) -> None:
        """Set the idle timeout from the keep-alive time in a response, if there is one."""
        if head.keep_alive_s is not None:
            self._connector._keepalive_timeout = idle_timeout_s(head.keep_alive_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
