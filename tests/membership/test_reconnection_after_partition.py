"""Data centres exchange messages again after a network partition between them has ended.

The failure: a partition lasts until each side considers all gateways of the other side timed out
as relays. Only relays receive messages in another data centre, so neither side sends anything any
more and the separation outlasts the partition. Gateways then place calls by outdated replica
states (up to 20 s old), and each gets configuration changes only by polling the store itself.

It shows in the event log: for 28 s after each of three partitions of 7 s, ``confirmed_by`` in
``table_stale`` and ``table_fresh`` named only the store and the data centre's own gateways, and
``report_age_ms`` grew by one second per second.
"""

from __future__ import annotations

import attrs

from limeshelf.membership import receivers
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.util.clock import VirtualClock, virtual_clock

#: Interval at which a first relay sends messages to the other data centres.
SEND_INTERVAL_S = 0.5


@attrs.define
class Fleet:
    """Gateways that know each other and send messages as relays do."""

    centres: dict[str, str]
    views: dict[str, Members] = attrs.field(factory=dict)
    is_partitioned: bool = False

    def __attrs_post_init__(self) -> None:
        for address, centre in self.centres.items():
            self.views[address] = Members(Member(address, centre, 1.0))
        for view in self.views.values():
            for address, centre in self.centres.items():
                view.add(address, centre, 1.0)

    def run(self, clock: VirtualClock, seconds: float) -> None:
        """Let all gateways send messages for a number of seconds."""
        end_s = clock.now_s + seconds
        while clock.now_s < end_s:
            for address, view in self.views.items():
                self._send(address, receivers.own_centre(view))
                if view.is_first_relay:
                    self._send(address, sorted(receivers.other_centre_relays(view)))
            clock.advance(SEND_INTERVAL_S)

    def _send(self, sender: str, addresses: list[str]) -> None:
        centre = self.centres[sender]
        for address in addresses:
            if not (self.is_partitioned and self.centres[address] != centre):
                self.views[address].record_message(sender, centre)

    def receives_from_other_centre(self, address: str) -> bool:
        own = self.centres[address]
        return any(member.data_centre != own for member in self.views[address].active())


def test_data_centres_exchange_messages_again_after_a_partition() -> None:
    with virtual_clock() as clock:
        fleet = Fleet({'a1': 'a', 'a2': 'a', 'a3': 'a', 'b1': 'b', 'b2': 'b'})
        fleet.run(clock, 5.0)
        assert fleet.receives_from_other_centre('a1')
        assert fleet.receives_from_other_centre('b1')
        fleet.is_partitioned = True
        fleet.run(clock, 10.0)
        assert not fleet.receives_from_other_centre('a1')
        fleet.is_partitioned = False
        fleet.run(clock, 3.0)
        assert fleet.receives_from_other_centre('a1')
        assert fleet.receives_from_other_centre('b1')
