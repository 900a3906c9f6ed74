"""Which gateway is the dispatcher of each data centre."""

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


def test_gateways_of_a_centre_agree_that_the_last_relay_is_the_dispatcher() -> None:
    with virtual_clock():
        names = ('g1', 'g2', 'g3')
        views = {own: dispatchers(own, *(name for name in names if name != own)) for own in names}
        assert {view.own_centre_address() for view in views.values()} == {'g2'}
        assert views['g2'].of_centre('c1') == LOCAL
        assert views['g3'].of_centre('c1') == 'g2'


def test_lone_gateway_dispatches() -> None:
    with virtual_clock():
        assert dispatchers('g1').of_centre('c1') == LOCAL


def test_dispatcher_that_timed_out_is_replaced_by_the_next_relay() -> None:
    with virtual_clock() as clock:
        view = dispatchers('g1', 'g2', 'g3')
        assert view.of_centre('c1') == 'g2'
        clock.advance(RELAY_TIMEOUT_S + 0.1)
        view.members.record_message('g3', 'c1')
        assert view.of_centre('c1') == 'g3'


def test_announced_dispatcher_of_another_centre_expires() -> None:
    with virtual_clock() as clock:
        view = dispatchers('g1')
        assert view.of_centre('c2') is None
        view.record_announced('c2', 'h2')
        view.record_announced('c2', '')
        assert view.of_centre('c2') == 'h2'
        assert view.announced() == {'c1': 'g1', 'c2': 'h2'}
        clock.advance(INACTIVE_AFTER_S)
        assert view.of_centre('c2') is None
        assert view.announced() == {'c1': 'g1'}


def test_announcement_for_this_centre_is_ignored() -> None:
    with virtual_clock():
        view = dispatchers('g1', 'g2')
        view.record_announced('c1', 'g9')
        assert view.of_centre('c1') == 'g2'


def test_forwarded_dispatcher_expires_and_is_not_announced() -> None:
    with virtual_clock() as clock:
        view = dispatchers('g1')
        view.record_forwarded('c2', 'h2')
        assert view.of_centre('c2') == 'h2'
        assert view.announced() == {'c1': 'g1'}
        view.record_announced('c2', 'h3')
        assert view.of_centre('c2') == 'h3'
        clock.advance(INACTIVE_AFTER_S)
        assert view.of_centre('c2') is None
