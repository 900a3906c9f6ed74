"""Which gateway leads by the latest messages.

Owns the newest claim of another gateway to lead. Relies on
:class:`~limeshelf.lease.leadership.Leadership` for whether this gateway leads itself,
and on the messages of the others; the lease's row is not read here.
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
    """The leader by its latest message.

    :param members: have this gateway's own address and whether it is a relay.
    :param leadership: this gateway's own term, if it holds the lease.
    :ivar address: peer address of the gateway that claimed to lead last.
    :ivar fence: of its lease; 0 before any claim. Claims with a lower one are late.
    :ivar last_message_s: when it claimed so; 0 if it has stopped.
    :ivar may_order: whether it said that its orders may leave. One that is cut off from
        the store keeps its term, but lets others contend: while it did not, nobody
        placed models for the 11 s of a cut, and two of five calls at its end found no
        replica.
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
        """Return whether another gateway claimed lately to lead."""
        return bool(self.fence) and is_active(boottime_s() - self.last_claim_s)

    @property
    def is_self(self) -> bool:
        """Return whether this gateway leads."""
        return self.leadership.fence > 0

    def record_claim(self, address: str, fence: int, may_order: bool | None = None) -> None:
        """Note that a gateway leads under *fence*.

        :param may_order: whether its orders may leave; ``None`` where the message does not
            say so.
        """
        if fence < self.fence or address == self.members.own.address:
            return
        if may_order is not None or fence > self.fence:
            self.may_order = may_order is not False
        self.address = address
        self.fence = fence
        self.last_claim_s = boottime_s()

    def mark_leaving(self, address: str) -> None:
        """Note that a gateway stops."""
        if address == self.address:
            self.last_claim_s = 0.0

    def current(self) -> str | None:
        """Return the peer address of the gateway that leads.

        :data:`~limeshelf.membership.member.LOCAL` for this process, ``None`` for nobody known.
        """
        if self.is_self:
            return LOCAL
        return self.address if self.is_active else None

    def may_contend(self) -> bool:
        """Return whether this gateway should try to take the lease.

        For a gateway without the lease; asked again and again, it also notes until
        when another gateway led and could order.
        """
        now_s = boottime_s()
        leader_is_active = self.is_active and self.may_order
        if leader_is_active:
            self._last_leader_s = now_s
        return may_contend(
            leader_is_active=leader_is_active,
            is_first_relay=self.members.are_listed and self.members.is_first_relay,
            leaderless_s=now_s - self._last_leader_s,
        )
