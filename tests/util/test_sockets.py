"""Options of sockets that detect an unreachable peer."""

from __future__ import annotations

import socket
import struct

from limeshelf.util.sockets import USER_TIMEOUT_MS, keepalive_socket, reset_on_close_socket

ADDRESS = (socket.AF_INET, socket.SOCK_STREAM, 0, '', ('127.0.0.1', 1))


def test_keepalive_socket_limits_the_time_without_acknowledgement() -> None:
    with keepalive_socket(ADDRESS) as created:
        assert not created.getblocking()
        timeout_ms = created.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert timeout_ms == USER_TIMEOUT_MS
        assert created.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        linger = created.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert struct.unpack('ii', linger)[0] == 0


def test_reset_on_close_socket_discards_unsent_data() -> None:
    with reset_on_close_socket(ADDRESS) as created:
        linger = created.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert struct.unpack('ii', linger) == (1, 0)
