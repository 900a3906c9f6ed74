"""The answer to one caller; it is whole, or it visibly is not.

Owns what went out on one exchange with a caller; relies on the HTTP library for framing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from aiohttp import web
from multidict import CIMultiDict

from limeshelf.errors import LimeshelfError

if TYPE_CHECKING:
    from collections.abc import Iterable


class CallerDisconnected(LimeshelfError):
    """The caller has closed its connection; there is nobody to answer."""


class Answer(Protocol):
    """Where the pipeline puts the answer to a call.

    Every method that sends raises :exc:`CallerDisconnected` once the caller has closed its
    connection.

    :ivar started: the head is out, so the status can no longer change.
    """

    started: bool

    async def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head of an answer whose length is not known."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body, which makes the answer whole."""

    async def send_whole(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole answer."""

    def abort(self) -> None:
        """Reset the connection, so that the caller cannot take the answer for whole."""


class HttpAnswer:
    """An answer on an HTTP connection.

    :param closing: whether the answer closes the caller's connection.
    :ivar started: see :class:`Answer`.
    :ivar response: ``None`` until the head is out.
    """

    def __init__(self, request: web.BaseRequest, close_connection: bool) -> None:
        self.started = False
        self.response: web.StreamResponse | None = None
        self._request = request
        self._close_connection = close_connection

    async def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head of an answer whose length is not known."""
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
        """End the body, which makes the answer whole."""
        assert self.response is not None
        await self._write_eof(self.response)

    async def send_whole(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole answer."""
        response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
        await self._send_head(response)
        await self._write_eof(response)

    async def _write_eof(self, response: web.StreamResponse) -> None:
        try:
            await response.write_eof()
        except ConnectionError:
            raise CallerDisconnected from None

    def abort(self) -> None:
        """Reset the connection, so that the caller cannot take the answer for whole."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()
