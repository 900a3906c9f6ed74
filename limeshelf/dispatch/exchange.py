"""Carries queries, verdicts and progress between gateways, and runs this one's own dispatcher.

Owns the dispatcher of this process, and who here waits for verdicts. Relies on the connections
to peers for the messages in :mod:`limeshelf.dispatch.messages`, which may get lost.
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
    from limeshelf.dispatch.pace import ReplicaPaces
    from limeshelf.dispatch.pending import PendingRequest
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory

#: The own queue is tried this often while requests wait in it, because time alone makes room
#: too. Trying also an empty one woke each gateway 67 times a second, half of all that an idle
#: gateway did.
PUMP_INTERVAL_S = 0.015


class DispatchExchange:
    """Sends and takes the messages of dispatching; what is sent to this process stays here.

    :param config: returns the configuration in force, ``None`` before the first.
    :param owner_of: returns the owner of a data centre's replicas, as
        :class:`~limeshelf.dispatch.owners.OwnerChooser` takes it.
    :param data_centre: of this process.
    :param paces: as :class:`~limeshelf.dispatch.dispatcher.Dispatcher` takes it.
    """

    def __init__(
        self,
        node: PeerNode,
        directory: ReplicaDirectory,
        config: Callable[[], ServingConfig | None],
        owner_of: Callable[[str], str | None],
        data_centre: str,
        paces: ReplicaPaces | None = None,
    ) -> None:
        self.dispatcher = Dispatcher(
            directory, config, self._send_verdict, owner_of, data_centre, paces
        )
        self._node = node
        self._waiting: dict[str, PendingRequest] = {}
        self._queued = asyncio.Event()

    def start(self) -> None:
        """Take messages."""
        self._node.add_handler(DispatchQuery, self._take_query)
        self._node.add_handler(DispatchVerdict, self._take_verdict)
        self._node.add_handler(DispatchProgress, self._take_progress)

    async def run(self) -> None:
        """Try the own queue again and again while requests wait in it, until cancelled."""
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self.dispatcher.waiting:
                await asyncio.sleep(PUMP_INTERVAL_S)
                self.dispatcher.pump()

    def await_verdicts(self, pending: PendingRequest) -> None:
        """Give a request the verdicts that come for its id from now on."""
        self._waiting[pending.request_id] = pending

    def forget(self, pending: PendingRequest) -> None:
        """Take no more verdicts for a request."""
        del self._waiting[pending.request_id]

    def send_query(self, owner: str, query: DispatchQuery) -> None:
        """Send a query to the owner of replicas."""
        if owner == LOCAL:
            self._take(query, LOCAL)
        else:
            self._node.send(owner, query)

    def send_progress(self, owner: str, progress: DispatchProgress) -> None:
        """Tell the owner of replicas how far a request has come."""
        if owner == LOCAL:
            self.dispatcher.take_progress(progress)
        else:
            self._node.send(owner, progress)

    def _send_verdict(self, asker: str, verdict: DispatchVerdict) -> None:
        if asker == LOCAL:
            self.deliver(verdict)
        else:
            self._node.send(asker, verdict)

    def deliver(self, verdict: DispatchVerdict) -> None:
        """Hand a verdict to the request that waits for it, if any still does."""
        pending = self._waiting.get(verdict.ticket_id)
        if pending is not None:
            pending.verdicts.put_nowait(verdict)

    def _take(self, query: DispatchQuery, asker: str) -> None:
        self.dispatcher.take_query(query, asker)
        if self.dispatcher.waiting:
            self._queued.set()

    def _take_query(self, envelope: Envelope) -> None:
        self._take(envelope.message, envelope.sender)

    def _take_verdict(self, envelope: Envelope) -> None:
        self.deliver(envelope.message)

    def _take_progress(self, envelope: Envelope) -> None:
        self.dispatcher.take_progress(envelope.message)
