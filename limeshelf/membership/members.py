"""The member list: the known gateways of all data centres, and which of them are relays.

Owns the members and the times of their last messages. Members are added from rows of the store,
from the seeds in the settings and from received messages. The rules are in
:mod:`~limeshelf.membership.relays` and :mod:`~limeshelf.membership.liveness`.
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
    """The known gateways, including this one.

    :param own: this gateway.
    :ivar has_member_rows: whether a row of the members table has been received. Until then, each
        of hundreds of gateways that start together would consider itself a relay.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.has_member_rows = False
        self._by_address: dict[str, Member] = {own.address: own}
        #: By data centre, the highest rank first. Kept sorted, because ranks are read about
        #: twenty times a second but change only when a gateway is added or its weight changes.
        self._ranked: dict[str, list[Member]] = {own.data_centre: [own]}

    def add(self, address: str, data_centre: str = '', weight: float | None = None) -> Member:
        """Add a gateway, or update a known one with the values given."""
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
                self._ranked.setdefault(data_centre, []), member, key=lambda other: other.rank_key
            )

    def change_own_weight(self, weight: float) -> None:
        """Change the weight by which this gateway is ranked."""
        self._update_member(self.own, self.own.data_centre, weight)

    def record_message(self, address: str, data_centre: str) -> bool:
        """Record that a message from a gateway was received; return whether it was inactive."""
        member = self.add(address, data_centre)
        was_inactive = not member.is_active
        member.last_message_s = boottime_s()
        return was_inactive

    def add_suspension(self, slept_s: float) -> None:
        """Exclude a suspension of this machine from the time since each gateway's last message."""
        for member in self.others():
            if member.last_message_s:
                member.last_message_s += slept_s

    def mark_leaving(self, address: str) -> None:
        """Mark a gateway as inactive, because it announced its shutdown."""
        member = self._by_address.get(address)
        if member is not None and member is not self.own:
            member.last_message_s = member.relay_since_s = 0.0
            member.last_retry_s = boottime_s()

    def others(self) -> list[Member]:
        """Return all gateways except this one."""
        return [member for member in self._by_address.values() if member is not self.own]

    def active(self) -> list[Member]:
        """Return the other gateways that are active."""
        return [member for member in self.others() if member.is_active]

    def has_host(self, host: str) -> bool:
        """Return whether a known gateway runs at an IP address."""
        return any(member.host == host for member in self._by_address.values())

    def receives_messages(self) -> bool:
        """Return whether a message from any other gateway arrived within the relay time-out.

        Relays send several messages to all gateways of their data centre within that time.
        """
        min_message_s = boottime_s() - RELAY_TIMEOUT_S
        return any(member.last_message_s >= min_message_s for member in self.others())

    def in_own_centre(self) -> list[Member]:
        """Return the other gateways of this data centre."""
        ranked = self._ranked[self.own.data_centre]
        return [member for member in ranked if member is not self.own]

    def other_centres(self) -> set[str]:
        """Return the known data centres except this gateway's own."""
        centres = {centre for centre, ranked in self._ranked.items() if ranked}
        return centres - {self.own.data_centre}

    def centres(self) -> set[str]:
        """Return all known data centres."""
        return {*self.other_centres(), self.own.data_centre}

    def ranked(self, data_centre: str) -> list[Member]:
        """Return the gateways of a data centre, inactive ones too, the highest rank first."""
        return list(self._ranked.get(data_centre, []))

    def relays(self, data_centre: str) -> list[Member]:
        """Return the relays of a data centre by rank, and record which gateways are relays."""
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
        """Return whether this gateway is the first relay of its data centre by rank."""
        return self.own_relays()[:1] == [self.own]

    def own_rank(self) -> int:
        """Return this gateway's rank in its data centre, from 0."""
        return self._ranked[self.own.data_centre].index(self.own)

    def addresses_to_contact(self, members: Iterable[Member]) -> list[str]:
        """Return the addresses of those members to which a message should be sent now.

        Inactive members are included at intervals only; including one starts its next interval.
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
