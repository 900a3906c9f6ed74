"""Creates the protocol of each caller's connection; bounds the number of connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

from limeshelf.gateway.connection import CallerConnection
from limeshelf.gateway.slowdown import Slowdown
from limeshelf.metrics.event_log import log_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import ClientLimits
    from limeshelf.gateway.buffer_budget import BufferBudget


class CallerServer(web.Server):
    """The connections of one listener.

    :param limits: returns the current limits; ``None`` before the first configuration.
    :param budget: memory for the requests and answers of all connections.
    :param max_connections: connections beyond which unused ones are closed.
    :param are_limits_outdated: returns whether a newer configuration may have raised the limits.
    :param options: options of each connection, under the library's names.
    """

    def __init__(
        self,
        handler: Any,
        limits: Callable[[], ClientLimits | None],
        budget: BufferBudget,
        max_connections: int,
        are_limits_outdated: Callable[[], bool] = lambda: False,
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._budget = budget
        self._slowdown = Slowdown()
        self._max_connections = max_connections
        self._limits = limits
        self._are_limits_outdated = are_limits_outdated
        self._options = options

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            self._limits,
            self._budget.open_share(),
            self._slowdown,
            self._are_limits_outdated,
            loop=asyncio.get_running_loop(),
            **self._options,
        )

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Add a connection; close one that waits for a request if there are too many."""
        super().connection_made(handler, transport)
        connections = self.connections
        if len(connections) <= self._max_connections:
            return
        log_request('connections_full', connections=len(connections))
        others = (one for one in connections if one is not handler)
        unused = (one for one in others if isinstance(one, CallerConnection) and one.is_unused)
        next(unused, handler).force_close()
