"""TCP sockets that detect an unreachable peer within a few seconds.

Without these options, the operating system waits for minutes on a link that drops all packets.
"""

from __future__ import annotations

import array
import fcntl
import socket
import struct
import termios
from typing import Any

import attrs


@attrs.frozen
class KeepAlive:
    """When a connection is closed because nothing arrives from the other end.

    The operating system ends probing once the user timeout has passed since something last
    arrived, even after one unanswered probe, whatever the number of probes.

    :param user_timeout_ms: longest time for which sent data may stay unacknowledged, and for which
        nothing may arrive while probes are sent.
    :param idle_s: idle time after which a connection is probed.
    :param interval_s: time between two probes.
    :param probes: number of unanswered probes, if the user timeout has passed.
    """

    user_timeout_ms: int
    idle_s: int
    interval_s: int
    probes: int


#: For the store and for peers, where a lost connection costs little.
QUICK = KeepAlive(user_timeout_ms=800, idle_s=2, interval_s=1, probes=2)
#: For calls: a replica may fall silent for a second or so and go on, and its calls cannot all be
#: repeated. Outlasts a silence of 1.5 s that begins just before the first probe.
PATIENT = KeepAlive(user_timeout_ms=3200, idle_s=1, interval_s=1, probes=3)
#: ``struct linger``: enabled, with a timeout of zero, so that closing discards unsent data.
_LINGER_DISCARD = struct.pack('ii', 1, 0)


def keepalive_socket(address_info: Any, limits: KeepAlive = QUICK) -> socket.socket:
    """Return a stream socket that detects an unreachable peer.

    :param address_info: address as returned by :func:`socket.getaddrinfo`, which aiohttp passes
        to the socket factory of a connector.
    """
    family, kind, protocol, _, _ = address_info
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    keep_alive(created, limits)
    return created


def call_socket(address_info: Any) -> socket.socket:
    """Return a :func:`keepalive_socket` that outlasts a short silence of a replica.

    :param address_info: as for :func:`keepalive_socket`.
    """
    return keepalive_socket(address_info, PATIENT)


def keep_alive(connection: socket.socket, limits: KeepAlive = QUICK) -> None:
    """Set the options with which a stream socket detects an unreachable peer.

    :param connection: connected or unconnected socket, or the socket object of a transport.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.user_timeout_ms)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.idle_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, limits.interval_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.probes)


def reset_on_close_socket(address_info: Any) -> socket.socket:
    """Return a :func:`keepalive_socket` that discards unsent data when it is closed.

    Otherwise the operating system would still send the data when a network partition ends, and
    an order that was abandoned must not arrive then.

    :param address_info: as for :func:`keepalive_socket`.
    """
    created = keepalive_socket(address_info)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_DISCARD)
    return created


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Return the bytes that the operating system holds for sending; 0 if it does not tell.

    :param connection: connected stream socket, or the socket object of a transport.
    """
    count = array.array('i', [0])
    try:
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        # Only used to observe what waits; a closed connection has nothing to send.
        return 0
    return count[0]
