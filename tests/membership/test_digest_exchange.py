"""Contents of a gateway's digest, and the effect of digests and sums it receives."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.calls.active_config import ActiveConfig
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.prefill_speed import PrefillSpeed
from limeshelf.membership.digest_exchange import DigestExchange
from limeshelf.membership.digests import DIGEST_TTL_S
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
    """Records the messages sent."""

    sent: list[tuple[list[str], Any]] = attrs.field(factory=list)

    def send_all(self, addresses: list[str], message: Any) -> None:
        self.sent.append((addresses, message))


@attrs.define
class Totals:
    """Records the demand received."""

    taken: dict[str, list[KeyDemand]] = attrs.field(factory=dict)

    def add_counters(self, process: str, demands: list[KeyDemand]) -> None:
        self.taken[process] = demands

    def remove_running(self, process: str) -> None:
        del self.taken[process]


class Meter:
    def recent(self) -> list[KeyDemand]:
        return [KeyDemand(KEY, started=2)]


def exchange(own: str, *others: str, fence: int = 0) -> DigestExchange:
    """Return the exchange of a gateway in data centre c1; all gateways have the same weight."""
    members = Members(Member(own, 'c1', 1.0))
    for address in others:
        members.add(address, 'c1', 1.0)
    directory = ReplicaDirectory(read_record)
    directory.apply_record(ReplicaRecord('r1', 'lm', 'ip:1', 'c1', 8, False, None, (), 1))
    leadership: Any = Leadership(fence)
    parts: dict[str, Any] = {
        'instance_id': f'i-{own}',
        'node': Node(),
        'members': members,
        'leader': LeaderView(members, leadership),
        'leadership': leadership,
        'directory': directory,
        'meter': Meter(),
        'totals': Totals(),
        'active_config': ActiveConfig(),
        'dispatchers': Dispatchers(members),
        'speed': PrefillSpeed(),
    }
    node = parts['node']
    parts['limits'] = LimitExchange(node, members, parts['active_config'], RULE)
    return DigestExchange(**parts)


def digest(address: str, number: int, *, fence: int = 0, calls: int = 0) -> GatewayDigest:
    loads = [ReplicaLoad('r1', calls, calls * 10)] if calls else []
    demands = [KeyDemand(KEY, started=number)]
    return GatewayDigest(f'i-{address}', address, 'c1', 1.0, number, 3, fence, loads, demands)


def receive_digest(gateway: DigestExchange, message: GatewayDigest) -> None:
    gateway._handle_digest(Envelope(message.address, 'c1', message))


def test_own_digest_contains_load_demand_and_fence() -> None:
    with virtual_clock():
        gateway = exchange('g1', fence=5)
        assert gateway._own_digest().loads == []
        replica = gateway.directory.get('r1')
        assert replica is not None
        replica.own_load.calls, replica.own_load.tokens = 1, 10
        sent = gateway._own_digest()
        assert sent.loads == [ReplicaLoad('r1', 1, 10)]
        assert (sent.fence, sent.demands) == (5, [KeyDemand(KEY, started=2)])


def test_received_digest_updates_demand_loads_and_leader() -> None:
    with virtual_clock():
        gateway = exchange('g1')
        receive_digest(gateway, digest('g2', 4, fence=7, calls=2))
        totals: Any = gateway.totals
        assert totals.taken['i-g2'][0].started == 4
        replica = gateway.directory.get('r1')
        assert replica is not None
        assert gateway.directory.load_of(replica).calls == 2
        assert gateway.leader.current() == 'g2'
        leadership: Any = gateway.leadership
        assert leadership.noted == 7


def test_superseded_digest_changes_nothing() -> None:
    with virtual_clock():
        gateway = exchange('g1')
        receive_digest(gateway, digest('g2', 4))
        receive_digest(gateway, digest('g2', 3, fence=9))
        totals: Any = gateway.totals
        assert totals.taken['i-g2'][0].started == 4
        assert gateway.leader.current() is None


def test_relay_counts_gateways_by_digests_that_have_not_expired() -> None:
    with virtual_clock() as clock:
        gateway = exchange('g1', 'g2', 'g3')
        receive_digest(gateway, digest('g2', 1))
        receive_digest(gateway, digest('g3', 1))
        assert (gateway._active_count(), gateway.gateway_count) == (3, 3)
        clock.advance(DIGEST_TTL_S / 2)
        receive_digest(gateway, digest('g3', 2))
        clock.advance(DIGEST_TTL_S * 0.6)
        assert gateway._active_count() == 2
        # The gateway that is no longer active may still serve calls.
        assert gateway.gateway_count == 3


def test_summary_includes_the_loads_of_its_sender() -> None:
    with virtual_clock():
        gateway = exchange('g1', 'g2', 'g3')
        receive_digest(gateway, digest('g2', 1, calls=2))
        replica = gateway.directory.get('r1')
        assert replica is not None
        replica.own_load.calls, replica.own_load.tokens = 1, 10
        gateway._send_summary(gateway._own_digest())
        node: Any = gateway.node
        summary = FleetSummary(2, [ReplicaLoad('r1', 3, 30)], {'c1': 'g2'})
        assert node.sent == [(['g2', 'g3'], summary)]


def test_summary_is_applied_only_by_gateways_that_are_not_relays() -> None:
    with virtual_clock():
        summary = Envelope('g1', 'c1', FleetSummary(9, [ReplicaLoad('r1', 4, 40)]))
        other, relay = exchange('g3', 'g1', 'g2'), exchange('g1', 'g2', 'g3')
        for gateway, calls in ((other, 4), (relay, 0)):
            for address in ('g1', 'g2'):
                gateway.members.record_message(address, 'c1')
            gateway._handle_summary(summary)
            replica = gateway.directory.get('r1')
            assert replica is not None
            assert gateway.directory.load_of(replica).calls == calls
        assert (other.gateway_count, relay.gateway_count) == (9, None)
        assert relay._active_count() == 1


def test_first_relay_sends_the_sum_of_its_data_centre_to_the_leader() -> None:
    """Separate digests of 195 gateways would take 2 MB per second between data centres."""
    with virtual_clock():
        gateway = exchange('g1', 'g2')
        receive_digest(gateway, digest('g2', 1, fence=4, calls=2))
        receive_digest(gateway, digest('g3', 1, calls=1))
        own = gateway._own_digest()
        gateway._add_demand(own)
        gateway._digest_count = 2
        gateway._send_bundle(own)
        node: Any = gateway.node
        ((addresses, bundle),) = node.sent
        assert addresses == ['g2']
        assert (bundle.gateways, bundle.dispatcher) == (3, 'g2')
        (summed,) = bundle.digests
        assert (summed.instance_id, summed.fence) == ('i-g1+centre', 0)
        assert summed.loads == [ReplicaLoad('r1', 3, 30)]
        assert [(demand.key, demand.started) for demand in summed.demands] == [(KEY, 4)]


def test_sum_counts_all_gateways_of_its_data_centre() -> None:
    with virtual_clock() as clock:
        gateway = exchange('g1', 'g2')
        for sender, number in (('h1', 1), ('h1', 2), ('h2', 1)):
            summed = attrs.evolve(
                digest(sender, number, calls=4), instance_id=f'{sender}+centre', data_centre='c2'
            )
            bundle = DigestBundle([summed], 'h2', 7)
            gateway._handle_bundle(Envelope(sender, 'c2', bundle))
            clock.advance(0.1)
            replica = gateway.directory.get('r1')
            assert replica is not None
            # The sum of a relay replaces the sum of the previous relay.
            assert (gateway.gateway_count, gateway.directory.load_of(replica).calls) == (8, 4)


def test_separate_digests_in_a_bundle_of_an_earlier_release_count_once() -> None:
    with virtual_clock():
        gateway = exchange('g1', 'g2')
        digests = [attrs.evolve(digest(address, 1), data_centre='c2') for address in ('h1', 'h2')]
        gateway._handle_bundle(Envelope('h1', 'c2', DigestBundle(digests)))
        assert gateway.gateway_count == 3


def test_relay_ignores_the_sum_of_its_own_data_centre() -> None:
    with virtual_clock():
        gateway = exchange('g1', 'g2')
        receive_digest(gateway, digest('g2', 1, calls=2))
        summed = attrs.evolve(digest('g2', 1, calls=2), instance_id='i-g2+centre')
        gateway._handle_bundle(Envelope('g2', 'c1', DigestBundle([summed], 'g2', 2)))
        replica = gateway.directory.get('r1')
        assert replica is not None
        assert (gateway.gateway_count, gateway.directory.load_of(replica).calls) == (2, 2)


def test_dispatcher_in_a_bundle_of_another_centre_is_recorded_and_forwarded() -> None:
    with virtual_clock():
        relay, other = exchange('g1', 'g2', 'g3'), exchange('g3', 'g1', 'g2')
        relay._handle_bundle(Envelope('h1', 'c2', DigestBundle([], 'h2')))
        assert relay.dispatchers.of_centre('c2') == 'h2'
        relay._send_summary(relay._own_digest())
        node: Any = relay.node
        for address in ('g1', 'g2'):
            other.members.record_message(address, 'c1')
        other._handle_summary(Envelope('g1', 'c1', node.sent[-1][1]))
        assert other.dispatchers.of_centre('c2') == 'h2'


def test_reading_speed_measured_by_one_gateway_is_shared_in_its_digest() -> None:
    with virtual_clock():
        gateway, other = exchange('g1', 'g2'), exchange('g2', 'g1')
        for _ in range(30):
            other.speed.add_sample('m1', 1000, 122.0)
            receive_digest(
                gateway, attrs.evolve(other._own_digest(), number=gateway._digest_count + 1)
            )
            gateway._digest_count += 1
        assert gateway.speed.prefill_ms('m1', 1000) == pytest.approx(100.0, rel=0.05)
        assert other._own_digest().reading_ms == {}
