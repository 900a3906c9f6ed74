"""The gateways of all data centres, and which of them pass words on.

In each data centre the first gateways by rank are its relays: the others tell
them what they see, and hear from them what the rest of the fleet knows. The
ranks come from rows of the store, so nobody has to be elected; gateways that see
the others differently for a while send some messages more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable

MEMBER_TABLE = 'members'
#: Relays of a data centre.
RELAYS = 2
#: A relay that was not heard for this long gives way to the next by rank.
RELAY_SILENT_S = 1.2
#: A gateway that was not heard for this long is not counted.
SILENT_S = 2.5
#: A silent gateway is still tried this often.
TRY_SILENT_S = 2.0


class MemberValue(msgspec.Struct):
    """A gateway's row in the table of members.

    :ivar weight: how much it can carry beside its calls; relays are the heaviest.
    """

    address: str
    data_centre: str = ''
    weight: float = 0.0


@attrs.define
class Member:
    """A gateway, by its peer address.

    :ivar heard_s: when it was last heard; 0 if never.
    :ivar tried_s: when it was last tried while silent.
    :ivar expected_s: since when words of it are expected; 0 if they are not.
    """

    address: str
    data_centre: str = ''
    weight: float = 0.0
    heard_s: float = 0.0
    tried_s: float = 0.0
    expected_s: float = 0.0

    @property
    def is_heard(self) -> bool:
        """Return whether it was heard lately."""
        return boottime_s() - self.heard_s < SILENT_S

    @property
    def rank(self) -> tuple[float, str]:
        """Return the place among the gateways of its data centre, lowest first."""
        return (-self.weight, self.address)


class Members:
    """The gateways that are known, this one among them.

    :param own: this gateway.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._by_address: dict[str, Member] = {own.address: own}

    def add(self, address: str, data_centre: str = '', weight: float | None = None) -> Member:
        """Add a gateway, or learn more of a known one."""
        member = self._by_address.get(address)
        if member is None:
            member = self._by_address[address] = Member(address)
        if member is not self.own:
            member.data_centre = data_centre or member.data_centre
            member.weight = member.weight if weight is None else weight
        return member

    def hear(self, address: str, data_centre: str) -> bool:
        """Note a word of a gateway; return whether it was silent before."""
        member = self.add(address, data_centre)
        was_silent = not member.is_heard
        member.heard_s = boottime_s()
        return was_silent

    def forget(self, address: str) -> None:
        """Note that a gateway stops."""
        member = self._by_address.get(address)
        if member is not None and member is not self.own:
            member.heard_s = member.expected_s = 0.0
            member.tried_s = boottime_s()

    def others(self) -> list[Member]:
        """Return all gateways but this one."""
        return [member for member in self._by_address.values() if member is not self.own]

    def heard(self) -> list[Member]:
        """Return the other gateways that were heard lately."""
        return [member for member in self.others() if member.is_heard]

    def centre_mates(self) -> list[Member]:
        """Return the other gateways of this data centre."""
        centre = self.own.data_centre
        return [member for member in self.others() if member.data_centre == centre]

    def centres(self) -> set[str]:
        """Return the data centres that are known."""
        return {member.data_centre for member in self._by_address.values() if member.data_centre}

    def relays(self, data_centre: str) -> list[Member]:
        """Return the relays of a data centre, the first by rank first.

        A gateway that ranks high gets a moment to be heard; then the next takes
        its place.
        """
        now_s = boottime_s()
        inside = [one for one in self._by_address.values() if one.data_centre == data_centre]
        chosen: list[Member] = []
        for member in sorted(inside, key=lambda one: one.rank):
            if len(chosen) == RELAYS:
                # Its turn may come; until then nothing is expected of it.
                member.expected_s = 0.0
                continue
            if member is not self.own:
                member.expected_s = member.expected_s or now_s
                if now_s - max(member.heard_s, member.expected_s) > RELAY_SILENT_S:
                    continue
            chosen.append(member)
        return chosen

    def own_relays(self) -> list[Member]:
        """Return the relays of this data centre."""
        return self.relays(self.own.data_centre)

    @property
    def is_relay(self) -> bool:
        """Return whether this gateway is a relay."""
        return self.own in self.own_relays()

    @property
    def is_first_relay(self) -> bool:
        """Return whether this gateway speaks for its data centre."""
        return self.own_relays()[:1] == [self.own]

    def place(self) -> int:
        """Return this gateway's place by rank among those of its data centre."""
        mates = sorted([*self.centre_mates(), self.own], key=lambda one: one.rank)
        return mates.index(self.own)

    def reachable(self, members: Iterable[Member]) -> list[str]:
        """Return the addresses to send to; silent gateways are tried now and then."""
        now_s = boottime_s()
        addresses = []
        for member in members:
            if member is self.own:
                continue
            silent = now_s - max(member.heard_s, member.expected_s) > SILENT_S
            if silent and now_s - member.tried_s < TRY_SILENT_S:
                continue
            if silent:
                member.tried_s = now_s
            addresses.append(member.address)
        return addresses
