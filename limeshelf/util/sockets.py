"""TCP sockets that detect an unreachable peer within a few seconds.

Without these options, the operating system waits for minutes on a link that drops all packets.
"""

from __future__ import annotations

import socket
import struct
from typing import Any

#: A connection is closed if sent data is not acknowledged for this long. Short so that replicas
#: behind a network partition are detected soon.
USER_TIMEOUT_MS = 800
#: Idle time after which a connection is probed.
PROBE_IDLE_S = 2
#: Time between two probes.
PROBE_INTERVAL_S = 1
#: Number of unanswered probes after which the connection is closed.
PROBE_COUNT = 2
#: ``struct linger``: enabled, with a timeout of zero, so that closing discards unsent data.
_LINGER_DISCARD = struct.pack('ii', 1, 0)


def keepalive_socket(address_info: Any) -> socket.socket:
    """Return a stream socket that detects an unreachable peer.

    :param address_info: address as returned by :func:`socket.getaddrinfo`, which aiohttp passes
        to the socket factory of a connector.
    """
    family, kind, protocol, _, _ = address_info
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    keep_alive(created)
    return created


def keep_alive(connection: socket.socket) -> None:
    """Set the options with which a stream socket detects an unreachable peer.

    :param connection: connected or unconnected socket, or the socket object of a transport.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)


def reset_on_close_socket(address_info: Any) -> socket.socket:
    """Return a :func:`keepalive_socket` that discards unsent data when it is closed.

    Otherwise the operating system would still send the data when a network partition ends, and
    an order that was abandoned must not arrive then.

    :param address_info: as for :func:`keepalive_socket`.
    """
    created = keepalive_socket(address_info)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_DISCARD)
    return created
