"""Whom a gateway takes for the leader, and so for the dispatcher."""

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


def view(fence: int = 0, *heavier: str) -> LeaderView:
    """Return the view of gateway ``own``, which holds the lease under *fence*."""
    members = Members(Member('own', 'c1', 1.0))
    members.are_listed = True
    for address in heavier:
        members.add(address, 'c1', 2.0)
    leadership: Any = Leadership(fence)
    return LeaderView(members, leadership)


def test_leader_dispatches_while_it_is_not_silent() -> None:
    with virtual_clock() as clock:
        one = view()
        assert one.current() is None
        one.record_claim('g1', 4)
        assert one.current() == 'g1'
        clock.advance(INACTIVE_AFTER_S)
        assert one.current() is None


def test_gateway_that_leads_dispatches_itself() -> None:
    with virtual_clock():
        one = view(5)
        one.record_claim('g1', 4)
        assert one.current() == ''


def test_claim_under_a_lower_fence_is_late() -> None:
    with virtual_clock():
        one = view()
        one.record_claim('g2', 5)
        one.record_claim('g1', 4)
        assert one.current() == 'g2'


def test_own_claim_that_comes_back_names_no_other_leader() -> None:
    with virtual_clock():
        one = view()
        one.record_claim('own', 5)
        assert one.current() is None


def test_leader_that_stops_no_longer_dispatches() -> None:
    with virtual_clock():
        one = view()
        one.record_claim('g1', 4)
        one.mark_leaving('g2')
        assert one.current() == 'g1'
        one.mark_leaving('g1')
        assert one.current() is None


def test_relay_contends_as_soon_as_the_leader_is_silent() -> None:
    with virtual_clock() as clock:
        one = view()
        one.record_claim('g1', 4)
        assert not one.may_contend()
        clock.advance(INACTIVE_AFTER_S)
        assert one.may_contend()


def test_relay_contends_while_the_leader_may_not_order() -> None:
    """The leader keeps its term until another one has the lease."""
    with virtual_clock():
        one = view()
        one.record_claim('g1', 4, may_order=False)
        assert one.may_contend()
        assert one.current() == 'g1'
        # A digest says nothing of it.
        one.record_claim('g1', 4)
        assert one.may_contend()
        one.record_claim('g1', 4, may_order=True)
        assert not one.may_contend()


def test_new_leader_may_order_unless_it_says_otherwise() -> None:
    with virtual_clock():
        one = view()
        one.record_claim('g1', 4, may_order=False)
        one.record_claim('g2', 5)
        assert not one.may_contend()


def test_others_contend_some_time_later() -> None:
    """Asked three times a second, as a gateway asks; the relays stay in touch."""
    with virtual_clock() as clock:
        one = view(0, 'g1', 'g2')
        one.record_claim('g1', 4)
        waited_s = 0.0
        for address in ('g1', 'g2'):
            one.members.note_message(address, 'c1')
        while not one.may_contend():
            clock.advance(0.3)
            waited_s += 0.3
            for address in ('g1', 'g2'):
                one.members.note_message(address, 'c1')
        assert (
            INACTIVE_AFTER_S - 0.3 + CONTEND_AFTER_S
            < waited_s
            < INACTIVE_AFTER_S + CONTEND_AFTER_S + 0.3
        )


def test_gateway_that_knows_no_others_contends_only_after_a_while() -> None:
    """Before, each of hundreds that start together read the lease row at once."""
    with virtual_clock() as clock:
        one = view()
        one.members.are_listed = False
        assert not one.may_contend()
        clock.advance(CONTEND_AFTER_S + 0.1)
        assert one.may_contend()
