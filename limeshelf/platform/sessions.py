"""HTTP sessions of the adapter: towards the store, and for orders to replicas.

Calls go over sessions of their own (:mod:`limeshelf.replicas.connections`), one
a replica and with limits that the replica states.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

from limeshelf.util.connector import SingleCloseConnector
from limeshelf.util.http import without_silent_retry

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable


def open_session(
    connect_s: float,
    idle_s: float,
    make_socket: Callable[[Any], socket.socket],
    limit_per_host: int = 0,
) -> aiohttp.ClientSession:
    """Return a session that repeats nothing by itself.

    The caller sets the time limit of each exchange.

    :param connect_s: longest time for a new connection, in seconds.
    :param idle_s: an unused connection is closed after this time, in seconds.
    :param make_socket: makes the socket of a new connection.
    :param limit_per_host: connections to one address; 0 for no limit.
    """
    connector = SingleCloseConnector(
        make_socket, limit=0, limit_per_host=limit_per_host, keepalive_timeout=idle_s
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    return without_silent_retry(session)
