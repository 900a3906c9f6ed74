"""Counts the gateways among which limits for the whole deployment are divided.

Owns the highest number of recently active gateways.
"""

from __future__ import annotations

import attrs

from limeshelf.membership.members import Members
from limeshelf.util.clock import boottime_s

#: A gateway that is no longer active is counted for this long, because it may be cut off by a
#: network partition and still serve calls. A gateway that was replaced is counted as long, too.
COUNT_RETENTION_S = 600.0


@attrs.define
class GatewayCounter:
    """Counts all gateways that may be serving calls, not only the active ones.

    A limit divided by the number of active gateways is exceeded as soon as a network partition
    separates some of them: nine isolated gateways allowed 256 retries of 180 calls where the
    limit is 92 (tests/membership/test_retries_of_all_gateways.py).
    """

    members: Members
    _highest: int = 0
    _highest_at_s: float = 0.0
    _started_s: float = attrs.field(factory=boottime_s)

    def update(self, active_count: int) -> int | None:
        """Return the number of gateways that share the limits.

        ``None`` if unknown: no other gateway has been active, and no row of the members table
        has been received.

        :param active_count: number of active gateways, this one included.
        """
        now_s = boottime_s()
        if active_count >= self._highest or now_s - self._highest_at_s > COUNT_RETENTION_S:
            self._highest, self._highest_at_s = active_count, now_s
        is_listed = self.members.has_member_rows
        listed = len(self.members.others()) + 1
        if is_listed and now_s - self._started_s <= COUNT_RETENTION_S:
            return max(self._highest, listed)
        return self._highest if is_listed or self._highest > 1 else None
