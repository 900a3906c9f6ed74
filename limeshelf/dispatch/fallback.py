"""Falls back to granting replicas locally while their owner is unknown or does not answer.

The owner of a data centre's replicas grants them for all gateways. Without an owner that answers,
each gateway grants part of the prefill capacity of these replicas by itself; only a part, because
it does not see what the others grant.

Owns the times until which unresponsive owners are avoided.
"""

from __future__ import annotations

import attrs

from limeshelf.membership.member import LOCAL

#: An owner that does not answer within this time counts as unresponsive.
ANSWER_TIMEOUT_S = 0.08
#: An unresponsive owner is not queried for this long.
AVOID_S = 0.4
#: Share of a replica's prefill capacity that a gateway grants while it is not the owner.
FALLBACK_SHARE = 0.4
#: Share that the owner grants: all of it.
WHOLE_SHARE = 1.0


def prefill_share(owner: str | None) -> float:
    """Return the share of a replica's prefill capacity, 0 to 1, that this process may grant.

    :param owner: of the replica; :data:`LOCAL` if it is this process.
    """
    return WHOLE_SHARE if owner == LOCAL else FALLBACK_SHARE


@attrs.define
class Fallback:
    """Chooses between the owner of replicas and this process.

    :ivar avoid_until_s: by owner address, the time on the boot clock before which that owner is
        not queried.
    """

    avoid_until_s: dict[str, float] = attrs.field(factory=dict)

    def choose(self, owner: str | None, now_s: float) -> str:
        """Return the address of the gateway that grants the next request.

        :param owner: of the replicas, :data:`LOCAL` if it is this process, or ``None`` if none is
            known.
        :returns: the owner's peer address, or :data:`LOCAL` if this process grants.
        """
        if owner is None or now_s < self.avoid_until_s.get(owner, 0.0):
            return LOCAL
        return owner

    def record_timeout(self, owner: str, now_s: float) -> None:
        """Grant the replicas of *owner* locally for a while, because it did not answer in time."""
        self.avoid_until_s[owner] = now_s + AVOID_S
