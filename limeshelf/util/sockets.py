"""TCP sockets that notice within a few seconds that the other end is out of reach.

Without these options, the system waits for minutes behind a link that drops
everything.
"""

from __future__ import annotations

import socket
import struct
from typing import Any

#: Data that is not acknowledged for this long breaks the connection. Short because of replicas
#: behind a cut.
USER_TIMEOUT_MS = 800
#: An idle connection is probed after this time.
PROBE_AFTER_S = 2
#: Time between two such probes.
PROBE_EVERY_S = 1
#: Unanswered probes that break the connection.
PROBES = 2
#: ``struct linger``: on, with no time to send what is left.
_DROP_AT_CLOSE = struct.pack('ii', 1, 0)


def keepalive_socket(address_info: Any) -> socket.socket:
    """Return a stream socket that does not hang behind a cut.

    :param address_info: as :func:`socket.getaddrinfo` returns it; the socket
        factory of aiohttp's connectors gets one.
    """
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    keep_alive(made)
    return made


def keep_alive(connection: socket.socket) -> None:
    """Make a stream socket notice that the other end is out of reach.

    :param connection: connected or not; a transport's own view of its socket will do.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def reset_on_close_socket(address_info: Any) -> socket.socket:
    """Return a :func:`keepalive_socket` whose close drops what has not been sent.

    The system would send it when a cut heals, and an order that was given up must
    not arrive then.

    :param address_info: as for :func:`keepalive_socket`.
    """
    made = keepalive_socket(address_info)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DROP_AT_CLOSE)
    return made
