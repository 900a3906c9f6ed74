"""Data centres that had no word of each other any more, long after a cut between them was over.

What users saw: after a cut of a data centre, its gateways went on as if it lasted: they placed
calls by states of replicas that were 20 s old, and had changes of the configuration only from
the store, each by itself.

Order of events: a cut separates a data centre from the others for longer than it takes until all
its gateways count as silent. Each side passes over the other's relays, one after the other, until
none is left.

Cause: whoever is silent is no relay, and only relays are sent anything in another data centre. So
where all are silent nobody is sent anything, from neither side, and all stay silent.

Evidence: in three plays of a cut from 8 s to 15 s, the lines ``table_stale`` and ``table_fresh``
of the data centre name the store and its own gateways alone as ``confirmed_by`` until the end of
the play at 43 s; ``report_age_ms`` of its attempts grows by one second a second.
"""

from __future__ import annotations

import attrs

from limeshelf.membership import receivers
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.util.clock import VirtualClock, virtual_clock

#: How often a first relay sends something to the other data centres.
SEND_INTERVAL_S = 0.5


@attrs.define
class Fleet:
    """Gateways that know each other, and send what relays send between data centres."""

    centres: dict[str, str]
    views: dict[str, Members] = attrs.field(factory=dict)
    cut: bool = False

    def __attrs_post_init__(self) -> None:
        for address, centre in self.centres.items():
            self.views[address] = Members(Member(address, centre, 1.0))
        for view in self.views.values():
            for address, centre in self.centres.items():
                view.add(address, centre, 1.0)

    def play(self, clock: VirtualClock, seconds: float) -> None:
        """Let all gateways send for a time."""
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
            if not (self.cut and self.centres[address] != centre):
                self.views[address].note_message(sender, centre)

    def hears_other_centre(self, address: str) -> bool:
        own = self.centres[address]
        return any(member.data_centre != own for member in self.views[address].active())


def test_data_centres_find_each_other_after_a_cut() -> None:
    with virtual_clock() as clock:
        fleet = Fleet({'a1': 'a', 'a2': 'a', 'a3': 'a', 'b1': 'b', 'b2': 'b'})
        fleet.play(clock, 5.0)
        assert fleet.hears_other_centre('a1')
        assert fleet.hears_other_centre('b1')
        fleet.cut = True
        fleet.play(clock, 10.0)
        assert not fleet.hears_other_centre('a1')
        fleet.cut = False
        fleet.play(clock, 3.0)
        assert fleet.hears_other_centre('a1')
        assert fleet.hears_other_centre('b1')
