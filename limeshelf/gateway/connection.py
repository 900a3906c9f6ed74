"""Applies header and idle time-outs to callers' connections.

A connection keeps the limits of the configuration that was current when it was made. Relies on
 three attributes of the HTTP library's connection that are not documented: ``_waiter``,
``_request_count`` and ``force_close``; tests/gateway/test_connection.py fails when a release
drops or renames one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import ClientLimits

#: Limits before the first configuration is known.
DEFAULT_IDLE_TIMEOUT_S = 60.0
DEFAULT_HEAD_TIMEOUT_S = 10.0


class CallerConnection(web.RequestHandler):
    """A connection that closes itself on a header time-out and on an idle time-out.

    The library closes only connections that are idle after an answer. It would keep those that
    never sent a request, or only a part of a head; 10,000 of them use up all file descriptors.

    :param limits: ``None`` before the first configuration.
    """

    __slots__ = ('_first_request_timer', '_head_timeout_s', '_head_timer', '_idle_timeout_s')

    def __init__(self, manager: web.Server, limits: ClientLimits | None, **options: Any) -> None:
        self._idle_timeout_s = (
            limits.idle_timeout_s if limits is not None else DEFAULT_IDLE_TIMEOUT_S
        )
        self._head_timeout_s = (
            limits.header_timeout_s if limits is not None else DEFAULT_HEAD_TIMEOUT_S
        )
        self._first_request_timer: asyncio.TimerHandle | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        super().__init__(manager, keepalive_timeout=self._idle_timeout_s, **options)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer for the first request."""
        super().connection_made(transport)
        self._first_request_timer = self._loop.call_later(
            self._idle_timeout_s, self._close_if_unused
        )

    def data_received(self, data: bytes) -> None:
        """Receive a part of a request; the first part of a head starts the head timer."""
        # Data that arrives while a request is answered, or its body read, begins no head.
        begins_head = self._waits_for_request and self._head_timer is None
        requests = self._request_count
        super().data_received(data)
        if self._request_count > requests:
            self._stop_head_timer()
        elif begins_head:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self._close_slow_head)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timers."""
        self._stop_head_timer()
        if self._first_request_timer is not None:
            self._first_request_timer.cancel()
        super().connection_lost(exc)

    @property
    def _waits_for_request(self) -> bool:
        if not self._request_count:
            return True
        return self._waiter is not None and not self._waiter.done()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_slow_head(self) -> None:
        self._head_timer = None
        self.force_close()

    def _close_if_unused(self) -> None:
        if not self._request_count:
            self.force_close()


class CallerServer(web.Server):
    """Creates the protocol of each caller's connection.

    :param limits: returns the current limits.
    :param options: options of each connection, under the library's names.
    """

    def __init__(
        self, handler: Any, limits: Callable[[], ClientLimits | None], **options: Any
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits
        self._options = options

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, self._limits(), loop=loop, **self._options)
