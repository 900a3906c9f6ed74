"""A wanted model is reported to whoever leads."""

from __future__ import annotations

from typing import Any

import attrs

from limeshelf.demand.keys import ModelKey
from limeshelf.membership.leader import LeaderView
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.messages import ModelWanted
from limeshelf.membership.want_exchange import WantExchange
from limeshelf.peers.codec import Envelope
from limeshelf.util.clock import virtual_clock

KEY = ModelKey('lm', 'm1')


@attrs.define
class Leadership:
    fence: int = 0


@attrs.define
class Parts:
    """Stands for the node and the placement; keeps what comes."""

    sent: list[tuple[str, Any]] = attrs.field(factory=list)
    wanted: list[ModelKey] = attrs.field(factory=list)

    def send(self, address: str, message: Any) -> None:
        self.sent.append((address, message))

    def request_load(self, key: ModelKey) -> None:
        self.wanted.append(key)


def exchange(fence: int = 0) -> tuple[WantExchange, Parts]:
    parts: Any = Parts()
    leadership: Any = Leadership(fence)
    return WantExchange(parts, LeaderView(Members(Member('own')), leadership), parts), parts


def test_want_goes_to_the_leader_if_one_is_known() -> None:
    with virtual_clock():
        one, parts = exchange()
        one.report(KEY)
        assert parts.sent == []
        one.leader.note_claim('g1', 4)
        one.report(KEY)
        assert parts.sent == [('g1', ModelWanted(KEY))]
        assert parts.wanted == []


def test_leader_takes_its_own_wants_and_those_of_others() -> None:
    one, parts = exchange(fence=5)
    one.report(KEY)
    one._take_wanted(Envelope('g2', 'c1', ModelWanted(KEY)))
    assert parts.wanted == [KEY, KEY]
    assert parts.sent == []
