"""The peer connections of one process: one listener, one task for each connection.

Owns the links to peers and the counts of what was sent, received, dropped and refused.
Relies on :mod:`limeshelf.peers.codec` for the form of messages and on
:mod:`limeshelf.peers.framing` for what separates them. Both halves of the product use it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from absl import logging

from limeshelf.errors import LimeshelfError
from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.peers.framing import FrameReader, MalformedMessage, PipeEnd, greeting
from limeshelf.peers.link import PeerLink, Traffic
from limeshelf.util.sockets import keep_alive
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    Handler = Callable[[Envelope], None]

#: Most bytes that are read from a connection at once.
READ_BYTES = 1 << 16
#: Frames that may wait for their handlers; then connections are read no further.
MAX_ARRIVED_FRAMES = 1024


class PeerNode:
    """Sends messages to peers and hands arriving ones to handlers.

    Messages are one-way and may be lost; every exchange that needs certainty
    repeats itself periodically.

    :param host: address to listen at, which goes to peers with each message.
    :param port: TCP port; 0 takes a free one.
    :param data_centre: of this process, sent with each message.
    :ivar address: host and port where this process listens; empty before the start.
    :ivar received_bytes: in frames that arrived, malformed ones included.
    :ivar malformed: frames that arrived and are no messages of ours, and connections of
        those who do not speak as we do.
    """

    def __init__(self, host: str, port: int, data_centre: str) -> None:
        self.data_centre = data_centre
        self.address = ''
        self.received_bytes = 0
        self.malformed = 0
        self._host = host
        self._port = port
        self._handlers: dict[type[Any], list[Handler]] = {}
        self._links: dict[str, PeerLink] = {}
        self._traffic = Traffic()
        self._arrived: asyncio.Queue[bytes] = asyncio.Queue(MAX_ARRIVED_FRAMES)
        self._tasks = TaskSet()
        self._server: asyncio.Server | None = None

    @property
    def sent_bytes(self) -> int:
        """Return the bytes in frames that a connection took, over all peers."""
        return self._traffic.sent_bytes

    @property
    def dropped(self) -> int:
        """Return how many frames were queued for a peer and never sent."""
        return self._traffic.dropped

    def add_handler(self, kind: type[Any], handler: Handler) -> None:
        """Call *handler* with each arriving message of class *kind*."""
        self._handlers.setdefault(kind, []).append(handler)

    async def start(self) -> None:
        """Listen; :attr:`address` is known afterwards."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._host}:{port}'
        self._tasks.supervise(self._dispatch_arrived, 'peer-dispatch')

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        await self._tasks.close()

    def send(self, address: str, message: Any) -> None:
        """Queue *message* for the peer at *address*."""
        self.send_all([address], message)

    def send_all(self, addresses: list[str], message: Any) -> None:
        """Queue *message* for several peers; it is encoded once."""
        self.forward_all(addresses, Envelope(self.address, self.data_centre, message))

    def forward_all(self, addresses: list[str], envelope: Envelope) -> None:
        """Queue a message that may be of another process, which stays its sender."""
        if not addresses:
            return
        frame = encode(envelope)
        for address in addresses:
            self._queue(address, frame)

    def _queue(self, address: str, frame: bytes) -> None:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = PeerLink(address, self._traffic)
            self._tasks.spawn(self._run_link(link), f'peer-{address}')
        link.put(frame)

    async def _run_link(self, link: PeerLink) -> None:
        try:
            await link.run()
        finally:
            del self._links[link.address]

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.spawn(self._receive(reader, writer), 'peer-receive')

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Hand on what arrives on one connection until it ends."""
        frames = FrameReader(PipeEnd.SENDER)
        try:
            keep_alive(writer.get_extra_info('socket'))
            writer.write(greeting(PipeEnd.RECEIVER))
            while data := await reader.read(READ_BYTES):
                for frame in frames.feed(data):
                    self.received_bytes += len(frame)
                    await self._arrived.put(frame)
        except MalformedMessage:
            self.malformed += 1
        except OSError:
            # Its sender is gone or out of reach, and connects again when it is back.
            pass
        finally:
            writer.close()

    async def _dispatch_arrived(self) -> None:
        while True:
            self._dispatch(await self._arrived.get())

    def _dispatch(self, frame: bytes) -> None:
        try:
            envelope = decode(frame)
        except MalformedMessage:
            # Counted only: whoever sends such frames must not fill the log.
            self.malformed += 1
            return
        for handler in self._handlers.get(type(envelope.message), ()):
            try:
                handler(envelope)
            except LimeshelfError as error:
                # One message that cannot be used must not keep the next ones out.
                logging.warning('peers=handler_failed error=%r', error)
