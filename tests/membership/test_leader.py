"""Which gateway is considered the leader, and when a gateway contends for the lease."""

from __future__ import annotations

from typing import Any

import attrs

from limeshelf.membership.contention import CONTEND_AFTER_S
from limeshelf.membership.leader import LeaderView
from limeshelf.membership.liveness import INACTIVE_AFTER_S
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.util.clock import virtual_clock


@attrs.define
class Leadership:
    fence: int = 0


def make_view(fence: int = 0, *heavier: str) -> LeaderView:
    """Return the view of gateway ``own``, which holds the lease under *fence*."""
    members = Members(Member('own', 'c1', 1.0))
    members.has_member_rows = True
    for address in heavier:
        members.add(address, 'c1', 2.0)
    leadership: Any = Leadership(fence)
    return LeaderView(members, leadership)


def test_leader_is_known_until_its_claim_expires() -> None:
    with virtual_clock() as clock:
        leader_view = make_view()
        assert leader_view.current() is None
        leader_view.record_claim('g1', 4)
        assert leader_view.current() == 'g1'
        clock.advance(INACTIVE_AFTER_S)
        assert leader_view.current() is None


def test_gateway_that_holds_the_lease_is_its_own_leader() -> None:
    with virtual_clock():
        leader_view = make_view(5)
        leader_view.record_claim('g1', 4)
        assert leader_view.current() == ''


def test_claim_with_a_lower_fence_is_ignored() -> None:
    with virtual_clock():
        leader_view = make_view()
        leader_view.record_claim('g2', 5)
        leader_view.record_claim('g1', 4)
        assert leader_view.current() == 'g2'


def test_own_claim_received_from_a_peer_is_ignored() -> None:
    with virtual_clock():
        leader_view = make_view()
        leader_view.record_claim('own', 5)
        assert leader_view.current() is None


def test_leader_that_announced_its_shutdown_is_no_longer_known() -> None:
    with virtual_clock():
        leader_view = make_view()
        leader_view.record_claim('g1', 4)
        leader_view.mark_leaving('g2')
        assert leader_view.current() == 'g1'
        leader_view.mark_leaving('g1')
        assert leader_view.current() is None


def test_first_relay_contends_as_soon_as_the_leader_is_inactive() -> None:
    with virtual_clock() as clock:
        leader_view = make_view()
        leader_view.record_claim('g1', 4)
        assert not leader_view.may_contend()
        clock.advance(INACTIVE_AFTER_S)
        assert leader_view.may_contend()


def test_relay_contends_while_the_leader_may_not_order() -> None:
    """The leader keeps its term until another gateway acquires the lease."""
    with virtual_clock():
        leader_view = make_view()
        leader_view.record_claim('g1', 4, may_order=False)
        assert leader_view.may_contend()
        assert leader_view.current() == 'g1'
        # A claim in a digest does not state whether the leader may send orders.
        leader_view.record_claim('g1', 4)
        assert leader_view.may_contend()
        leader_view.record_claim('g1', 4, may_order=True)
        assert not leader_view.may_contend()


def test_new_leader_may_order_unless_it_states_otherwise() -> None:
    with virtual_clock():
        leader_view = make_view()
        leader_view.record_claim('g1', 4, may_order=False)
        leader_view.record_claim('g2', 5)
        assert not leader_view.may_contend()


def test_other_gateways_contend_some_time_later() -> None:
    """The gateway checks three times a second, as the program does; the relays are active."""
    with virtual_clock() as clock:
        leader_view = make_view(0, 'g1', 'g2')
        leader_view.record_claim('g1', 4)
        waited_s = 0.0
        for address in ('g1', 'g2'):
            leader_view.members.record_message(address, 'c1')
        while not leader_view.may_contend():
            clock.advance(0.3)
            waited_s += 0.3
            for address in ('g1', 'g2'):
                leader_view.members.record_message(address, 'c1')
        assert (
            INACTIVE_AFTER_S - 0.3 + CONTEND_AFTER_S
            < waited_s
            < INACTIVE_AFTER_S + CONTEND_AFTER_S + 0.3
        )


def test_gateway_that_knows_no_others_contends_only_after_a_while() -> None:
    """Hundreds of gateways that start together must not all read the lease row at once."""
    with virtual_clock() as clock:
        leader_view = make_view()
        leader_view.members.has_member_rows = False
        assert not leader_view.may_contend()
        clock.advance(CONTEND_AFTER_S + 0.1)
        assert leader_view.may_contend()
