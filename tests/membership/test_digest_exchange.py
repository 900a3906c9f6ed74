"""What a gateway sends of its own doing, and what it makes of the digests of others."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.calls.in_force import ConfigInForce
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.prefill_speed import PrefillSpeed
from limeshelf.membership.digest_exchange import DigestExchange
from limeshelf.membership.digests import DIGEST_LIFE_S
from limeshelf.membership.dispatchers import Dispatchers
from limeshelf.membership.leader import LeaderView
from limeshelf.membership.limit_exchange import LimitExchange
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.messages import (
    DigestBundle,
    FleetSummary,
    GatewayDigest,
    ReplicaLoad,
)
from limeshelf.organisations.limits import LimitRule
from limeshelf.peers.codec import Envelope
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import ReplicaRecord
from limeshelf.util.clock import virtual_clock

KEY = ModelKey('lm', 'm1')
RULE = LimitRule(window_s=8.0, overrun=0.1, slack=0.0, centres=1)


@attrs.define
class Leadership:
    fence: int = 0
    noted: int = 0

    def observe_fence(self, fence: int) -> None:
        self.noted = fence


@attrs.define
class Node:
    """Keeps what is sent."""

    sent: list[tuple[list[str], Any]] = attrs.field(factory=list)

    def send_all(self, addresses: list[str], message: Any) -> None:
        self.sent.append((addresses, message))


@attrs.define
class Totals:
    """Keeps the demand that came."""

    taken: dict[str, list[KeyDemand]] = attrs.field(factory=dict)

    def add_counters(self, process: str, demands: list[KeyDemand]) -> None:
        self.taken[process] = demands

    def remove_running(self, process: str) -> None:
        del self.taken[process]


class Meter:
    def recent(self) -> list[KeyDemand]:
        return [KeyDemand(KEY, started=2)]


def exchange(own: str, *others: str, fence: int = 0) -> DigestExchange:
    """Return the exchange of a gateway in data centre c1; all gateways are as heavy."""
    members = Members(Member(own, 'c1', 1.0))
    for address in others:
        members.add(address, 'c1', 1.0)
    directory = ReplicaDirectory(read_record)
    directory.take_record(ReplicaRecord('r1', 'lm', 'ip:1', 'c1', 8, False, None, (), 1))
    leadership: Any = Leadership(fence)
    known: dict[str, Any] = {
        'instance_id': f'i-{own}',
        'node': Node(),
        'members': members,
        'leader': LeaderView(members, leadership),
        'leadership': leadership,
        'directory': directory,
        'meter': Meter(),
        'totals': Totals(),
        'in_force': ConfigInForce(),
        'dispatchers': Dispatchers(members),
        'speed': PrefillSpeed(),
    }
    node = known['node']
    known['limits'] = LimitExchange(node, members, known['in_force'], RULE)
    return DigestExchange(**known)


def digest(address: str, number: int, *, fence: int = 0, calls: int = 0) -> GatewayDigest:
    loads = [ReplicaLoad('r1', calls, calls * 10)] if calls else []
    demands = [KeyDemand(KEY, started=number)]
    return GatewayDigest(f'i-{address}', address, 'c1', 1.0, number, 3, fence, loads, demands)


def take(one: DigestExchange, message: GatewayDigest) -> None:
    one._take_digest(Envelope(message.address, 'c1', message))


def test_own_digest_holds_calls_under_way_demand_and_fence() -> None:
    with virtual_clock():
        one = exchange('g1', fence=5)
        assert one._own_digest().loads == []
        replica = one.directory.get('r1')
        assert replica is not None
        replica.own.calls, replica.own.tokens = 1, 10
        sent = one._own_digest()
        assert sent.loads == [ReplicaLoad('r1', 1, 10)]
        assert (sent.fence, sent.demands) == (5, [KeyDemand(KEY, started=2)])


def test_digest_brings_demand_loads_and_the_leader() -> None:
    with virtual_clock():
        one = exchange('g1')
        take(one, digest('g2', 4, fence=7, calls=2))
        totals: Any = one.totals
        assert totals.taken['i-g2'][0].started == 4
        replica = one.directory.get('r1')
        assert replica is not None
        assert one.directory.load_of(replica).calls == 2
        assert one.leader.current() == 'g2'
        leadership: Any = one.leadership
        assert leadership.noted == 7


def test_late_digest_changes_nothing() -> None:
    with virtual_clock():
        one = exchange('g1')
        take(one, digest('g2', 4))
        take(one, digest('g2', 3, fence=9))
        totals: Any = one.totals
        assert totals.taken['i-g2'][0].started == 4
        assert one.leader.current() is None


def test_relay_counts_the_gateways_whose_digests_count() -> None:
    with virtual_clock() as clock:
        one = exchange('g1', 'g2', 'g3')
        take(one, digest('g2', 1))
        take(one, digest('g3', 1))
        assert (one._heard_count(), one.gateway_count) == (3, 3)
        clock.advance(DIGEST_LIFE_S / 2)
        take(one, digest('g3', 2))
        clock.advance(DIGEST_LIFE_S * 0.6)
        assert one._heard_count() == 2
        # The one that is not heard any more may go on serving.
        assert one.gateway_count == 3


def test_summary_holds_all_loads_the_own_among_them() -> None:
    with virtual_clock():
        one = exchange('g1', 'g2', 'g3')
        take(one, digest('g2', 1, calls=2))
        replica = one.directory.get('r1')
        assert replica is not None
        replica.own.calls, replica.own.tokens = 1, 10
        one._send_summary(one._own_digest())
        node: Any = one.node
        summary = FleetSummary(2, [ReplicaLoad('r1', 3, 30)], {'c1': 'g2'})
        assert node.sent == [(['g2', 'g3'], summary)]


def test_summary_counts_only_for_those_without_digests() -> None:
    with virtual_clock():
        summary = Envelope('g1', 'c1', FleetSummary(9, [ReplicaLoad('r1', 4, 40)]))
        other, relay = exchange('g3', 'g1', 'g2'), exchange('g1', 'g2', 'g3')
        for one, calls in ((other, 4), (relay, 0)):
            for address in ('g1', 'g2'):
                one.members.note_message(address, 'c1')
            one._take_summary(summary)
            replica = one.directory.get('r1')
            assert replica is not None
            assert one.directory.load_of(replica).calls == calls
        assert (other.gateway_count, relay.gateway_count) == (9, None)
        assert relay._heard_count() == 1


def test_first_relay_sends_the_sum_of_its_data_centre_to_the_leader() -> None:
    """Before: each digest by itself, 2 MB a second between data centres of 195 gateways."""
    with virtual_clock():
        one = exchange('g1', 'g2')
        take(one, digest('g2', 1, fence=4, calls=2))
        take(one, digest('g3', 1, calls=1))
        own = one._own_digest()
        one._take_demand(own)
        one._digest_count = 2
        one._send_bundle(own)
        node: Any = one.node
        ((addresses, bundle),) = node.sent
        assert addresses == ['g2']
        assert (bundle.gateways, bundle.dispatcher) == (3, 'g2')
        (summed,) = bundle.digests
        assert (summed.instance_id, summed.fence) == ('i-g1+centre', 0)
        assert summed.loads == [ReplicaLoad('r1', 3, 30)]
        assert [(one.key, one.started) for one in summed.demands] == [(KEY, 4)]


def test_sum_of_a_data_centre_counts_all_its_gateways() -> None:
    with virtual_clock() as clock:
        one = exchange('g1', 'g2')
        for sender, number in (('h1', 1), ('h1', 2), ('h2', 1)):
            summed = attrs.evolve(
                digest(sender, number, calls=4), instance_id=f'{sender}+centre', data_centre='c2'
            )
            bundle = DigestBundle([summed], 'h2', 7)
            one._take_bundle(Envelope(sender, 'c2', bundle))
            clock.advance(0.1)
            replica = one.directory.get('r1')
            assert replica is not None
            # The sum of a relay replaces that of the one before it.
            assert (one.gateway_count, one.directory.load_of(replica).calls) == (8, 4)


def test_digests_of_a_release_that_bundled_each_by_itself_count_once() -> None:
    with virtual_clock():
        one = exchange('g1', 'g2')
        digests = [attrs.evolve(digest(one, 1), data_centre='c2') for one in ('h1', 'h2')]
        one._take_bundle(Envelope('h1', 'c2', DigestBundle(digests)))
        assert one.gateway_count == 3


def test_relay_takes_no_sum_of_its_own_data_centre() -> None:
    with virtual_clock():
        one = exchange('g1', 'g2')
        take(one, digest('g2', 1, calls=2))
        summed = attrs.evolve(digest('g2', 1, calls=2), instance_id='i-g2+centre')
        one._take_bundle(Envelope('g2', 'c1', DigestBundle([summed], 'g2', 2)))
        replica = one.directory.get('r1')
        assert replica is not None
        assert (one.gateway_count, one.directory.load_of(replica).calls) == (2, 2)


def test_dispatcher_of_another_centre_is_known_by_its_bundle_and_passed_on() -> None:
    with virtual_clock():
        relay, other = exchange('g1', 'g2', 'g3'), exchange('g3', 'g1', 'g2')
        relay._take_bundle(Envelope('h1', 'c2', DigestBundle([], 'h2')))
        assert relay.dispatchers.of_centre('c2') == 'h2'
        relay._send_summary(relay._own_digest())
        node: Any = relay.node
        for address in ('g1', 'g2'):
            other.members.note_message(address, 'c1')
        other._take_summary(Envelope('g1', 'c1', node.sent[-1][1]))
        assert other.dispatchers.of_centre('c2') == 'h2'


def test_reading_that_one_gateway_learned_is_known_to_all_with_its_digest() -> None:
    with virtual_clock():
        one, two = exchange('g1', 'g2'), exchange('g2', 'g1')
        for _ in range(30):
            two.speed.add_sample('m1', 1000, 122.0)
            take(one, attrs.evolve(two._own_digest(), number=one._digest_count + 1))
            one._digest_count += 1
        assert one.speed.prefill_ms('m1', 1000) == pytest.approx(100.0, rel=0.05)
        assert two._own_digest().reading_ms == {}
