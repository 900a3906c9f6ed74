"""Which dispatcher a gateway asks, and when it grants by itself instead.

The leader dispatches for all gateways. While there is none, or it does not answer, each
gateway grants by itself a part of what the replicas can read, because it does not see
what the others grant.
Owns the time until which a silent dispatcher is not asked; relies on nothing.
"""

from __future__ import annotations

import attrs

#: Stands for this process where the peer address of a gateway is meant.
LOCAL = ''
#: A dispatcher that does not answer within this time counts as silent. Chosen, not measured.
ANSWER_TIMEOUT_S = 0.08
#: A silent dispatcher is not asked for this long. Chosen; trials of one second showed no loss.
AVOID_S = 0.4
#: Part of a replica's reading that a gateway grants while it is not the dispatcher. Chosen,
#: not measured.
FALLBACK_SHARE = 0.4
#: Part that the dispatcher in force grants: all of it.
WHOLE_SHARE = 1.0


@attrs.frozen
class DispatcherChoice:
    """Who grants the next request of this gateway.

    :param address: peer address to ask, or :data:`LOCAL`.
    :param local_share: part of a replica's reading, 0 to 1, that this process may grant
        meanwhile, to its own calls and to those of gateways that ask it.
    """

    address: str
    local_share: float


@attrs.define
class Fallback:
    """Chooses between the leader and this process.

    :ivar avoid_until_s: on the steady clock; the leader is not asked before.
    """

    avoid_until_s: float = 0.0

    def choose(self, leader: str | None, now_s: float) -> DispatcherChoice:
        """Return who grants the next request.

        :param leader: peer address of the leading gateway, :data:`LOCAL` if it is this
            process, or ``None`` if none is known.
        """
        if leader == LOCAL:
            return DispatcherChoice(LOCAL, WHOLE_SHARE)
        if leader is None or now_s < self.avoid_until_s:
            return DispatcherChoice(LOCAL, FALLBACK_SHARE)
        return DispatcherChoice(leader, FALLBACK_SHARE)

    def note_silence(self, now_s: float) -> None:
        """Grant locally for a while, since the dispatcher did not answer in time."""
        self.avoid_until_s = now_s + AVOID_S
