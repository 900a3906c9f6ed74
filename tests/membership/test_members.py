"""Which gateways are relays, and which are contacted, as gateways start, stop and time out."""

from __future__ import annotations

from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.relays import RELAY_TIMEOUT_S
from limeshelf.util.clock import VirtualClock, virtual_clock


def members(own: str, *others: tuple[str, float]) -> Members:
    """Return the member list of gateway *own* in data centre c1."""
    member_list = Members(Member(own, 'c1', 1.0))
    for address, weight in others:
        member_list.add(address, 'c1', weight)
    return member_list


def relays(member_list: Members) -> list[str]:
    return [member.address for member in member_list.relays('c1')]


def test_all_gateways_choose_the_heaviest_as_relays() -> None:
    with virtual_clock():
        for own in ('g1', 'g2', 'g3'):
            member_list = members(
                own, *((name, 1.0) for name in ('g1', 'g2', 'g3') if name != own)
            )
            member_list.add('g9', 'c1', 5.0)
            member_list.add('g8', 'c2', 9.0)
            assert relays(member_list) == ['g9', 'g1']


def test_relay_that_timed_out_is_replaced_by_the_next() -> None:
    with virtual_clock() as clock:
        member_list = members('g3', ('g1', 1.0), ('g2', 1.0))
        assert relays(member_list) == ['g1', 'g2']
        clock.advance(RELAY_TIMEOUT_S / 2)
        member_list.record_message('g2', 'c1')
        clock.advance(RELAY_TIMEOUT_S * 0.7)
        assert relays(member_list) == ['g2', 'g3']
        assert member_list.is_relay
        assert not member_list.is_first_relay


def test_relay_that_is_back_is_a_relay_again() -> None:
    with virtual_clock() as clock:
        member_list = members('g3', ('g1', 1.0), ('g2', 1.0))
        relays(member_list)
        clock.advance(10 * RELAY_TIMEOUT_S)
        assert relays(member_list) == ['g3']
        member_list.record_message('g1', 'c1')
        assert relays(member_list) == ['g1', 'g3']


def test_inactive_gateways_are_contacted_at_intervals() -> None:
    with virtual_clock() as clock:
        member_list = members('g1', ('g2', 1.0))
        clock.advance(60.0)
        assert member_list.addresses_to_contact(member_list.others()) == ['g2']
        assert member_list.addresses_to_contact(member_list.others()) == []
        clock.advance(5.0)
        assert member_list.addresses_to_contact(member_list.others()) == ['g2']


def test_gateway_that_announced_its_shutdown_is_inactive() -> None:
    with virtual_clock() as clock:
        member_list = members('g3', ('g1', 1.0), ('g2', 1.0))
        member_list.record_message('g1', 'c1')
        member_list.record_message('g2', 'c1')
        member_list.mark_leaving('g1')
        clock.advance(RELAY_TIMEOUT_S * 0.9)
        member_list.record_message('g2', 'c1')
        assert not any(
            member.address == 'g1' and member.is_active for member in member_list.active()
        )


class Fleet:
    """Gateways of one data centre, each with its own member list."""

    def __init__(self, clock: VirtualClock, size: int) -> None:
        self.clock = clock
        names = [f'g{n:03}' for n in range(size)]
        self.views = {name: Members(Member(name, 'c1', 1.0)) for name in names}
        for view in self.views.values():
            for name in names:
                view.add(name, 'c1', 1.0)
        self.stopped: set[str] = set()

    def step(self) -> None:
        """Deliver a message from each live relay to all, and from each gateway to its relays."""
        live = {name: view for name, view in self.views.items() if name not in self.stopped}
        for name, view in live.items():
            if view.is_relay:
                for other in live.values():
                    other.record_message(name, 'c1')
            for relay in view.own_relays():
                if relay.address in live:
                    live[relay.address].record_message(name, 'c1')
        self.clock.advance(0.25)

    def relays_seen(self) -> set[tuple[str, ...]]:
        return {
            tuple(member.address for member in view.own_relays())
            for name, view in self.views.items()
            if name not in self.stopped
        }


def test_all_agree_on_live_relays_soon_after_both_relays_died() -> None:
    with virtual_clock() as clock:
        fleet = Fleet(clock, 24)
        for _ in range(8):
            fleet.step()
        assert fleet.relays_seen() == {('g000', 'g001')}
        fleet.stopped = {'g000', 'g001'}
        for _ in range(12):
            fleet.step()
        assert fleet.relays_seen() == {('g002', 'g003')}
