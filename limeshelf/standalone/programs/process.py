"""What the entry, placer and admin programs have in common: peers, directories, configuration.

Owns the peer node, the directories, the clients of the platform services and the
background tasks of one process; hands messages of the peers to the directories. Relies on
the packages ``membership``, ``revisions`` and ``services``; ``runner`` runs the whole.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.metrics.decision_log import DecisionLog
from limeshelf.metrics.statsd import Metrics
from limeshelf.peers.node import PeerNode
from limeshelf.standalone.config.holder import ConfigHolder
from limeshelf.standalone.membership.listing import InstanceListSync
from limeshelf.standalone.membership.processes import ENTRY_PROGRAM, ProcessDirectory
from limeshelf.standalone.membership.upstreams import UpstreamDirectory
from limeshelf.standalone.messages import (
    ExplainQuery,
    ExplainReply,
    Heartbeat,
    LeavingNotice,
    UpstreamStates,
)
from limeshelf.standalone.revisions.store import RevisionStore
from limeshelf.standalone.revisions.sync import RevisionSync
from limeshelf.standalone.services.instances import InstanceListClient
from limeshelf.standalone.services.objects import ObjectStoreClient
from limeshelf.standalone.services.table import TableClient
from limeshelf.util.backoff import jittered_s
from limeshelf.util.identifiers import new_id
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from limeshelf.peers.codec import Envelope
    from limeshelf.settings.model import Settings


class Process:
    """The peer node, the directories, the configuration and their tasks."""

    def __init__(self, settings: Settings, program: str, peer_port: int) -> None:
        self.settings = settings
        self.program = program
        self.tasks = TaskSet()
        self.metrics = Metrics(settings.metrics, f'limeshelf.{program}')
        self.decisions = DecisionLog(settings.logs.decisions)
        self.config = ConfigHolder()
        self.node = PeerNode(settings.listen_host, peer_port, settings.data_centre)
        own = Heartbeat(
            settings.instance_id, program, settings.data_centre, '', new_id('boot'), 0, False
        )
        self.processes = ProcessDirectory(own, settings.peers.seeds, settings.peers.silence_s)
        self.upstreams = UpstreamDirectory(settings.data_centre, settings.peers.silence_s)
        self.table = TableClient.from_settings(settings.platform)
        self._objects = ObjectStoreClient.from_settings(settings.platform)
        self._instances = InstanceListClient.from_settings(settings.platform)
        self.listing = InstanceListSync(
            self._instances, self.processes, self.node, self._reads_platform
        )
        self.listing.add_listener(self.upstreams.take_listed)
        self.store = RevisionStore(self.table, self._objects)
        self.sync = RevisionSync(
            self.config,
            self.store,
            self.listing,
            self.processes,
            self.node,
            settings.platform.poll_s,
            self._reads_platform,
        )

    def _reads_platform(self) -> bool:
        return self.program == ENTRY_PROGRAM and self.processes.is_chosen('platform-reader')

    async def start(self) -> None:
        """Start the peer node and reach the highest revision within reach."""
        self.node.add_handler(Heartbeat, self._take_heartbeat)
        self.node.add_handler(UpstreamStates, self._take_states)
        self.node.add_handler(LeavingNotice, self._take_leaving)
        self.node.add_handler(ExplainQuery, self._explain)
        await self.node.start()
        self._set_own(address=self.node.address)
        self.tasks.supervise(self._beat, 'heartbeat')
        self.tasks.supervise(self.metrics.run, 'metrics')
        self.config.add_listener(lambda catalog: self._set_own(revision=catalog.revision))

    async def synchronise(self) -> None:
        """Return when the highest revision within reach is in force."""
        await self.sync.start()
        self.tasks.supervise(self.sync.run, 'revision-sync')

    def set_serving(self, serving: bool) -> None:
        """Tell the peers whether this process serves."""
        self._set_own(serving=serving)
        self._send_heartbeat()

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        await self.tasks.close()
        await self.node.close()
        for client in (self.table, self._objects, self._instances):
            await client.close()

    def _set_own(self, **changes: Any) -> None:
        self.processes.own = attrs.evolve(self.processes.own, **changes)

    async def _beat(self) -> None:
        while True:
            self.processes.forget_silent()
            self._send_heartbeat()
            self._gauge()
            await asyncio.sleep(jittered_s(self.settings.peers.heartbeat_s))

    def _send_heartbeat(self) -> None:
        self.node.send_all(self.processes.centre_addresses(), self.processes.own)

    def _gauge(self) -> None:
        metrics = self.metrics
        metrics.gauge('config.revision', self.config.revision)
        metrics.gauge('peers.heard', len(self.processes.heard()) - 1)
        metrics.gauge('peers.sent_bytes', self.node.sent_bytes)
        metrics.gauge('peers.received_bytes', self.node.received_bytes)
        metrics.gauge('peers.dropped', self.node.dropped)
        metrics.gauge('peers.malformed', self.node.malformed)
        metrics.gauge('tasks.failed', self.tasks.failures)

    def _take_heartbeat(self, envelope: Envelope) -> None:
        self.processes.take_heartbeat(envelope.message)

    def _take_states(self, envelope: Envelope) -> None:
        message: UpstreamStates = envelope.message
        for state in message.states:
            self.upstreams.take_state(state)
        if message.relay:
            inner = attrs.evolve(message, relay=False)
            addresses = self.processes.centre_addresses()
            self.node.send_all(addresses, inner)

    def _take_leaving(self, envelope: Envelope) -> None:
        message: LeavingNotice = envelope.message
        self.upstreams.mark_leaving(message.upstream_id, message.boot_id)
        if message.relay:
            inner = attrs.evolve(message, relay=False)
            self.node.send_all(self.processes.centre_addresses(), inner)

    def _explain(self, envelope: Envelope) -> None:
        query: ExplainQuery = envelope.message
        lines = self.decisions.lines(query.request_id)
        self.node.send(envelope.sender, ExplainReply(query.query_id, lines))
