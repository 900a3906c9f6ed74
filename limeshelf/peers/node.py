"""The peer sockets of one process: one listener, one task for each peer."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

import pynng
from absl import logging

from limeshelf.errors import LimeshelfError
from limeshelf.peers.codec import MAX_FRAME_BYTES, Envelope, MalformedMessage, decode, encode
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    Handler = Callable[[Envelope], None]

#: Frames kept for a peer that does not take them; older ones are dropped.
QUEUE_LIMIT = 64
#: A connection that was not used for this long is closed.
IDLE_S = 30.0
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
SEND_TIMEOUT_MS = 2000


class PeerNode:
    """Sends messages to peers and hands arriving ones to handlers.

    Messages are one-way and may be lost; every exchange that needs certainty
    repeats itself periodically.
    """

    def __init__(self, host: str, port: int, data_centre: str) -> None:
        self.data_centre = data_centre
        self.address = ''
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped = 0
        self.malformed = 0
        self._listen_url = f'tcp://{host}:{port}'
        self._host = host
        self._handlers: dict[type[Any], list[Handler]] = {}
        self._links: dict[str, _Link] = {}
        self._tasks = TaskSet()
        self._socket: Any = None

    def add_handler(self, kind: type[Any], handler: Handler) -> None:
        """Call *handler* with each arriving message of class *kind*."""
        self._handlers.setdefault(kind, []).append(handler)

    async def start(self) -> None:
        """Listen; :attr:`address` is known afterwards."""
        self._socket = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
        self._socket.listen(self._listen_url)
        port = _port_of(self._socket.listeners[0].local_address)
        self.address = f'{self._host}:{port}'
        self._tasks.keep(self._receive, 'peer-listener')

    async def close(self) -> None:
        """Close all connections."""
        await self._tasks.close()
        for link in self._links.values():
            link.close()
        if self._socket is not None:
            self._socket.close()

    def send(self, address: str, message: Any) -> None:
        """Queue *message* for the peer at *address*."""
        frame = encode(Envelope(self.address, self.data_centre, message))
        self.send_frame(address, frame)

    def send_all(self, addresses: list[str], message: Any) -> None:
        """Queue *message* for several peers; it is encoded once."""
        if not addresses:
            return
        frame = encode(Envelope(self.address, self.data_centre, message))
        for address in addresses:
            self.send_frame(address, frame)

    def forward_all(self, addresses: list[str], envelope: Envelope) -> None:
        """Queue a message of another process, which stays its sender."""
        if not addresses:
            return
        frame = encode(envelope)
        for address in addresses:
            self.send_frame(address, frame)

    def send_frame(self, address: str, frame: bytes) -> None:
        """Queue an encoded message."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address)
            self._tasks.spawn(self._run_link(link), f'peer-{address}')
        if link.put(frame):
            self.dropped += 1

    async def _receive(self) -> None:
        while True:
            try:
                data = await self._socket.arecv()
            except pynng.exceptions.Closed:
                return
            except pynng.NNGException as error:
                logging.warning('peers=receive_failed error=%r', error)
                continue
            self.received_bytes += len(data)
            self._dispatch(data)

    def _dispatch(self, data: bytes) -> None:
        try:
            envelope = decode(data)
        except MalformedMessage:
            self.malformed += 1
            return
        for handler in self._handlers.get(type(envelope.message), ()):
            try:
                handler(envelope)
            except LimeshelfError as error:
                logging.warning('peers=handler_failed error=%r', error)

    async def _run_link(self, link: _Link) -> None:
        try:
            link.open()
            while True:
                frame = await link.take()
                if frame is None:
                    return
                if await link.transmit(frame):
                    self.sent_bytes += len(frame)
                else:
                    self.dropped += 1
        finally:
            self._links.pop(link.address, None)
            link.close()


class _Link:
    """The connection to one peer with its queue."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._frames: deque[bytes] = deque()
        self._arrived = asyncio.Event()
        self._socket: Any = None

    def open(self) -> None:
        """Start connecting in the background."""
        self._socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._socket.dial(f'tcp://{self.address}', block=False)

    def put(self, frame: bytes) -> bool:
        """Queue *frame*; return whether an older one was dropped for it."""
        full = len(self._frames) >= QUEUE_LIMIT
        if full:
            self._frames.popleft()
        self._frames.append(frame)
        self._arrived.set()
        return full

    async def take(self) -> bytes | None:
        """Return the next frame, or ``None`` after a long time without one."""
        while not self._frames:
            self._arrived.clear()
            try:
                await asyncio.wait_for(self._arrived.wait(), IDLE_S)
            except TimeoutError:
                return None
        return self._frames.popleft()

    async def transmit(self, frame: bytes) -> bool:
        """Send *frame*; return whether the peer's connection took it."""
        try:
            await self._socket.asend(frame)
        except pynng.NNGException:
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()


def _port_of(address: Any) -> int:
    # The object's own ``port`` is in network byte order; its text is not
    # (tests/peers/test_node.py::test_address_is_the_bound_port).
    return int(str(address).rsplit(':', 1)[-1])
