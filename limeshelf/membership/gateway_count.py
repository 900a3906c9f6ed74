"""How many gateways share what all of them together may use.

Owns the highest number that was heard of lately. Relies on
:class:`~limeshelf.membership.members.Members` for the rows of the store.
"""

from __future__ import annotations

import attrs

from limeshelf.membership.members import Members
from limeshelf.util.clock import boottime_s

#: A gateway that is not heard any more counts for this long, in seconds: it may be cut off and
#: go on serving. One that was replaced takes its part for as long.
COUNT_RETENTION_S = 600.0


@attrs.define
class GatewayCounter:
    """Counts the gateways that may be serving, not only those that are heard now.

    A limit that is divided by those heard now is exceeded as soon as some are cut off from
    each other: nine gateways that hear nobody let 180 calls be repeated 256 times where 92 are
    allowed (tests/membership/test_repeats_of_all_gateways.py).
    """

    members: Members
    _highest: int = 0
    _highest_at_s: float = 0.0
    _started_s: float = attrs.field(factory=boottime_s)

    def update(self, active_count: int) -> int | None:
        """Take how many are heard now, this one included; return how many share.

        ``None`` where nothing tells: neither has another gateway been heard, nor have the rows
        of the store come that name them.
        """
        now_s = boottime_s()
        if active_count >= self._highest or now_s - self._highest_at_s > COUNT_RETENTION_S:
            self._highest, self._highest_at_s = active_count, now_s
        is_listed = self.members.are_listed
        listed = len(self.members.others()) + 1
        if is_listed and now_s - self._started_s <= COUNT_RETENTION_S:
            return max(self._highest, listed)
        return self._highest if is_listed or self._highest > 1 else None
