"""Reports to the leader that a call waits because no replica holds what it needs.

Owns nothing; relies on the view of the leader and, where this gateway leads, on the
placement.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.member import LOCAL
from limeshelf.membership.messages import ModelWanted

if TYPE_CHECKING:
    from limeshelf.demand.keys import ModelKey
    from limeshelf.membership.leader import LeaderView
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.placement.service import PlacementService


@attrs.define
class WantExchange:
    """Brings wanted models to the placement of the gateway that leads."""

    node: PeerNode
    leader: LeaderView
    placement: PlacementService

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(ModelWanted, self._take_wanted)

    def report(self, key: ModelKey) -> None:
        """Report to the leader that a call waits for *key*; nothing if none is known."""
        leader = self.leader.current()
        if leader == LOCAL:
            self.placement.request_load(key)
        elif leader is not None:
            self.node.send(leader, ModelWanted(key))

    def _take_wanted(self, envelope: Envelope) -> None:
        wanted: ModelWanted = envelope.message
        self.placement.request_load(wanted.key)
