"""Exchanges the notices of replicas that apply to all gateways: limits and shutdown.

Notices are broadcast through :mod:`~limeshelf.membership.broadcast_queue`. A gateway that starts
later has missed them. It receives a replica's notice with the replica's first answer, and sends it
to the replica's pacer with its request for a permit (:mod:`limeshelf.dispatch.permits`).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.broadcast_queue import BroadcastQueue
from limeshelf.membership.messages import ReplicaNoticeEntry, ReplicaNotices
from limeshelf.replicas.notices import NoticeSource
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.notices import NoticeHandler
    from limeshelf.replicas.replica import Replica

#: Age in milliseconds that denotes an answer that was never received.
NEVER_MS = 1 << 40
#: Notices that change within this time are sent in one message.
BATCH_WINDOW_S = 0.01


@attrs.define
class NoticeExchange:
    """Broadcasts changes of notices and applies those received."""

    node: PeerNode
    members: Members
    directory: ReplicaDirectory
    notices: NoticeHandler
    _broadcasts: BroadcastQueue[Replica] = attrs.field(init=False)
    _sender_centre: str = ''

    def __attrs_post_init__(self) -> None:
        self._broadcasts = BroadcastQueue(self.members, BATCH_WINDOW_S, self._send_to)

    def start(self) -> None:
        """Register for messages, and for changes of notices at this gateway."""
        self.notices.on_change = self._on_change
        self.node.add_handler(ReplicaNotices, self._handle_notices)

    def _on_change(self, replica: Replica, source: NoticeSource) -> None:
        if source is NoticeSource.PEER:
            self._broadcasts.relay(replica.start, replica, self._sender_centre)
        else:
            self._broadcasts.publish(replica.start, replica)

    def _handle_notices(self, envelope: Envelope) -> None:
        self._sender_centre = envelope.data_centre
        now_s = boottime_s()
        for entry in envelope.message.notices:
            replica = self.directory.get(entry.replica_id)
            if replica is not None and replica.known_start.born_ms == entry.born_ms:
                known_s = now_s - entry.known_ms_ago / MS_PER_S
                self.notices.handle_peer_rate(replica, entry.rate_per_s, known_s)
                if entry.rejections_known_ms_ago is not None:
                    known_s = now_s - entry.rejections_known_ms_ago / MS_PER_S
                    self.notices.handle_peer_rejections(replica, entry.rejections_per_s, known_s)
                if entry.leaving:
                    self.notices.handle_peer_leaving(replica)

    async def run(self) -> None:
        """Send queued notices in batches; runs until cancelled."""
        await self._broadcasts.run()

    def _send_to(self, addresses: list[str], replicas: list[Replica]) -> None:
        if replicas:
            self.node.send_all(
                addresses, ReplicaNotices([_notice_from_replica(replica) for replica in replicas])
            )


def _notice_from_replica(replica: Replica) -> ReplicaNoticeEntry:
    backpressure = replica.backpressure
    return ReplicaNoticeEntry(
        replica.replica_id,
        replica.known_start.born_ms,
        backpressure.rate_per_s,
        _ms_ago(backpressure.rate.known_s),
        backpressure.leaving,
        backpressure.rejections_per_s,
        _ms_ago(backpressure.rejections.known_s),
    )


def _ms_ago(known_s: float) -> int:
    return int((boottime_s() - known_s) * MS_PER_S) if math.isfinite(known_s) else NEVER_MS
