"""Which limiter a gateway queries, and what it does if none answers."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from limeshelf.calls.active_config import ActiveConfig
from limeshelf.calls.routes import ClientLimits, ServingConfig
from limeshelf.membership.limit_exchange import AVOID_S, LimitExchange
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.messages import GatewayDigest, LimitQuery, LimitVerdict
from limeshelf.organisations.limiter import Decision, Ruling
from limeshelf.organisations.limits import LimitRule
from limeshelf.organisations.organisation import Organisation, Organisations, UsageLimit
from limeshelf.organisations.usage import Reservation
from limeshelf.peers.codec import Envelope
from limeshelf.util.clock import virtual_clock

RULE = LimitRule(window_s=8.0, overrun=0.0, slack=0.0, centres=1)
#: The burst makes up nearly all of the limit, so that the window restricts usage and not the pace.
LIMIT = UsageLimit(per_s=10.0, burst=7920.0, in_tokens=True)
NAMES = ('g1', 'g2', 'g3', 'g4')


@attrs.define
class Wire:
    """Delivers messages between exchanges, except to and from those that are silent."""

    exchanges: dict[str, LimitExchange] = attrs.field(factory=dict)
    silent: set[str] = attrs.field(factory=set)
    queries: list[str] = attrs.field(factory=list)

    def deliver(self, sender: str, address: str, message: Any) -> None:
        if isinstance(message, LimitQuery):
            self.queries.append(address)
        if sender in self.silent or address in self.silent:
            return
        envelope = Envelope(sender, 'c1', message)
        if isinstance(message, LimitQuery):
            self.exchanges[address]._handle_query(envelope)
        elif isinstance(message, LimitVerdict):
            self.exchanges[address]._handle_verdict(envelope)


@attrs.define
class Node:
    wire: Wire
    address: str

    def send(self, address: str, message: Any) -> None:
        self.wire.deliver(self.address, address, message)


def config() -> ActiveConfig:
    limits = ClientLimits(16384, 1 << 20, 3.0, 15.0)
    organisations = Organisations([(Organisation('acme', None, LIMIT), [])])
    return ActiveConfig(ServingConfig(1, (), {}, limits, organisations))


def make_wire() -> Wire:
    """Return the exchanges of a data centre that has run for long; g1 and g2 are its relays."""
    wire = Wire()
    for name in NAMES:
        members = Members(Member(name, 'c1', 1.0))
        members.has_member_rows = True
        for other in NAMES:
            members.add(other, 'c1', 1.0)
        node: Any = Node(wire, name)
        limit_exchange = wire.exchanges[name] = LimitExchange(node, members, config(), RULE)
        limit_exchange.started_ms -= 100_000
        limit_exchange.update_role({})
        if limit_exchange._limiter is not None:
            limit_exchange._limiter._listening_since_s -= 100.0
    report(wire)
    return wire


def report(wire: Wire) -> None:
    """Let each gateway report its usage to all others."""
    for name, sender in wire.exchanges.items():
        number = sender.started_ms + 100_000
        usage = sender.report()
        for receiver in wire.exchanges.values():
            receiver.update_role(receiver.report())
            digest = GatewayDigest(
                f'i-{name}', name, 'c1', 1.0, number, 1, 0, [], [], {}, usage, sender.started_ms
            )
            receiver.add_report(digest)


def reserve(wire: Wire, name: str, amount: int = 500) -> Reservation | Decision:
    return asyncio.run(wire.exchanges[name].reserve('acme', LIMIT, amount))


def test_first_relay_decides_for_all_gateways() -> None:
    wire = make_wire()
    granted = 0
    while isinstance(reserve(wire, NAMES[granted % 4]), Reservation):
        granted += 1
    assert 12 <= granted <= 14
    assert set(wire.queries) == {'g1'}


def test_second_relay_is_queried_directly_once_the_first_did_not_answer() -> None:
    wire = make_wire()
    wire.silent.add('g1')
    for _ in range(3):
        # The second relay grants only a small amount between two reports.
        assert isinstance(reserve(wire, 'g3', 100), Reservation)
    assert wire.queries == ['g1', 'g2', 'g2', 'g2']


def test_gateway_without_a_limiter_uses_its_own_share() -> None:
    wire = make_wire()
    wire.silent.update(('g1', 'g2'))
    own_share = RULE.gateway_quota(LIMIT, len(NAMES))
    amount = int(own_share / 2)
    assert isinstance(reserve(wire, 'g3', amount), Reservation)
    assert isinstance(reserve(wire, 'g3', amount), Reservation)
    refused = reserve(wire, 'g3', amount)
    assert isinstance(refused, Decision)
    assert refused.ruling is Ruling.UNKNOWN


def test_recently_started_gateway_has_a_smaller_own_share() -> None:
    wire = make_wire()
    wire.silent.update(('g1', 'g2'))
    recently_started = wire.exchanges['g3']
    recently_started.started_ms += 98_000
    amount = int(RULE.gateway_quota(LIMIT, len(NAMES)) / 2)
    assert not isinstance(reserve(wire, 'g3', amount), Reservation)
    assert isinstance(reserve(wire, 'g3', amount // 4), Reservation)


def test_gateway_without_rows_of_the_members_table_has_no_own_share() -> None:
    wire = make_wire()
    wire.silent.update(('g1', 'g2'))
    wire.exchanges['g3']._members.has_member_rows = False
    assert not isinstance(reserve(wire, 'g3', 10), Reservation)


def test_limiter_that_did_not_answer_is_queried_again_later() -> None:
    with virtual_clock() as clock:
        wire = make_wire()
        wire.silent.add('g1')
        reserve(wire, 'g3', 100)
        wire.silent.clear()
        clock.advance(AVOID_S + 0.1)
        reserve(wire, 'g3', 100)
        assert wire.queries == ['g1', 'g2', 'g1']


def test_refusal_is_cached() -> None:
    with virtual_clock() as clock:
        wire = make_wire()
        while isinstance(reserve(wire, 'g3'), Reservation):
            pass
        asked = len(wire.queries)
        kept = reserve(wire, 'g3')
        assert isinstance(kept, Decision)
        assert (kept.ruling, len(wire.queries)) == (Ruling.OVER, asked)
        # A call with a smaller amount may still be within the limit.
        reserve(wire, 'g3', 1)
        assert len(wire.queries) == asked + 1
        clock.advance(0.2)
        reserve(wire, 'g3')
        assert len(wire.queries) == asked + 2
