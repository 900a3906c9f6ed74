"""Which gateway of each data centre grants the replicas there, as this gateway knows it.

The last relay by rank: the first one has the store, the sums and the states to pass on
already. Relays see one another fall silent; who is further away goes by what they announce.
Owns what was announced for other data centres; relies on
:class:`~limeshelf.membership.members.Members` for the relays of the own one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import attrs

from limeshelf.membership.liveness import is_active
from limeshelf.membership.member import LOCAL
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.membership.members import Members


class _Announcement(NamedTuple):
    address: str
    received_s: float


def _active_address(announced: _Announcement | None) -> str | None:
    """Return an address that was announced lately."""
    if announced is None or not is_active(boottime_s() - announced.received_s):
        return None
    return announced.address


@attrs.define
class Dispatchers:
    """The dispatcher of each data centre."""

    members: Members
    _announced: dict[str, _Announcement] = attrs.field(factory=dict)
    _forwarded: dict[str, _Announcement] = attrs.field(factory=dict)

    def of_centre(self, data_centre: str) -> str | None:
        """Return the peer address of a data centre's dispatcher.

        :data:`~limeshelf.membership.member.LOCAL` for this process, ``None`` for nobody known.
        """
        if data_centre == self.members.own.data_centre:
            return self._own_centre_dispatcher()
        announced = _active_address(self._announced.get(data_centre))
        return announced or _active_address(self._forwarded.get(data_centre))

    def _own_centre_dispatcher(self) -> str | None:
        relays = self.members.own_relays()
        if not relays:
            return None
        return LOCAL if relays[-1] is self.members.own else relays[-1].address

    def own_centre_address(self) -> str:
        """Return the address of the own data centre's dispatcher; empty if none is known."""
        relays = self.members.own_relays()
        return relays[-1].address if relays else ''

    def announced(self) -> dict[str, str]:
        """Return the dispatchers that are known, by data centre.

        Those that other relays passed on are left out: two relays that pass on what each has of
        the other would keep a lost one for good.
        """
        known = {self.members.own.data_centre: self.own_centre_address()}
        for data_centre, announced in self._announced.items():
            known[data_centre] = _active_address(announced) or ''
        return {data_centre: address for data_centre, address in known.items() if address}

    def record_announced(self, data_centre: str, address: str) -> None:
        """Note whom a relay of another data centre announced for it; empty for nobody."""
        if address and data_centre != self.members.own.data_centre:
            self._announced[data_centre] = _Announcement(address, boottime_s())

    def record_forwarded(self, data_centre: str, address: str) -> None:
        """Note whom a relay of the own data centre has heard announced for another one."""
        if address and data_centre != self.members.own.data_centre:
            self._forwarded[data_centre] = _Announcement(address, boottime_s())
