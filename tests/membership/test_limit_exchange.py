"""Whom a gateway asks for what a call uses, and what it does where nobody answers."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from limeshelf.calls.in_force import ConfigInForce
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
#: Nearly all of it a burst, so that it is the window that binds.
LIMIT = UsageLimit(per_s=10.0, burst=7920.0, in_tokens=True)
NAMES = ('g1', 'g2', 'g3', 'g4')


@attrs.define
class Wire:
    """Brings messages to the exchanges of other gateways, but for those that are silent."""

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
            self.exchanges[address]._take_query(envelope)
        elif isinstance(message, LimitVerdict):
            self.exchanges[address]._take_verdict(envelope)


@attrs.define
class Node:
    wire: Wire
    address: str

    def send(self, address: str, message: Any) -> None:
        self.wire.deliver(self.address, address, message)


def config() -> ConfigInForce:
    limits = ClientLimits(16384, 1 << 20, 3.0, 15.0)
    organisations = Organisations([(Organisation('acme', None, LIMIT), [])])
    return ConfigInForce(ServingConfig(1, (), {}, limits, organisations))


def world() -> Wire:
    """Return the exchanges of a data centre, g1 and g2 its relays, that have run for long."""
    wire = Wire()
    for name in NAMES:
        members = Members(Member(name, 'c1', 1.0))
        members.are_listed = True
        for other in NAMES:
            members.add(other, 'c1', 1.0)
        node: Any = Node(wire, name)
        made = wire.exchanges[name] = LimitExchange(node, members, config(), RULE)
        made.started_ms -= 100_000
        made.check_role({})
        if made._limiter is not None:
            made._limiter._listening_since_s -= 100.0
    report(wire)
    return wire


def report(wire: Wire) -> None:
    """Let each gateway say what it uses."""
    for name, sender in wire.exchanges.items():
        number = sender.started_ms + 100_000
        usage = sender.report()
        for receiver in wire.exchanges.values():
            receiver.check_role(receiver.report())
            digest = GatewayDigest(
                f'i-{name}', name, 'c1', 1.0, number, 1, 0, [], [], {}, usage, sender.started_ms
            )
            receiver.take_report(digest)


def reserve(wire: Wire, name: str, amount: int = 500) -> Reservation | Decision:
    return asyncio.run(wire.exchanges[name].reserve('acme', LIMIT, amount))


def test_first_relay_decides_for_all() -> None:
    wire = world()
    granted = 0
    while isinstance(reserve(wire, NAMES[granted % 4]), Reservation):
        granted += 1
    assert 12 <= granted <= 14
    assert set(wire.queries) == {'g1'}


def test_second_relay_is_asked_where_the_first_is_silent_and_that_is_remembered() -> None:
    wire = world()
    wire.silent.add('g1')
    for _ in range(3):
        # The second one grants little between two reports.
        assert isinstance(reserve(wire, 'g3', 100), Reservation)
    assert wire.queries == ['g1', 'g2', 'g2', 'g2']


def test_gateway_that_hears_no_limiter_goes_on_with_its_own_part() -> None:
    wire = world()
    wire.silent.update(('g1', 'g2'))
    own_part = RULE.gateway_quota(LIMIT, len(NAMES))
    amount = int(own_part / 2)
    assert isinstance(reserve(wire, 'g3', amount), Reservation)
    assert isinstance(reserve(wire, 'g3', amount), Reservation)
    refused = reserve(wire, 'g3', amount)
    assert isinstance(refused, Decision)
    assert refused.ruling is Ruling.UNKNOWN


def test_gateway_whose_process_is_young_has_less_of_its_own_part() -> None:
    wire = world()
    wire.silent.update(('g1', 'g2'))
    young = wire.exchanges['g3']
    young.started_ms += 98_000
    amount = int(RULE.gateway_quota(LIMIT, len(NAMES)) / 2)
    assert not isinstance(reserve(wire, 'g3', amount), Reservation)
    assert isinstance(reserve(wire, 'g3', amount // 4), Reservation)


def test_gateway_that_knows_no_others_yet_has_no_part_of_its_own() -> None:
    wire = world()
    wire.silent.update(('g1', 'g2'))
    wire.exchanges['g3']._members.are_listed = False
    assert not isinstance(reserve(wire, 'g3', 10), Reservation)


def test_limiter_is_asked_again_after_a_while() -> None:
    with virtual_clock() as clock:
        wire = world()
        wire.silent.add('g1')
        reserve(wire, 'g3', 100)
        wire.silent.clear()
        clock.advance(AVOID_S + 0.1)
        reserve(wire, 'g3', 100)
        assert wire.queries == ['g1', 'g2', 'g1']


def test_refusal_is_kept_for_a_moment() -> None:
    with virtual_clock() as clock:
        wire = world()
        while isinstance(reserve(wire, 'g3'), Reservation):
            pass
        asked = len(wire.queries)
        kept = reserve(wire, 'g3')
        assert isinstance(kept, Decision)
        assert (kept.ruling, len(wire.queries)) == (Ruling.OVER, asked)
        # What counts less may still find room.
        reserve(wire, 'g3', 1)
        assert len(wire.queries) == asked + 1
        clock.advance(0.2)
        reserve(wire, 'g3')
        assert len(wire.queries) == asked + 2
