"""HTTP client connections that tell whole and valid answers from others.

Uses a private attribute of aiohttp's connector, the protocol factory, which has no public option;
tests/standalone/upstreams/test_broken_answers.py and tests/gateway/test_broken_answers.py fail
when a release of aiohttp removes or renames it.
"""

from __future__ import annotations

import asyncio
import functools
import socket
from typing import TYPE_CHECKING, Any

from aiohttp.client_exceptions import ClientPayloadError, ServerDisconnectedError
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import aiohttp
    from aiohttp.http_parser import RawResponseMessage

#: Received data is parsed in pieces of this size, so that limits apply before much is parsed.
PIECE_BYTES = 1 << 12
#: Answers, interim ones included, that may wait to be read. There is one call at a time.
MAX_UNREAD_ANSWERS = 32
#: Statuses of answers (RFC 9110, section 15), interim ones included...
MIN_STATUS = 100
MAX_STATUS = 599
#: ...but for the one that follows a request to upgrade, which is never sent.
STATUS_SWITCHING_PROTOCOLS = 101
HTTP_MAJOR_VERSION = 1


def is_answer(message: RawResponseMessage) -> bool:
    """Return whether the first line of an answer is one of HTTP/1, with a status that exists."""
    return (
        MIN_STATUS <= message.code <= MAX_STATUS
        and message.code != STATUS_SWITCHING_PROTOCOLS
        and message.version.major == HTTP_MAJOR_VERSION
    )


class StrictResponseHandler(ResponseHandler):
    """Reports resets and invalid heads as errors, and reuses no connection with surplus bytes.

    A connection on which answers arrive faster than they are read is closed: the library would
    keep them all.

    aiohttp treats a reset as the end of a body without a length, and the event loop reports a
    reset that arrives together with data as end of file (both are covered by
    tests/gateway/test_path.py::test_unsafe_call_runs_once_and_is_not_reported_as_not_run).
    aiohttp also reuses an idle connection on which unexpected bytes have arrived.
    """

    def data_received(self, data: bytes) -> None:
        """Receive a part of an answer."""
        if not data:
            # The library parses what it has kept while it was paused.
            super().data_received(data)
        for start in range(0, len(data), PIECE_BYTES):
            if len(self._buffer) > MAX_UNREAD_ANSWERS:
                self._refuse_answers('too many answers')
                return
            super().data_received(data[start : start + PIECE_BYTES])

    def feed_data(self, data: tuple[RawResponseMessage, Any], size: int = 0) -> None:
        """Queue the head of an answer and its body for the call that waits for it."""
        message, _ = data
        if is_answer(message):
            super().feed_data(data, size)
        else:
            self._refuse_answers(f'no answer: status {message.code}')

    def _refuse_answers(self, reason: str) -> None:
        self._buffer.clear()
        self.set_exception(ServerDisconnectedError(reason))
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """Fail the body being read if the connection was reset."""
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
        """Fail the body being read if the connection was not closed cleanly."""
        if exc is not None:
            self._break_body(repr(exc))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Return whether this connection may be reused for a new request."""
        return super().is_connected() and not self._buffer and not self._tail


def use_strict_responses(
    connector: aiohttp.TCPConnector, handler: type[StrictResponseHandler] = StrictResponseHandler
) -> None:
    """Let the new connections of *connector* be of the class *handler*."""
    make: Any = functools.partial(handler, loop=asyncio.get_running_loop())
    connector._factory = make
