"""Options of sockets that must notice a cut."""

from __future__ import annotations

import socket
import struct

from limeshelf.util.sockets import USER_TIMEOUT_MS, keepalive_socket, reset_on_close_socket

ADDRESS = (socket.AF_INET, socket.SOCK_STREAM, 0, '', ('127.0.0.1', 1))


def test_keepalive_socket_gives_up_what_is_not_acknowledged() -> None:
    with keepalive_socket(ADDRESS) as made:
        assert not made.getblocking()
        given_up_ms = made.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert given_up_ms == USER_TIMEOUT_MS
        assert made.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        linger = made.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert struct.unpack('ii', linger)[0] == 0


def test_reset_on_close_socket_drops_at_its_close_what_is_not_sent() -> None:
    with reset_on_close_socket(ADDRESS) as made:
        linger = made.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert struct.unpack('ii', linger) == (1, 0)
