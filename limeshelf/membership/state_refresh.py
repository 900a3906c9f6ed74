"""Chooses the replicas whose states the leader sends again although they have not changed.

A message may be lost, and a gateway may just have started, so each state is sent again at
intervals. The states of all replicas are large on a narrow link, so they are sent in turn, a part
with each message, and more slowly where the link has no room.

Owns whose turn it is.
"""

from __future__ import annotations

import bisect
import math

import attrs

from limeshelf.peers.link_budget import LinkBudget
from limeshelf.util.clock import boottime_s

#: Time in which the states of all replicas are sent again, where the link has room.
REFRESH_S = 1.0
#: Upper estimate of the encoded size of a replica's state, which lists its models and adapters.
STATE_BYTES = 200


@attrs.define
class StateRefresh:
    """The turns of the replicas.

    :param budget: what messages to other gateways may take of the machine's link.
    """

    budget: LinkBudget = attrs.field(factory=LinkBudget)
    _last_id: str = ''
    _refreshed_s: float = 0.0

    def next_replicas(self, replica_ids: list[str], receivers: int) -> set[str]:
        """Return the replicas whose turn has come.

        :param replica_ids: all replicas that have a state, sorted.
        :param receivers: number of gateways to which the states are sent.
        """
        now_s = boottime_s()
        share = min(1.0, (now_s - self._refreshed_s) / REFRESH_S)
        count = min(math.ceil(share * len(replica_ids)), self._room(receivers, len(replica_ids)))
        if not count:
            return set()
        self._refreshed_s = now_s
        start = bisect.bisect_right(replica_ids, self._last_id)
        chosen = (replica_ids[start:] + replica_ids[:start])[:count]
        self._last_id = chosen[-1]
        return set(chosen)

    def _room(self, receivers: int, replicas: int) -> int:
        """Return for how many replicas the link has room, at most *replicas*."""
        room = self.budget.broadcast_bytes / (STATE_BYTES * max(1, receivers))
        return int(min(room, replicas))
