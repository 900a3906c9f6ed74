"""Which gateways are relays and are sent messages, as others come and go."""

from __future__ import annotations

from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.relays import RELAY_TIMEOUT_S
from limeshelf.util.clock import VirtualClock, virtual_clock


def members(own: str, *others: tuple[str, float]) -> Members:
    """Return the members of data centre c1 as *own* knows them."""
    made = Members(Member(own, 'c1', 1.0))
    for address, weight in others:
        made.add(address, 'c1', weight)
    return made


def relays(known: Members) -> list[str]:
    return [member.address for member in known.relays('c1')]


def test_heaviest_gateways_are_relays_as_everybody_sees_them() -> None:
    with virtual_clock():
        for own in ('g1', 'g2', 'g3'):
            known = members(own, *((one, 1.0) for one in ('g1', 'g2', 'g3') if one != own))
            known.add('g9', 'c1', 5.0)
            known.add('g8', 'c2', 9.0)
            assert relays(known) == ['g9', 'g1']


def test_silent_relay_is_replaced_by_the_next() -> None:
    with virtual_clock() as clock:
        known = members('g3', ('g1', 1.0), ('g2', 1.0))
        assert relays(known) == ['g1', 'g2']
        clock.advance(RELAY_TIMEOUT_S / 2)
        known.note_message('g2', 'c1')
        clock.advance(RELAY_TIMEOUT_S * 0.7)
        assert relays(known) == ['g2', 'g3']
        assert known.is_relay
        assert not known.is_first_relay


def test_relay_that_is_back_is_a_relay_again() -> None:
    with virtual_clock() as clock:
        known = members('g3', ('g1', 1.0), ('g2', 1.0))
        relays(known)
        clock.advance(10 * RELAY_TIMEOUT_S)
        assert relays(known) == ['g3']
        known.note_message('g1', 'c1')
        assert relays(known) == ['g1', 'g3']


def test_silent_gateways_are_tried_now_and_then() -> None:
    with virtual_clock() as clock:
        known = members('g1', ('g2', 1.0))
        clock.advance(60.0)
        assert known.addresses_to_contact(known.others()) == ['g2']
        assert known.addresses_to_contact(known.others()) == []
        clock.advance(5.0)
        assert known.addresses_to_contact(known.others()) == ['g2']


def test_gateway_that_stops_is_no_relay() -> None:
    with virtual_clock() as clock:
        known = members('g3', ('g1', 1.0), ('g2', 1.0))
        known.note_message('g1', 'c1')
        known.note_message('g2', 'c1')
        known.mark_leaving('g1')
        clock.advance(RELAY_TIMEOUT_S * 0.9)
        known.note_message('g2', 'c1')
        assert not any(member.address == 'g1' and member.is_active for member in known.active())


class Fleet:
    """Many gateways of one data centre that see each other with delays."""

    def __init__(self, clock: VirtualClock, size: int) -> None:
        self.clock = clock
        names = [f'g{n:03}' for n in range(size)]
        self.views = {name: Members(Member(name, 'c1', 1.0)) for name in names}
        for view in self.views.values():
            for name in names:
                view.add(name, 'c1', 1.0)
        self.dead: set[str] = set()

    def step(self) -> None:
        """Let each living relay reach all, and each gateway reach its relays."""
        living = {name: view for name, view in self.views.items() if name not in self.dead}
        for name, view in living.items():
            if view.is_relay:
                for other in living.values():
                    other.note_message(name, 'c1')
            for relay in view.own_relays():
                if relay.address in living:
                    living[relay.address].note_message(name, 'c1')
        self.clock.advance(0.25)

    def relays_seen(self) -> set[tuple[str, ...]]:
        return {
            tuple(member.address for member in view.own_relays())
            for name, view in self.views.items()
            if name not in self.dead
        }


def test_all_agree_on_living_relays_soon_after_many_have_died() -> None:
    with virtual_clock() as clock:
        fleet = Fleet(clock, 24)
        for _ in range(8):
            fleet.step()
        assert fleet.relays_seen() == {('g000', 'g001')}
        fleet.dead = {'g000', 'g001'}
        for _ in range(12):
            fleet.step()
        assert fleet.relays_seen() == {('g002', 'g003')}
