"""Selects the gateway to which a call is forwarded.

Which gateways reach the replicas of a service, or of a model, is found by asking them: one that
does not says so at once, and is not asked for these again for a while. Nothing is exchanged while
all gateways reach their replicas, and the cost is the same in a fleet of any size.

Owns what is known of other gateways; the members come from the member list.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.membership.member import Member
    from limeshelf.membership.members import Members

#: A gateway that reaches none of certain replicas is not asked for these again for this long.
REFUSED_AVOID_S = 1.0
#: A gateway that could not be connected to is not asked for this long, doubled with each failure.
FIRST_UNREACHABLE_AVOID_S = 2.0
MAX_UNREACHABLE_AVOID_S = 16.0
#: If this many gateways do not reach certain replicas, no others are asked: probably none does.
MAX_REFUSING = 6
#: Gateways asked for one call.
MAX_ASKED = 4


@attrs.frozen
class Wanted:
    """The replicas that a call needs.

    :param model: empty for a call to a plain service.
    """

    service: str
    model: str = ''


@attrs.define
class _Avoidance:
    """For how long a gateway that could not be connected to is not asked.

    :ivar until_s: end, on the boot clock.
    :ivar avoid_s: length, which the next failure doubles.
    """

    until_s: float
    avoid_s: float


@attrs.define
class ForwardTargets:
    """Selects gateways by their distance and by how they answered before."""

    members: Members
    _refused_until_s: dict[tuple[str, Wanted], float] = attrs.field(factory=dict)
    _unreachable: dict[str, _Avoidance] = attrs.field(factory=dict)

    def choose(self, wanted: Wanted, asked: set[str]) -> Member | None:
        """Return the gateway to ask next, the nearest ones first; ``None`` if there is none.

        :param asked: addresses of the gateways that were asked for this call.
        """
        now_s = boottime_s()
        if len(asked) >= MAX_ASKED or self._count_refusing(wanted, now_s) >= MAX_REFUSING:
            return None
        candidates = [
            member
            for member in self.members.others()
            if member.forward_port
            and member.address not in asked
            and not self._is_avoided(member, wanted, now_s)
        ]
        own_centre = self.members.own.data_centre
        near = [member for member in candidates if member.data_centre == own_centre]
        # The callers of many gateways must not all be forwarded to the same one.
        return random.choice(near or candidates) if candidates else None

    def _count_refusing(self, wanted: Wanted, now_s: float) -> int:
        for key in [key for key, until_s in self._refused_until_s.items() if until_s <= now_s]:
            del self._refused_until_s[key]
        return sum(refused == wanted for _, refused in self._refused_until_s)

    def _is_avoided(self, member: Member, wanted: Wanted, now_s: float) -> bool:
        unreachable = self._unreachable.get(member.address)
        if unreachable is not None and now_s < unreachable.until_s:
            return True
        return (member.address, wanted) in self._refused_until_s

    def record_refused(self, member: Member, wanted: Wanted) -> None:
        """Record that a gateway cannot carry calls for certain replicas."""
        self._refused_until_s[member.address, wanted] = boottime_s() + REFUSED_AVOID_S
        self._unreachable.pop(member.address, None)

    def record_unreachable(self, member: Member) -> None:
        """Record that no connection to a gateway could be opened."""
        known = self._unreachable.get(member.address)
        avoid_s = min(MAX_UNREACHABLE_AVOID_S, 2 * known.avoid_s) if known else 0.0
        avoid_s = avoid_s or FIRST_UNREACHABLE_AVOID_S
        self._unreachable[member.address] = _Avoidance(boottime_s() + avoid_s, avoid_s)

    def record_carried(self, member: Member) -> None:
        """Record that a gateway has carried a call, whatever the outcome."""
        self._unreachable.pop(member.address, None)
