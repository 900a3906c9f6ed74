"""The peer sockets of one process: one listener, one task for each peer.

Owns the links to peers and the counts of what was sent, received, dropped and refused.
Relies on :mod:`limeshelf.peers.codec` for the form of messages. Both halves of the
product use it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pynng
from absl import logging

from limeshelf.errors import LimeshelfError
from limeshelf.peers.codec import MAX_FRAME_BYTES, Envelope, MalformedMessage, decode, encode
from limeshelf.peers.link import PeerLink
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    Handler = Callable[[Envelope], None]


class PeerNode:
    """Sends messages to peers and hands arriving ones to handlers.

    Messages are one-way and may be lost; every exchange that needs certainty
    repeats itself periodically.

    :param host: address to listen at, which goes to peers with each message.
    :param port: TCP port; 0 takes a free one.
    :param data_centre: of this process, sent with each message.
    :ivar address: host and port where this process listens; empty before the start.
    :ivar sent_bytes: in frames that a connection took, over all peers.
    :ivar received_bytes: in frames that arrived, malformed ones included.
    :ivar dropped: frames that were queued for a peer and never sent.
    :ivar malformed: frames that arrived and are no messages of ours.
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
        self._links: dict[str, PeerLink] = {}
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
            link = self._links[address] = PeerLink(address)
            self._tasks.spawn(self._run_link(link), f'peer-{address}')
        if link.put(frame):
            self.dropped += 1

    async def _receive(self) -> None:
        while True:
            try:
                data = await self._socket.arecv()
            except pynng.exceptions.Closed:
                # By close().
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
            # Counted only: whoever sends such frames must not fill the log.
            self.malformed += 1
            return
        for handler in self._handlers.get(type(envelope.message), ()):
            try:
                handler(envelope)
            except LimeshelfError as error:
                # One message that cannot be used must not keep the next ones out.
                logging.warning('peers=handler_failed error=%r', error)

    async def _run_link(self, link: PeerLink) -> None:
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


def _port_of(address: Any) -> int:
    # The object's own ``port`` is in network byte order; its text is not
    # (tests/peers/test_peers.py::test_address_is_the_bound_port).
    return int(str(address).rsplit(':', 1)[-1])
