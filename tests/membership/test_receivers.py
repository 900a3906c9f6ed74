"""Which gateways receive which messages."""

from __future__ import annotations

from limeshelf.membership import receivers
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.util.clock import virtual_clock


def two_centres(own: str) -> Members:
    """Return the member list of a gateway in c1, with three gateways in c1 and three in c2."""
    members = Members(Member(own, 'c1', 1.0))
    for address in ('a1', 'a2', 'a3'):
        members.add(address, 'c1', 1.0)
    for address in ('b1', 'b2', 'b3'):
        members.add(address, 'c2', 1.0)
    for member in members.others():
        members.record_message(member.address, member.data_centre)
    return members


def test_states_are_sent_to_the_own_centre_and_to_relays_of_others() -> None:
    with virtual_clock():
        assert receivers.of_states(two_centres('a2')) == ['a1', 'a3', 'b1', 'b2']


def test_states_of_another_centre_are_forwarded_by_the_first_relay() -> None:
    with virtual_clock():
        assert receivers.of_forwarded(two_centres('a1'), 'c2') == ['a2', 'a3']
        assert receivers.of_forwarded(two_centres('a1'), 'c1') == []
        assert receivers.of_forwarded(two_centres('a2'), 'c2') == []


def test_sums_are_sent_to_the_leader_and_every_second_one_to_relays_of_others() -> None:
    with virtual_clock():
        members = two_centres('a1')
        assert receivers.of_bundle(members, 'b3', 1) == ['b3']
        assert receivers.of_bundle(members, 'b3', 2) == ['b1', 'b2', 'b3']
        assert receivers.of_bundle(members, None, 1) == []
