"""Sends the answer to one caller, so that the caller can tell a complete one from a truncated one.

Owns the response of one request; relies on the HTTP library for framing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, cast

from aiohttp import web
from multidict import CIMultiDict

from limeshelf.errors import LimeshelfError
from limeshelf.metrics.event_log import log_request
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.gateway.buffer_budget import BufferShare
    from limeshelf.gateway.connection import CallerConnection

#: Time in which a caller must have read a whole answer.
READ_TIMEOUT_S = 120.0


class CallerDisconnected(LimeshelfError):
    """The caller closed its connection before its answer was complete."""


class Answer(Protocol):
    """Interface through which the pipeline answers a call.

    Every method that sends raises :exc:`CallerDisconnected` once the caller has closed its
    connection.

    :ivar started: whether the head was sent; the status can no longer change then.
    :ivar buffers: memory that the call and its answer hold.
    """

    started: bool
    buffers: BufferShare

    async def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head of an answer whose length is not known in advance."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body, which completes the answer."""

    async def send_whole(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete answer."""

    def abort(self) -> None:
        """Reset the connection, so that the caller sees that the answer is truncated."""


class HttpAnswer:
    """An answer on an HTTP connection.

    :param close_connection: whether to close the caller's connection after the answer.
    :ivar started: see :class:`Answer`.
    :ivar buffers: see :class:`Answer`.
    :ivar response: ``None`` until the head is sent.
    """

    def __init__(self, request: web.BaseRequest, close_connection: bool) -> None:
        self.started = False
        self.buffers = cast('CallerConnection', request.protocol).buffers
        self.response: web.StreamResponse | None = None
        self._request = request
        self._close_connection = close_connection

    async def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head of an answer whose length is not known in advance."""
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        response.enable_chunked_encoding()
        await self._send_head(response)

    async def _send_head(self, response: web.StreamResponse) -> None:
        if self._close_connection:
            response.force_close()
        self.started = True
        self.response = response
        try:
            await response.prepare(self._request)
        except ConnectionError:
            raise CallerDisconnected from None

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        assert self.response is not None
        try:
            await self.response.write(data)
        except ConnectionError:
            raise CallerDisconnected from None

    async def finish(self) -> None:
        """End the body, which completes the answer."""
        assert self.response is not None
        await self._write_eof(self.response)

    async def send_whole(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete answer."""
        response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
        try:
            # A caller that does not read its answer holds it in memory.
            with self.buffers.transfer(self.abort):
                async with boot_timeout(READ_TIMEOUT_S):
                    await self._send_head(response)
                    await self._write_eof(response)
        except TimeoutError:
            log_request('answer_not_read', size_bytes=len(body))
            self.abort()
            raise CallerDisconnected from None

    async def _write_eof(self, response: web.StreamResponse) -> None:
        try:
            await response.write_eof()
        except ConnectionError:
            raise CallerDisconnected from None

    def abort(self) -> None:
        """Reset the connection, so that the caller sees that the answer is truncated."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()
