"""Which gateways are counted when a limit is divided among them."""

from __future__ import annotations

from limeshelf.membership.gateway_count import COUNT_RETENTION_S, GatewayCounter
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.util.clock import virtual_clock


def test_count_is_unknown_before_rows_or_other_gateways() -> None:
    with virtual_clock():
        assert GatewayCounter(Members(Member('g1', 'c1'))).update(1) is None


def test_rows_of_the_store_count_at_a_start() -> None:
    with virtual_clock():
        members = Members(Member('g1', 'c1'))
        members.add('g2', 'c1')
        members.add('g3', 'c2')
        members.has_member_rows = True
        assert GatewayCounter(members).update(1) == 3


def test_single_gateway_with_its_row_counts_one() -> None:
    with virtual_clock() as clock:
        members = Members(Member('g1', 'c1'))
        members.has_member_rows = True
        count = GatewayCounter(members)
        assert count.update(1) == 1
        clock.advance(COUNT_RETENTION_S + 1.0)
        assert count.update(1) == 1


def test_gateways_that_became_inactive_are_counted_for_the_retention_time() -> None:
    with virtual_clock() as clock:
        count = GatewayCounter(Members(Member('g1', 'c1')))
        assert count.update(9) == 9
        clock.advance(COUNT_RETENTION_S - 1.0)
        assert count.update(2) == 9
        clock.advance(2.0)
        assert count.update(2) == 2


def test_rows_of_gateways_that_no_longer_exist_stop_counting() -> None:
    with virtual_clock() as clock:
        members = Members(Member('g1', 'c1'))
        members.has_member_rows = True
        for number in range(40):
            members.add(f'h{number}', 'c1')
        count = GatewayCounter(members)
        assert count.update(9) == 41
        clock.advance(COUNT_RETENTION_S + 1.0)
        assert count.update(9) == 9
