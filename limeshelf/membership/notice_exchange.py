"""Tells other gateways what replicas ask of all of them, and takes in what they tell.

It goes as :mod:`~limeshelf.membership.broadcast_queue`. A gateway that starts has missed it: who
does not
know learns it by its first answer from the replica, and tells who gives the turns there as it
asks for one (:mod:`limeshelf.dispatch.turns`).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.broadcast_queue import BroadcastQueue
from limeshelf.membership.messages import ReplicaNoticeEntry, ReplicaNotices
from limeshelf.replicas.notices import NoticeWay
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.notices import NoticeTaker
    from limeshelf.replicas.replica import Replica

#: Stands for an answer that never came, in milliseconds ago.
NEVER_MS = 1 << 40
#: After the first news, in seconds, others that come with it go in the same message.
BATCH_WINDOW_S = 0.01


@attrs.define
class NoticeExchange:
    """Sends and takes what replicas ask for."""

    node: PeerNode
    members: Members
    directory: ReplicaDirectory
    notices: NoticeTaker
    _broadcasts: BroadcastQueue[Replica] = attrs.field(init=False)
    _sender_centre: str = ''

    def __attrs_post_init__(self) -> None:
        self._broadcasts = BroadcastQueue(self.members, BATCH_WINDOW_S, self._send_to)

    def start(self) -> None:
        """Take messages, and note what this gateway learns itself."""
        self.notices.on_change = self._on_change
        self.node.add_handler(ReplicaNotices, self._handle_notices)

    def _on_change(self, replica: Replica, way: NoticeWay) -> None:
        if way is NoticeWay.PEER:
            self._broadcasts.relay(replica.start, replica, self._sender_centre)
        else:
            self._broadcasts.publish(replica.start, replica)

    def _handle_notices(self, envelope: Envelope) -> None:
        self._sender_centre = envelope.data_centre
        now_s = boottime_s()
        for told in envelope.message.notices:
            replica = self.directory.get(told.replica_id)
            if replica is not None and replica.known_start.born_ms == told.born_ms:
                known_s = now_s - told.known_ms_ago / MS_PER_S
                self.notices.take_rate_of_peer(replica, told.rate_per_s, known_s)
                if told.leaving:
                    self.notices.take_leaving_of_peer(replica)

    async def run(self) -> None:
        """Send news as it comes."""
        await self._broadcasts.run()

    def _send_to(self, addresses: list[str], replicas: list[Replica]) -> None:
        if replicas:
            self.node.send_all(
                addresses, ReplicaNotices([_notice_from_replica(one) for one in replicas])
            )


def _notice_from_replica(replica: Replica) -> ReplicaNoticeEntry:
    backpressure = replica.backpressure
    rate_per_s = backpressure.rate_per_s
    known_s = backpressure.ended_s if rate_per_s is None else backpressure.heard_s
    return ReplicaNoticeEntry(
        replica.replica_id,
        replica.known_start.born_ms,
        rate_per_s,
        int((boottime_s() - known_s) * MS_PER_S) if math.isfinite(known_s) else NEVER_MS,
        backpressure.leaving,
    )
