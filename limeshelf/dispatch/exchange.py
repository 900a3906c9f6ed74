"""Carries dispatch messages between gateways, and runs the dispatcher of this process.

Owns the dispatcher of this process and the requests that wait for verdicts here. Messages
(:mod:`limeshelf.dispatch.messages`) go over the peer connections and may be lost.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.dispatch.dispatcher import Dispatcher
from limeshelf.dispatch.messages import DispatchProgress, DispatchQuery, DispatchVerdict
from limeshelf.membership.member import LOCAL

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import ServingConfig
    from limeshelf.dispatch.pending import PendingRequest
    from limeshelf.dispatch.rate_limiter import ReplicaRateLimiters
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory

#: Interval between passes over the queue while requests wait in it: capacity also becomes free
#: as time passes, without a message. Passes over an empty queue woke each gateway 67 times a
#: second, half of all wake-ups of an idle gateway.
QUEUE_INTERVAL_S = 0.015


class DispatchExchange:
    """Sends and receives dispatch messages; those addressed to this process stay local.

    :param config: returns the current configuration, ``None`` before the first.
    :param owner_of: returns the owner of a data centre's replicas; see
        :class:`~limeshelf.dispatch.owners.OwnerSelector`.
    :param data_centre: of this process.
    :param limiters: see :class:`~limeshelf.dispatch.dispatcher.Dispatcher`.
    """

    def __init__(
        self,
        node: PeerNode,
        directory: ReplicaDirectory,
        config: Callable[[], ServingConfig | None],
        owner_of: Callable[[str], str | None],
        data_centre: str,
        limiters: ReplicaRateLimiters | None = None,
    ) -> None:
        self.dispatcher = Dispatcher(
            directory, config, self._send_verdict, owner_of, data_centre, limiters
        )
        self._node = node
        self._pending: dict[str, PendingRequest] = {}
        self._queue_filled = asyncio.Event()

    def start(self) -> None:
        """Register the message handlers."""
        self._node.add_handler(DispatchQuery, self._on_query)
        self._node.add_handler(DispatchVerdict, self._on_verdict)
        self._node.add_handler(DispatchProgress, self._on_progress)

    async def run(self) -> None:
        """Process the queue periodically while requests wait in it, until cancelled."""
        while True:
            await self._queue_filled.wait()
            self._queue_filled.clear()
            while self.dispatcher.queue_length:
                await asyncio.sleep(QUEUE_INTERVAL_S)
                self.dispatcher.process_queue()

    def subscribe(self, pending: PendingRequest) -> None:
        """Deliver the verdicts for a request's current id to it from now on."""
        self._pending[pending.request_id] = pending

    def unsubscribe(self, pending: PendingRequest) -> None:
        """Stop delivering verdicts to a request."""
        del self._pending[pending.request_id]

    def send_query(self, owner: str, query: DispatchQuery) -> None:
        """Send a query to the owner of replicas."""
        if owner == LOCAL:
            self._handle_query(query, LOCAL)
        else:
            self._node.send(owner, query)

    def send_progress(self, owner: str, progress: DispatchProgress) -> None:
        """Report the progress of a request to the owner of its replica."""
        if owner == LOCAL:
            self.dispatcher.handle_progress(progress)
        else:
            self._node.send(owner, progress)

    def _send_verdict(self, requester: str, verdict: DispatchVerdict) -> None:
        if requester == LOCAL:
            self.deliver(verdict)
        else:
            self._node.send(requester, verdict)

    def deliver(self, verdict: DispatchVerdict) -> None:
        """Pass a verdict to the request it belongs to, if that is still pending."""
        pending = self._pending.get(verdict.ticket_id)
        if pending is not None:
            pending.verdicts.put_nowait(verdict)

    def _handle_query(self, query: DispatchQuery, requester: str) -> None:
        self.dispatcher.handle_query(query, requester)
        if self.dispatcher.queue_length:
            self._queue_filled.set()

    def _on_query(self, envelope: Envelope) -> None:
        self._handle_query(envelope.message, envelope.sender)

    def _on_verdict(self, envelope: Envelope) -> None:
        self.deliver(envelope.message)

    def _on_progress(self, envelope: Envelope) -> None:
        self.dispatcher.handle_progress(envelope.message)
