"""The peer connections of one process: one listener, and one task for each connection.

Owns the links to peers and the counts of sent, received, dropped and malformed data.
:mod:`limeshelf.peers.codec` encodes the messages, and :mod:`limeshelf.peers.framing` separates
them on a connection. Both the gateway and :mod:`limeshelf.standalone` use this module.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from absl import logging

from limeshelf.errors import LimeshelfError
from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.peers.framing import FrameReader, MalformedMessage, PipeEnd, greeting
from limeshelf.peers.link import PeerLink
from limeshelf.peers.link_budget import LinkBudget
from limeshelf.peers.messages import kind_of
from limeshelf.peers.traffic import Traffic, TrafficLog, Waiting
from limeshelf.util.sockets import keep_alive
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    Handler = Callable[[Envelope], None]

#: Most bytes that are read from a connection at once.
READ_SIZE_BYTES = 1 << 16
#: Most received frames that may wait for their handlers; connections are not read while there
#: are as many.
MAX_RECEIVED_FRAMES = 1024


class PeerNode:
    """Sends messages to peers, and passes received messages to handlers.

    Messages are one-way and may be lost. An exchange that must not miss one repeats its messages
    periodically.

    :param host: address to listen on, which peers receive with each message.
    :param port: TCP port; 0 selects a free one.
    :param data_centre: data centre of this process, sent with each message.
    :param budget: counts what is sent against the machine's link.
    :ivar address: host and port on which this process listens; empty before the start.
    :ivar traffic: counts of what was sent.
    :ivar received_bytes: bytes of received frames, including malformed ones.
    :ivar malformed: received frames that are not valid messages, plus connections that were closed
        because they did not follow the protocol.
    """

    def __init__(
        self, host: str, port: int, data_centre: str, budget: LinkBudget | None = None
    ) -> None:
        self.data_centre = data_centre
        self.budget = budget or LinkBudget()
        self.address = ''
        self.received_bytes = 0
        self.malformed = 0
        self._host = host
        self._port = port
        self._handlers: dict[type[Any], list[Handler]] = {}
        self._links: dict[str, PeerLink] = {}
        self.traffic = Traffic()
        self._received_frames: asyncio.Queue[bytes] = asyncio.Queue(MAX_RECEIVED_FRAMES)
        self._tasks = TaskSet()
        self._server: asyncio.Server | None = None

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of the frames written to a connection, over all peers."""
        return self.traffic.sent_bytes

    @property
    def dropped(self) -> int:
        """Return how many frames were queued for a peer and dropped from its queue."""
        return self.traffic.dropped

    def waiting(self) -> list[Waiting]:
        """Return what waits to be sent, by peer."""
        return [link.waiting() for link in self._links.values()]

    def add_handler(self, message_class: type[Any], handler: Handler) -> None:
        """Call *handler* with each received message of a class."""
        self._handlers.setdefault(message_class, []).append(handler)

    async def start(self) -> None:
        """Start to listen, and set :attr:`address`."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._host}:{port}'
        self._tasks.supervise(self._dispatch_received, 'peer-dispatch')
        self._tasks.supervise(TrafficLog(self.traffic, self.waiting).run, 'peer-traffic')

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        await self._tasks.close()

    def send(self, address: str, message: Any) -> None:
        """Queue *message* for the peer at *address*."""
        self.send_all([address], message)

    def send_all(self, addresses: list[str], message: Any) -> None:
        """Queue *message* for several peers; encode it only once."""
        self.forward_all(addresses, Envelope(self.address, self.data_centre, message))

    def forward_all(self, addresses: list[str], envelope: Envelope) -> None:
        """Queue an envelope for several peers; its sender may be another process, and is kept."""
        if not addresses:
            return
        frame = encode(envelope)
        kind = kind_of(envelope.message)
        self.budget.charge(len(frame) * len(addresses))
        for address in addresses:
            self._queue(address, frame, kind)

    def _queue(self, address: str, frame: bytes, kind: str) -> None:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = PeerLink(address, self.traffic)
            self._tasks.spawn(self._run_link(link), f'peer-{address}')
        link.put(frame, kind)

    async def _run_link(self, link: PeerLink) -> None:
        try:
            await link.run()
        finally:
            del self._links[link.address]

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.spawn(self._receive(reader, writer), 'peer-receive')

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Queue the frames received on one connection, until it ends."""
        frame_reader = FrameReader(PipeEnd.SENDER)
        try:
            keep_alive(writer.get_extra_info('socket'))
            writer.write(greeting(PipeEnd.RECEIVER))
            while data := await reader.read(READ_SIZE_BYTES):
                for frame in frame_reader.feed(data):
                    self.received_bytes += len(frame)
                    await self._received_frames.put(frame)
        except MalformedMessage:
            self.malformed += 1
        except OSError:
            # The sender stopped or is unreachable; it connects again later.
            pass
        finally:
            writer.close()

    async def _dispatch_received(self) -> None:
        while True:
            self._dispatch(await self._received_frames.get())

    def _dispatch(self, frame: bytes) -> None:
        try:
            envelope = decode(frame)
        except MalformedMessage:
            # Counted but not logged, so that a faulty sender cannot flood the log.
            self.malformed += 1
            return
        for handler in self._handlers.get(type(envelope.message), ()):
            try:
                handler(envelope)
            except LimeshelfError as error:
                # A message that its handler rejects must not end the dispatch of later ones.
                logging.warning('peers=handler_failed error=%r', error)
