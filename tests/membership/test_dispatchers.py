"""Which gateway grants the replicas of each data centre."""

from __future__ import annotations

from limeshelf.membership.dispatchers import Dispatchers
from limeshelf.membership.liveness import INACTIVE_AFTER_S
from limeshelf.membership.member import LOCAL, Member
from limeshelf.membership.members import Members
from limeshelf.membership.relays import RELAY_TIMEOUT_S
from limeshelf.util.clock import virtual_clock


def dispatchers(own: str, *others: str) -> Dispatchers:
    members = Members(Member(own, 'c1', 1.0))
    for other in others:
        members.add(other, 'c1', 1.0)
    return Dispatchers(members)


def test_all_of_a_centre_agree_on_its_last_relay() -> None:
    with virtual_clock():
        names = ('g1', 'g2', 'g3')
        views = {own: dispatchers(own, *(one for one in names if one != own)) for own in names}
        assert {view.own_centre_address() for view in views.values()} == {'g2'}
        assert views['g2'].of_centre('c1') == LOCAL
        assert views['g3'].of_centre('c1') == 'g2'


def test_lone_gateway_dispatches() -> None:
    with virtual_clock():
        assert dispatchers('g1').of_centre('c1') == LOCAL


def test_silent_dispatcher_is_followed_by_the_next_relay() -> None:
    with virtual_clock() as clock:
        one = dispatchers('g1', 'g2', 'g3')
        assert one.of_centre('c1') == 'g2'
        clock.advance(RELAY_TIMEOUT_S + 0.1)
        one.members.note_message('g3', 'c1')
        assert one.of_centre('c1') == 'g3'


def test_dispatcher_elsewhere_is_the_announced_one_for_a_while() -> None:
    with virtual_clock() as clock:
        one = dispatchers('g1')
        assert one.of_centre('c2') is None
        one.record_announced('c2', 'h2')
        one.record_announced('c2', '')
        assert one.of_centre('c2') == 'h2'
        assert one.announced() == {'c1': 'g1', 'c2': 'h2'}
        clock.advance(INACTIVE_AFTER_S)
        assert one.of_centre('c2') is None
        assert one.announced() == {'c1': 'g1'}


def test_nobody_announces_the_dispatcher_of_this_centre() -> None:
    with virtual_clock():
        one = dispatchers('g1', 'g2')
        one.record_announced('c1', 'g9')
        assert one.of_centre('c1') == 'g2'


def test_what_a_relay_passes_on_counts_for_a_while_and_goes_no_further() -> None:
    with virtual_clock() as clock:
        one = dispatchers('g1')
        one.record_forwarded('c2', 'h2')
        assert one.of_centre('c2') == 'h2'
        assert one.announced() == {'c1': 'g1'}
        one.record_announced('c2', 'h3')
        assert one.of_centre('c2') == 'h3'
        clock.advance(INACTIVE_AFTER_S)
        assert one.of_centre('c2') is None
