"""Tracks which gateway is the dispatcher of each data centre, which grants its replicas to calls.

The dispatcher is the last relay by rank, because the first relay already polls the store, sends
the sums and forwards replica states. Within a data centre each gateway determines the dispatcher
from its own list of relays. Gateways of other data centres rely on announcements by the relays.

Owns the announcements for other data centres.
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
    """Return the announced address unless the announcement has expired."""
    if announced is None or not is_active(boottime_s() - announced.received_s):
        return None
    return announced.address


@attrs.define
class Dispatchers:
    """The dispatcher of each data centre, as known to this gateway."""

    members: Members
    _announced: dict[str, _Announcement] = attrs.field(factory=dict)
    _forwarded: dict[str, _Announcement] = attrs.field(factory=dict)

    def of_centre(self, data_centre: str) -> str | None:
        """Return the peer address of a data centre's dispatcher.

        :data:`~limeshelf.membership.member.LOCAL` if it is this process, ``None`` if unknown.
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
        """Return the address of this data centre's dispatcher; empty if none is known."""
        relays = self.members.own_relays()
        return relays[-1].address if relays else ''

    def announced(self) -> dict[str, str]:
        """Return the dispatchers that this gateway announces, by data centre.

        Dispatchers forwarded by other relays are excluded: two relays that forward each other's
        information would keep a dispatcher that no longer exists permanently.
        """
        known = {self.members.own.data_centre: self.own_centre_address()}
        for data_centre, announced in self._announced.items():
            known[data_centre] = _active_address(announced) or ''
        return {data_centre: address for data_centre, address in known.items() if address}

    def record_announced(self, data_centre: str, address: str) -> None:
        """Record the dispatcher that a relay of another data centre announced for it.

        :param address: empty if the relay knows none; then nothing changes.
        """
        if address and data_centre != self.members.own.data_centre:
            self._announced[data_centre] = _Announcement(address, boottime_s())

    def record_forwarded(self, data_centre: str, address: str) -> None:
        """Record another data centre's dispatcher, forwarded by a relay of this data centre."""
        if address and data_centre != self.members.own.data_centre:
            self._forwarded[data_centre] = _Announcement(address, boottime_s())
