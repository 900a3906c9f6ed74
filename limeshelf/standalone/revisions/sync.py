"""Keeps the configuration at the highest available revision and sends it to peers.

Owns the times of the last platform read and of the last pull from each peer. The configuration
itself is in :mod:`limeshelf.standalone.config.holder`.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from absl import logging

from limeshelf.errors import (
    InvalidDocument,
    PlatformUnavailable,
    PlatformUnknown,
    StaleRevision,
)
from limeshelf.standalone.config.delta import document_from_json, document_to_json
from limeshelf.standalone.messages import (
    ConfigChanges,
    ConfigPull,
    ConfigSnapshot,
    Heartbeat,
)
from limeshelf.standalone.services.outages import OUTAGE_LOG_S
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.standalone.config.holder import ConfigHolder
    from limeshelf.standalone.membership.listing import InstanceListSync
    from limeshelf.standalone.membership.processes import ProcessDirectory
    from limeshelf.standalone.revisions.store import RevisionStore

#: A starting process waits this long for answers of peers if the platform does not answer.
PEER_ANSWER_TIMEOUT_S = 2.0
#: Interval between attempts of a starting process, and between pulls from one peer.
PULL_INTERVAL_S = 0.2
#: One process of a data centre reads the platform for all. The others read it this many times
#: less often, in case no process is assigned for a while.
IDLE_READ_FACTOR = 20


class RevisionSync:
    """Fetches from the platform, pushes to and pulls from peers.

    :param reads_platform: returns whether this process currently reads the platform for its
        data centre.
    """

    def __init__(
        self,
        config: ConfigHolder,
        store: RevisionStore,
        listing: InstanceListSync,
        processes: ProcessDirectory,
        node: PeerNode,
        poll_s: float,
        reads_platform: Callable[[], bool],
    ) -> None:
        self._config = config
        self._store = store
        self._listing = listing
        self._processes = processes
        self._node = node
        self._poll_s = poll_s
        self._reads_platform = reads_platform
        self._read_s = float('-inf')
        self._pulled: dict[str, float] = {}
        node.add_handler(ConfigChanges, self._handle_changes)
        node.add_handler(ConfigSnapshot, self._handle_snapshot)
        node.add_handler(ConfigPull, self._handle_pull)
        node.add_handler(Heartbeat, self._handle_heartbeat)

    async def start(self) -> None:
        """Return once the highest available revision is applied.

        This is the head in the platform or, while the platform is unreachable, the highest
        revision of the peers that answer.
        """
        started_s = boottime_s()
        while True:
            if await self._read_platform():
                return
            self._ask_peers()
            await asyncio.sleep(PULL_INTERVAL_S)
            waited = boottime_s() - started_s > PEER_ANSWER_TIMEOUT_S
            highest = max(beat.revision for beat in self._processes.heard())
            if waited and self._config.revision > 0 and self._config.revision >= highest:
                logging.info('config=started_from_peers revision=%d', self._config.revision)
                return

    async def run(self) -> None:
        """Poll the platform: often if this process is assigned to, otherwise rarely."""
        while True:
            await asyncio.sleep(jittered_s(self._poll_s))
            overdue = boottime_s() - self._read_s > self._poll_s * IDLE_READ_FACTOR
            alone = not self._processes.live_entries()
            if self._reads_platform() or overdue or alone:
                await self._read_platform()

    def push(self, based_on: int) -> None:
        """Send the changes after *based_on* to the data centre and one peer of each other one."""
        message = self._update_after(based_on)
        self._node.send_all(self._processes.centre_addresses(), message)
        for addresses in self._processes.remote_entries().values():
            if addresses:
                self._node.send(random.choice(addresses), message)

    async def _read_platform(self) -> bool:
        listed_read = await self._listing.read()
        try:
            head = await self._store.head()
            before = self._config.revision
            if head.revision > before:
                await self._fetch(head.revision, head.snapshot_revision)
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The current revision stays in use. Peers may send a higher one, and the next
            # poll reads the platform again.
            logging.log_every_n_seconds(
                logging.WARNING, 'config=head_not_read error=%r', OUTAGE_LOG_S, error
            )
            return False
        if self._config.revision > before:
            self.push(before)
        self._read_s = boottime_s()
        return listed_read and self._config.revision >= head.revision

    async def _fetch(self, revision: int, snapshot_revision: int) -> None:
        if self._config.revision < snapshot_revision:
            document = await self._store.snapshot(snapshot_revision)
            if document is not None:
                self._config.take_snapshot(snapshot_revision, document)
        for record in await self._store.records_after(self._config.revision, revision):
            try:
                self._config.take_changes(record.revision - 1, record.revision, record.changes)
            except StaleRevision:
                # A peer has pushed a higher revision meanwhile; the next poll reads the rest.
                logging.info('config=overtaken revision=%d', record.revision)
                return

    def _ask_peers(self) -> None:
        addresses = self._processes.centre_addresses()
        self._node.send_all(addresses, ConfigPull(self._config.revision))
        self._node.send_all(addresses, self._processes.own)

    def _handle_heartbeat(self, envelope: Envelope) -> None:
        beat: Heartbeat = envelope.message
        if beat.revision < self._config.revision:
            self._node.send(beat.address, self._update_after(beat.revision))
        elif beat.revision > self._config.revision:
            self._pull(beat.address)

    def _pull(self, address: str) -> None:
        now_s = boottime_s()
        if now_s - self._pulled.get(address, float('-inf')) < PULL_INTERVAL_S:
            return
        self._pulled[address] = now_s
        self._node.send(address, ConfigPull(self._config.revision))

    def _handle_pull(self, envelope: Envelope) -> None:
        have: int = envelope.message.have_revision
        if have < self._config.revision:
            self._node.send(envelope.sender, self._update_after(have))

    def _update_after(self, revision: int) -> ConfigChanges | ConfigSnapshot:
        steps = self._config.changes_after(revision)
        if steps is not None:
            return ConfigChanges(revision, steps)
        plain = document_to_json(self._config.catalog.document)
        return ConfigSnapshot(self._config.revision, plain)

    def _handle_changes(self, envelope: Envelope) -> None:
        message: ConfigChanges = envelope.message
        before = self._config.revision
        try:
            for index, changes in enumerate(message.steps):
                based_on = message.based_on + index
                if based_on >= self._config.revision:
                    self._config.take_changes(based_on, based_on + 1, changes)
        except StaleRevision:
            self._pull(envelope.sender)
        except InvalidDocument:
            logging.warning('config=refused sender=%s', envelope.sender)
        self._relay(before, envelope)

    def _handle_snapshot(self, envelope: Envelope) -> None:
        message: ConfigSnapshot = envelope.message
        before = self._config.revision
        try:
            self._config.take_snapshot(message.revision, document_from_json(message.document))
        except InvalidDocument:
            logging.warning('config=refused sender=%s', envelope.sender)
        self._relay(before, envelope)

    def _relay(self, before: int, envelope: Envelope) -> None:
        """Forward a change from another data centre within the own one."""
        foreign = envelope.data_centre != self._processes.own.data_centre
        if foreign and self._config.revision > before:
            message = self._update_after(before)
            self._node.send_all(self._processes.centre_addresses(), message)
