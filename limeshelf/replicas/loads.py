"""Load of other gateways at the replicas.

Owns the latest load report of each peer; the directory adds this gateway's own load.
:mod:`limeshelf.replicas.freshness` defines how long a report is used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from limeshelf.replicas.freshness import is_peer_load_valid
from limeshelf.replicas.replica import Load
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Key for the sum of all other gateways.
ALL_OTHER_GATEWAYS = '*'


class ReportedLoad(Protocol):
    """Calls in progress at a replica, and their tokens."""

    replica_id: str
    calls: int
    tokens: int


@attrs.frozen
class _PeerReport:
    arrived_s: float
    by_replica: dict[str, Load]


@attrs.define
class PeerLoads:
    """Load of other gateways, as reported by each of them or summed by a relay."""

    _by_peer: dict[str, _PeerReport] = attrs.field(factory=dict)

    def update(self, peer: str, loads: Iterable[ReportedLoad]) -> None:
        """Replace the load of one peer."""
        by_replica = {load.replica_id: Load(load.calls, load.tokens) for load in loads}
        self._by_peer[peer] = _PeerReport(boottime_s(), by_replica)

    def forget(self, peer: str) -> None:
        """Remove the load of a peer."""
        self._by_peer.pop(peer, None)

    def forget_replica(self, replica_id: str) -> None:
        """Remove the load at a restarted replica until peers report again.

        Peers report by replica id, so a report may still include calls of the earlier start.
        These calls fail before the report expires.
        """
        for report in self._by_peer.values():
            report.by_replica.pop(replica_id, None)

    def update_totals(
        self, loads: Iterable[ReportedLoad], own_load_at: Callable[[str], Load]
    ) -> None:
        """Replace the load of all peers by totals, which include this gateway.

        :param own_load_at: returns the load of this gateway at a replica.
        """
        others = {}
        for load in loads:
            own = own_load_at(load.replica_id)
            # This gateway may have started calls after the totals were summed.
            others[load.replica_id] = Load(
                max(0, load.calls - own.calls), max(0, load.tokens - own.tokens)
            )
        self._by_peer = {ALL_OTHER_GATEWAYS: _PeerReport(boottime_s(), others)}

    def load_at(self, replica_id: str) -> Load:
        """Return the load of the other gateways at a replica."""
        total = Load()
        now_s = boottime_s()
        for report in self._by_peer.values():
            load = report.by_replica.get(replica_id)
            if load is not None and is_peer_load_valid(now_s - report.arrived_s):
                total.calls += load.calls
                total.tokens += load.tokens
        return total
