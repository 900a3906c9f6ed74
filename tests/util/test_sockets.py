"""Options of sockets that detect an unreachable peer."""

from __future__ import annotations

import socket
import struct

from limeshelf.util.sockets import QUICK, call_socket, keepalive_socket, reset_on_close_socket

ADDRESS = (socket.AF_INET, socket.SOCK_STREAM, 0, '', ('127.0.0.1', 1))


def test_keepalive_socket_limits_the_time_without_acknowledgement() -> None:
    with keepalive_socket(ADDRESS) as created:
        assert not created.getblocking()
        timeout_ms = created.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert timeout_ms == QUICK.user_timeout_ms
        assert created.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        linger = created.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert struct.unpack('ii', linger)[0] == 0


def test_reset_on_close_socket_discards_unsent_data() -> None:
    with reset_on_close_socket(ADDRESS) as created:
        linger = created.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert struct.unpack('ii', linger) == (1, 0)


def test_connection_to_a_replica_outlasts_its_silence_of_a_second_or_so() -> None:
    # Linux closes at a probe that is due once the user timeout has passed since the last packet.
    silent_s = 1.5
    with call_socket(ADDRESS) as created:
        timeout_ms = created.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        idle_s = created.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval_s = created.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
    probes_lost = 1 + int(silent_s / interval_s)
    next_due_s = idle_s + probes_lost * interval_s
    assert timeout_ms / 1000 > next_due_s
    assert timeout_ms / 1000 > silent_s
