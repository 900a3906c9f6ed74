"""Whom a gateway asks for a replica of a data centre, and when it grants by itself instead.

The owner of the replicas grants them for all gateways. While there is none, or it does not
answer, each gateway grants by itself a part of what these replicas can read, because it does
not see what the others grant.
Owns the times until which silent owners are not asked; relies on nothing.
"""

from __future__ import annotations

import attrs

from limeshelf.membership.member import LOCAL

#: An owner that does not answer within this time counts as silent.
ANSWER_TIMEOUT_S = 0.08
#: A silent owner is not asked for this long.
AVOID_S = 0.4
#: Part of a replica's reading that a gateway grants while it is not the replica's owner.
FALLBACK_SHARE = 0.4
#: Part that the owner grants: all of it.
WHOLE_SHARE = 1.0


def reading_share(owner: str | None) -> float:
    """Return the part of a replica's reading, 0 to 1, that this process may grant.

    :param owner: of the replica; :data:`LOCAL` if it is this process.
    """
    return WHOLE_SHARE if owner == LOCAL else FALLBACK_SHARE


@attrs.define
class Fallback:
    """Chooses between the owner of replicas and this process.

    :ivar avoid_until_s: on the steady clock, by address; the owner is not asked before.
    """

    avoid_until_s: dict[str, float] = attrs.field(factory=dict)

    def choose(self, owner: str | None, now_s: float) -> str:
        """Return the peer address of who grants the next request, or :data:`LOCAL`.

        :param owner: of the replicas, :data:`LOCAL` if it is this process, or ``None`` if
            none is known.
        """
        if owner is None or now_s < self.avoid_until_s.get(owner, 0.0):
            return LOCAL
        return owner

    def note_silence(self, owner: str, now_s: float) -> None:
        """Grant the replicas of *owner* here for a while, since it did not answer in time."""
        self.avoid_until_s[owner] = now_s + AVOID_S
