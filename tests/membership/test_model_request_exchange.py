"""Model requests reach the placement of the leader."""

from __future__ import annotations

from typing import Any

import attrs

from limeshelf.demand.keys import ModelKey
from limeshelf.membership.leader import LeaderView
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.messages import ModelWanted
from limeshelf.membership.model_request_exchange import ModelRequestExchange
from limeshelf.peers.codec import Envelope
from limeshelf.util.clock import virtual_clock

KEY = ModelKey('lm', 'm1')


@attrs.define
class Leadership:
    fence: int = 0


@attrs.define
class Parts:
    """Replaces the node and the placement, and records calls to them."""

    sent: list[tuple[str, Any]] = attrs.field(factory=list)
    wanted: list[ModelKey] = attrs.field(factory=list)

    def send(self, address: str, message: Any) -> None:
        self.sent.append((address, message))

    def request_load(self, key: ModelKey) -> None:
        self.wanted.append(key)


def exchange(fence: int = 0) -> tuple[ModelRequestExchange, Parts]:
    parts: Any = Parts()
    leadership: Any = Leadership(fence)
    return ModelRequestExchange(
        parts, LeaderView(Members(Member('own')), leadership), parts
    ), parts


def test_request_is_sent_to_the_leader_if_one_is_known() -> None:
    with virtual_clock():
        requests, parts = exchange()
        requests.request(KEY)
        assert parts.sent == []
        requests.leader.record_claim('g1', 4)
        requests.request(KEY)
        assert parts.sent == [('g1', ModelWanted(KEY))]
        assert parts.wanted == []


def test_leader_handles_its_own_requests_and_those_of_others() -> None:
    requests, parts = exchange(fence=5)
    requests.request(KEY)
    requests._handle_request(Envelope('g2', 'c1', ModelWanted(KEY)))
    assert parts.wanted == [KEY, KEY]
    assert parts.sent == []
