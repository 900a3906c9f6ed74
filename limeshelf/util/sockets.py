"""Sockets that notice within a second or two that the other end is out of reach."""

from __future__ import annotations

import socket
import struct
from typing import Any

#: Unacknowledged data breaks the connection after this time.
USER_TIMEOUT_MS = 800
#: An idle connection is probed after this time, and this often.
PROBE_AFTER_S = 2
PROBE_EVERY_S = 1
PROBES = 2


def forgetting_socket(address_info: Any) -> socket.socket:
    """Return a lasting socket whose close drops what a cut holds up.

    An order that was given up must not arrive when the cut heals.
    """
    made = lasting_socket(address_info)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    return made


def lasting_socket(address_info: Any) -> socket.socket:
    """Return a stream socket for *address_info* that does not hang behind a cut."""
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    return made
