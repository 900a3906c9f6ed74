"""Tracks which gateway is the leader, from the claims in received messages.

Owns the latest claim of another gateway. Whether this gateway leads is known from
:class:`~limeshelf.lease.leadership.Leadership`. The lease's row in the store is not read here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.contention import may_contend
from limeshelf.membership.liveness import is_active
from limeshelf.membership.member import LOCAL
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.lease.leadership import Leadership
    from limeshelf.membership.members import Members


@attrs.define
class LeaderView:
    """The leader as known to this gateway.

    :param members: provides this gateway's address and whether it is a relay.
    :param leadership: this gateway's own term, if it holds the lease.
    :ivar address: peer address of the gateway that last claimed to lead.
    :ivar fence: fencing token of its lease; 0 before any claim. Claims with a lower token are
        out of date.
    :ivar last_claim_s: time of its latest claim, on the boot clock; 0 if it has shut down.
    :ivar may_order: whether the leader stated that it may send orders to replicas. A leader that
        is cut off from the store keeps its term but lets others contend. Without this rule no
        models were placed during an 11 s network partition, and two of five calls after
        it found no replica.
    """

    members: Members
    leadership: Leadership
    address: str = ''
    fence: int = 0
    last_claim_s: float = 0.0
    may_order: bool = True
    _last_leader_s: float = attrs.field(factory=boottime_s)

    @property
    def is_active(self) -> bool:
        """Return whether another gateway recently claimed to lead."""
        return bool(self.fence) and is_active(boottime_s() - self.last_claim_s)

    @property
    def is_self(self) -> bool:
        """Return whether this gateway leads."""
        return self.leadership.fence > 0

    def record_claim(self, address: str, fence: int, may_order: bool | None = None) -> None:
        """Record that a gateway claims to lead under *fence*; outdated claims are ignored.

        :param may_order: whether it may send orders to replicas; ``None`` if the message does
            not state it.
        """
        if fence < self.fence or address == self.members.own.address:
            return
        if may_order is not None or fence > self.fence:
            self.may_order = may_order is not False
        self.address = address
        self.fence = fence
        self.last_claim_s = boottime_s()

    def mark_leaving(self, address: str) -> None:
        """Expire the leader's claim if the gateway that announced its shutdown is the leader."""
        if address == self.address:
            self.last_claim_s = 0.0

    def current(self) -> str | None:
        """Return the peer address of the leader.

        :data:`~limeshelf.membership.member.LOCAL` if it is this process, ``None`` if unknown.
        """
        if self.is_self:
            return LOCAL
        return self.address if self.is_active else None

    def may_contend(self) -> bool:
        """Return whether this gateway, which does not hold the lease, should try to acquire it.

        Must be called regularly: each call also records whether there is an active leader that
        may send orders.
        """
        now_s = boottime_s()
        leader_is_active = self.is_active and self.may_order
        if leader_is_active:
            self._last_leader_s = now_s
        return may_contend(
            leader_is_active=leader_is_active,
            is_first_relay=self.members.has_member_rows and self.members.is_first_relay,
            leaderless_s=now_s - self._last_leader_s,
        )
