"""An event loop whose process has a network link of limited width, in each direction.

All connections of the process share the link, as they do on a machine: what one of them sends or
receives delays what the others send or receive after it. What was written waits in one queue,
first in, first out. A connection reports what it has in the queue as its write buffer.
"""

from __future__ import annotations

import asyncio
import socket
from asyncio import selector_events
from collections import deque
from typing import Any

CHUNK_BYTES = 1 << 13


class Direction:
    """One direction of a link.

    :param bytes_per_s: its width.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    def charge(self, size_bytes: int, now_s: float) -> None:
        """Record that bytes pass, after those that passed before."""
        self._free_s = max(self._free_s, now_s) + size_bytes / self._bytes_per_s

    def busy_s(self, now_s: float) -> float:
        """Return for how long the direction is still busy, in seconds."""
        return self._free_s - now_s


class Uplink:
    """The queue of what the process sends.

    :param bytes_per_s: width of the link.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, bytes_per_s: float) -> None:
        self._loop = loop
        self._direction = Direction(bytes_per_s)
        self._queue: deque[tuple[ShapedTransport, bytes]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def send(self, transport: ShapedTransport, data: bytes) -> None:
        """Queue data of a connection."""
        for start in range(0, len(data), CHUNK_BYTES):
            self._queue.append((transport, data[start : start + CHUNK_BYTES]))
        if self._timer is None:
            self._pass_on()

    def _pass_on(self) -> None:
        """Pass on what the link has room for by now."""
        self._timer = None
        while self._queue:
            now_s = self._loop.time()
            busy_s = self._direction.busy_s(now_s)
            if busy_s > 0:
                self._timer = self._loop.call_later(busy_s, self._pass_on)
                return
            transport, data = self._queue.popleft()
            if transport.pass_on(data):
                self._direction.charge(len(data), now_s)


class _ShapedSocket(socket.socket):
    """A socket whose received bytes take their time on the link."""

    shaped_loop: ShapedLoop

    def recv(self, *arguments: Any) -> bytes:
        data = super().recv(*arguments)
        self.shaped_loop.downlink.charge(len(data), self.shaped_loop.time())
        return data


class ShapedTransport(selector_events._SelectorSocketTransport):  # type: ignore[name-defined,misc]
    """A connection over the link."""

    max_size = CHUNK_BYTES

    def __init__(self, loop: ShapedLoop, *arguments: Any, **options: Any) -> None:
        self._link = loop
        self._held_bytes = 0
        self._is_closed_when_passed_on = False
        self._is_ended_when_passed_on = False
        super().__init__(loop, *arguments, **options)

    def write(self, data: Any) -> None:
        if self.is_closing() or self._conn_lost or not data:
            return
        self._held_bytes += len(data)
        self._link.uplink.send(self, bytes(data))
        self._maybe_pause_protocol()

    def writelines(self, list_of_data: Any) -> None:
        self.write(b''.join(list_of_data))

    def pass_on(self, data: bytes) -> bool:
        """Send data to the other end; return whether the connection still exists."""
        if self._held_bytes == 0:
            return False
        self._held_bytes -= len(data)
        super().write(data)
        self._maybe_resume_protocol()
        if self._held_bytes == 0:
            self._finish()
        return True

    def _finish(self) -> None:
        if self._is_ended_when_passed_on:
            super().write_eof()
        if self._is_closed_when_passed_on:
            super().close()

    def get_write_buffer_size(self) -> int:
        return int(super().get_write_buffer_size()) + self._held_bytes

    def is_closing(self) -> bool:
        return self._is_closed_when_passed_on or bool(super().is_closing())

    def write_eof(self) -> None:
        self._is_ended_when_passed_on = True
        if self._held_bytes == 0:
            super().write_eof()

    def close(self) -> None:
        if self._held_bytes == 0:
            super().close()
            return
        self._is_closed_when_passed_on = True
        self._loop._remove_reader(self._sock_fd)

    def _force_close(self, exc: BaseException | None) -> None:
        self._held_bytes = 0
        super()._force_close(exc)

    def _read_ready(self) -> None:
        busy_s = self._link.downlink.busy_s(self._loop.time())
        if busy_s <= 0:
            super()._read_ready()
            return
        self._loop._remove_reader(self._sock_fd)
        self._loop.call_later(busy_s, self._read_again)

    def _read_again(self) -> None:
        if not self.is_closing() and not self._paused and not self._eof_received():
            self._loop._add_reader(self._sock_fd, self._read_ready)

    def _eof_received(self) -> bool:
        return bool(self._conn_lost)


class ShapedLoop(asyncio.SelectorEventLoop):
    """An event loop with a link.

    :param bytes_per_s: width of the link in each direction.
    """

    def __init__(self, bytes_per_s: float) -> None:
        super().__init__()
        self.uplink = Uplink(self, bytes_per_s)
        self.downlink = Direction(bytes_per_s)

    def _make_socket_transport(
        self, sock: socket.socket, protocol: Any, waiter: Any = None, **options: Any
    ) -> Any:
        shaped = _ShapedSocket(sock.family, sock.type, sock.proto, fileno=sock.detach())
        shaped.setblocking(False)
        shaped.shaped_loop = self
        return ShapedTransport(self, shaped, protocol, waiter, **options)
