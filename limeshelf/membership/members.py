"""Which gateways there are, in all data centres, and which of them are relays.

Owns the table of gateways and when each last sent a message. Relies on the rules in
:mod:`~limeshelf.membership.relays` and :mod:`~limeshelf.membership.liveness`; gateways come
from rows of the store, the seeds of the settings and messages.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from limeshelf.membership.liveness import Contact, choose_contact
from limeshelf.membership.member import Member
from limeshelf.membership.relays import RELAY_TIMEOUT_S, choose_relays
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable


class Members:
    """The gateways that are known, this one among them.

    :param own: this gateway.
    :ivar are_listed: whether rows of the table of members have come. Before, each of
        hundreds that start together would take itself for a relay.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.are_listed = False
        self._by_address: dict[str, Member] = {own.address: own}
        #: By data centre, the highest rank first. Ranks are asked for some twenty times a
        #: second and change only when a gateway becomes known.
        self._ranked: dict[str, list[Member]] = {own.data_centre: [own]}

    def add(self, address: str, data_centre: str = '', weight: float | None = None) -> Member:
        """Add a gateway, or learn more of a known one."""
        member = self._by_address.get(address)
        if member is None:
            member = self._by_address[address] = Member(address)
        if member is not self.own:
            self._update_member(
                member,
                data_centre or member.data_centre,
                member.weight if weight is None else weight,
            )
        return member

    def _update_member(self, member: Member, data_centre: str, weight: float) -> None:
        if (member.data_centre, member.weight) == (data_centre, weight):
            return
        if member.data_centre:
            self._ranked[member.data_centre].remove(member)
        member.data_centre, member.weight = data_centre, weight
        if data_centre:
            bisect.insort(
                self._ranked.setdefault(data_centre, []), member, key=lambda one: one.rank_key
            )

    def change_own_weight(self, weight: float) -> None:
        """Let this gateway rank by another weight from now on."""
        self._update_member(self.own, self.own.data_centre, weight)

    def note_message(self, address: str, data_centre: str) -> bool:
        """Note that a gateway sent something; return whether it was silent before."""
        member = self.add(address, data_centre)
        was_silent = not member.is_active
        member.last_message_s = boottime_s()
        return was_silent

    def note_slept(self, slept_s: float) -> None:
        """Note that this machine was suspended: nobody was silent to it for that time."""
        for member in self.others():
            if member.last_message_s:
                member.last_message_s += slept_s

    def mark_leaving(self, address: str) -> None:
        """Note that a gateway stops."""
        member = self._by_address.get(address)
        if member is not None and member is not self.own:
            member.last_message_s = member.relay_since_s = 0.0
            member.last_retry_s = boottime_s()

    def others(self) -> list[Member]:
        """Return all gateways but this one."""
        return [member for member in self._by_address.values() if member is not self.own]

    def active(self) -> list[Member]:
        """Return the other gateways that sent something lately."""
        return [member for member in self.others() if member.is_active]

    def receives_messages(self) -> bool:
        """Return whether any other gateway has sent something lately.

        Relays send to all gateways of their data centre several times within that time.
        """
        oldest_s = boottime_s() - RELAY_TIMEOUT_S
        return any(member.last_message_s >= oldest_s for member in self.others())

    def in_own_centre(self) -> list[Member]:
        """Return the other gateways of this data centre."""
        ranked = self._ranked[self.own.data_centre]
        return [member for member in ranked if member is not self.own]

    def other_centres(self) -> set[str]:
        """Return the other data centres that are known."""
        centres = {centre for centre, ranked in self._ranked.items() if ranked}
        return centres - {self.own.data_centre}

    def centres(self) -> set[str]:
        """Return all data centres that are known."""
        return {*self.other_centres(), self.own.data_centre}

    def ranked(self, data_centre: str) -> list[Member]:
        """Return the gateways of a data centre, silent ones too, the highest rank first."""
        return list(self._ranked.get(data_centre, []))

    def relays(self, data_centre: str) -> list[Member]:
        """Return the relays of a data centre, the first by rank first."""
        now_s = boottime_s()
        choice = choose_relays(self._ranked.get(data_centre, []), self.own, now_s)
        for member in [*choice.relays, *choice.timed_out]:
            if member is not self.own:
                member.relay_since_s = member.relay_since_s or now_s
        for member in choice.standby:
            member.relay_since_s = 0.0
        return choice.relays

    def own_relays(self) -> list[Member]:
        """Return the relays of this data centre."""
        return self.relays(self.own.data_centre)

    @property
    def is_relay(self) -> bool:
        """Return whether this gateway is a relay."""
        return self.own in self.own_relays()

    @property
    def is_first_relay(self) -> bool:
        """Return whether this gateway is the first relay by rank of its data centre."""
        return self.own_relays()[:1] == [self.own]

    def own_rank(self) -> int:
        """Return this gateway's rank among those of its data centre, from 0."""
        return self._ranked[self.own.data_centre].index(self.own)

    def addresses_to_contact(self, members: Iterable[Member]) -> list[str]:
        """Return the addresses of those that are sent a message now.

        A silent gateway that is among them counts as tried again.
        """
        now_s = boottime_s()
        addresses = []
        for member in members:
            if member is self.own:
                continue
            contact = choose_contact(member.since_message_s(now_s), now_s - member.last_retry_s)
            if contact is Contact.SKIP:
                continue
            if contact is Contact.RETRY:
                member.last_retry_s = now_s
            addresses.append(member.address)
        return addresses
