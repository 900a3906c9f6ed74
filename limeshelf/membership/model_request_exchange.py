"""Requests models from the leader when a call waits because no replica holds its model."""

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
class ModelRequestExchange:
    """Passes requested models and adapters to the placement of the leader."""

    node: PeerNode
    leader: LeaderView
    placement: PlacementService

    def start(self) -> None:
        """Register the message handler."""
        self.node.add_handler(ModelWanted, self._handle_request)

    def request(self, key: ModelKey) -> None:
        """Notify the leader that a call waits for *key*; do nothing if no leader is known."""
        leader = self.leader.current()
        if leader == LOCAL:
            self.placement.request_load(key)
        elif leader is not None:
            self.node.send(leader, ModelWanted(key))

    def _handle_request(self, envelope: Envelope) -> None:
        request: ModelWanted = envelope.message
        self.placement.request_load(request.key)
