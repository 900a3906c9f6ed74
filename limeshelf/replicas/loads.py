"""What other gateways have under way at the replicas.

Owns their latest statements, which the directory adds to this gateway's own calls.
Relies on :mod:`limeshelf.replicas.freshness` for how long a statement counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from limeshelf.replicas.freshness import peer_load_counts
from limeshelf.replicas.replica import Load
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

#: Stands for all other gateways together.
ALL_OTHERS = '*'


class LoadAt(Protocol):
    """Calls and tokens under way at a named replica."""

    replica_id: str
    calls: int
    tokens: int


@attrs.frozen
class _Statement:
    arrived_s: float
    by_replica: dict[str, Load]


@attrs.define
class PeerLoads:
    """The calls of other gateways, as each of them reports them or a relay sums them up."""

    _by_peer: dict[str, _Statement] = attrs.field(factory=dict)

    def take(self, peer: str, loads: Iterable[LoadAt]) -> None:
        """Take what one peer has under way at each replica."""
        by_replica = {load.replica_id: Load(load.calls, load.tokens) for load in loads}
        self._by_peer[peer] = _Statement(boottime_s(), by_replica)

    def forget(self, peer: str) -> None:
        """Forget what a peer reported."""
        self._by_peer.pop(peer, None)

    def forget_replica(self, replica_id: str) -> None:
        """Count nothing at a replica that has started again, until peers report anew.

        Peers report by its id: what they still count of the earlier start breaks off within
        a statement's life.
        """
        for statement in self._by_peer.values():
            statement.by_replica.pop(replica_id, None)

    def take_totals(self, loads: Iterable[LoadAt], own_at: Callable[[str], Load]) -> None:
        """Take what all gateways have under way, this one among them.

        It replaces what single peers reported.

        :param own_at: what this gateway has under way at a replica.
        """
        others = {}
        for load in loads:
            own = own_at(load.replica_id)
            # Own calls may have begun after the totals were summed up.
            others[load.replica_id] = Load(
                max(0, load.calls - own.calls), max(0, load.tokens - own.tokens)
            )
        self._by_peer = {ALL_OTHERS: _Statement(boottime_s(), others)}

    def at(self, replica_id: str) -> Load:
        """Return what other gateways have under way at a replica."""
        total = Load()
        now_s = boottime_s()
        for statement in self._by_peer.values():
            load = statement.by_replica.get(replica_id)
            if load is not None and peer_load_counts(now_s - statement.arrived_s):
                total.calls += load.calls
                total.tokens += load.tokens
        return total
