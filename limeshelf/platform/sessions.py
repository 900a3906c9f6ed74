"""HTTP sessions of the adapter: for requests to the store and for orders to replicas.

Calls use other sessions (:mod:`limeshelf.replicas.connections`): one per replica, with the
limits that the replica states.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

from limeshelf.util.connector import SingleCloseConnector
from limeshelf.util.http import without_silent_retry
from limeshelf.util.strict_response import use_strict_responses

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable


def open_session(
    connect_timeout_s: float,
    keepalive_s: float,
    make_socket: Callable[[Any], socket.socket],
    limit_per_host: int = 0,
    *,
    reuses_connections: bool = True,
    trace_configs: list[aiohttp.TraceConfig] | None = None,
) -> aiohttp.ClientSession:
    """Return a session that never retries a request by itself.

    The caller sets the timeout of each request.

    :param connect_timeout_s: timeout for opening a connection, in seconds.
    :param keepalive_s: time after which an idle connection is closed, in seconds.
    :param make_socket: creates the socket of a new connection.
    :param limit_per_host: maximum number of connections to one address; 0 for no limit.
    :param reuses_connections: whether a connection carries several requests. On one that carries a
        single request, no surplus answer to another request can arrive.
    :param trace_configs: notified of the progress of requests.
    """
    connector = SingleCloseConnector(
        make_socket,
        limit=0,
        limit_per_host=limit_per_host,
        **({'keepalive_timeout': keepalive_s} if reuses_connections else {'force_close': True}),
    )
    use_strict_responses(connector)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=trace_configs,
    )
    return without_silent_retry(session)
