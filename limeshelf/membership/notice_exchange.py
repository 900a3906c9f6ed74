"""Tells other gateways what replicas ask of all of them, and takes in what they tell.

Each gateway tells the relays of its data centre what changed by answers that it got itself;
relays pass on what was new to them, to all gateways of their data centre and, if it comes from
there, to the relays of the others. Messages may be lost, and a gateway that starts has missed
them: who does not know learns it by its first answer from the replica, and tells who gives the
turns there as it asks for one (:mod:`limeshelf.dispatch.turns`). Owns what is still to be sent.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.membership import receivers
from limeshelf.membership.messages import ReplicaNotices, ToldNotice
from limeshelf.replicas.notices import NoticeWay
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.notices import NoticeTaker
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart

#: Stands for an answer that never came, in milliseconds ago.
NEVER_MS = 1 << 40
#: After the first news, in seconds, others that come with it go in the same message.
GATHER_S = 0.01


@attrs.define
class NoticeExchange:
    """Sends and takes what replicas ask for."""

    node: PeerNode
    members: Members
    directory: ReplicaDirectory
    notices: NoticeTaker
    _near: dict[ReplicaStart, Replica] = attrs.field(factory=dict)
    _far: dict[ReplicaStart, Replica] = attrs.field(factory=dict)
    _has_news: asyncio.Event = attrs.field(factory=asyncio.Event)
    _teller_centre: str = ''

    def start(self) -> None:
        """Take messages, and note what this gateway learns itself."""
        self.notices.on_change = self._note_change
        self.node.add_handler(ReplicaNotices, self._take)

    def _note_change(self, replica: Replica, way: NoticeWay) -> None:
        if way is NoticeWay.PEER and not self.members.is_relay:
            return
        self._near[replica.start] = replica
        if way is not NoticeWay.PEER or self._teller_centre == self.members.own.data_centre:
            self._far[replica.start] = replica
        self._has_news.set()

    def _take(self, envelope: Envelope) -> None:
        self._teller_centre = envelope.data_centre
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
        while True:
            await self._has_news.wait()
            await asyncio.sleep(GATHER_S)
            self._has_news.clear()
            self._send()

    def _send(self) -> None:
        near, self._near = list(self._near.values()), {}
        far, self._far = list(self._far.values()), {}
        members = self.members
        if not members.is_relay:
            self._send_to(members.reachable(members.own_relays()), near)
            return
        self._send_to(receivers.own_centre(members), near)
        self._send_to(sorted(receivers.relays_elsewhere(members)), far)

    def _send_to(self, addresses: list[str], replicas: list[Replica]) -> None:
        if replicas:
            self.node.send_all(addresses, ReplicaNotices([_told(one) for one in replicas]))


def _told(replica: Replica) -> ToldNotice:
    backpressure = replica.backpressure
    rate_per_s = backpressure.rate_per_s
    known_s = backpressure.ended_s if rate_per_s is None else backpressure.heard_s
    return ToldNotice(
        replica.replica_id,
        replica.known_start.born_ms,
        rate_per_s,
        int((boottime_s() - known_s) * MS_PER_S) if math.isfinite(known_s) else NEVER_MS,
        backpressure.leaving,
    )
