"""Selects the replica for a model call.

Candidates hold what the call needs, are not suspended (unless all holders are), have enough free
prefill time, slots and memory (:mod:`limeshelf.dispatch.limits`) and have a rate permit available
(:mod:`limeshelf.dispatch.rate_limiter`). Among these the one with the least load is selected,
counting prefill, running calls and memory.

Owns the load that granted requests put on each replica, and a cache of the holders of each model,
valid until the next :meth:`~HolderSelector.clear_holder_cache`. Records, held models, health and
reported loads come from :mod:`limeshelf.replicas.directory`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.dispatch.fallback import prefill_share
from limeshelf.dispatch.granted_load import GrantedLoad
from limeshelf.dispatch.limits import Occupancy, PrefillWindow
from limeshelf.dispatch.rate_limiter import ReplicaRateLimiters
from limeshelf.membership.member import LOCAL
from limeshelf.replicas.penalties import with_penalties
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import EngineSpec
    from limeshelf.demand.keys import ModelKey
    from limeshelf.demand.prefill_speed import PrefillSpeed
    from limeshelf.dispatch.messages import DispatchQuery
    from limeshelf.dispatch.requests import QueuedRequest
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart

#: Share of the slots of a replica that falls over from rejections that calls may take.
REJECTION_LIMITED_SLOTS_SHARE = 0.9


class HolderSelector:
    """Selects among the replicas that hold a model, by the load of granted requests.

    :param owner_of: returns the owner of a data centre's replicas; see
        :class:`~limeshelf.dispatch.owners.OwnerSelector`.
    :param data_centre: of this process.
    :param limiters: rate limiters of the replicas that limit their calls per second.
    :ivar loads: load of granted requests, by start of the replica.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        speed: PrefillSpeed,
        owner_of: Callable[[str], str | None],
        data_centre: str,
        limiters: ReplicaRateLimiters | None = None,
    ) -> None:
        self.loads: dict[ReplicaStart, GrantedLoad] = {}
        self._directory = directory
        self._speed = speed
        self._owner_of = owner_of
        self._data_centre = data_centre
        self._limiters = limiters or ReplicaRateLimiters(owner_of)
        self._holders: dict[ModelKey, list[Replica]] = {}

    def clear_holder_cache(self) -> None:
        """Look up holders again on the next use."""
        self._holders.clear()

    def load_of(self, replica: Replica) -> GrantedLoad:
        """Return the load that granted requests put on a replica."""
        return self.loads.setdefault(replica.start, GrantedLoad())

    def holders(self, request: QueuedRequest) -> list[Replica]:
        """Return the replicas that may serve a request, without those that it excludes.

        Other gateways request only replicas of this data centre. Requests of this process exclude
        the replicas that must not be granted here.
        """
        query = request.query
        holders = self._holders_of(query.key)
        if request.requester != LOCAL:
            holders = [
                replica for replica in holders if replica.record.data_centre == self._data_centre
            ]
        return [replica for replica in holders if replica.replica_id not in query.excluded]

    def shared_holder_fraction(self, key: ModelKey, other: ModelKey) -> float:
        """Return the fraction of the holders of *other* that also hold *key*.

        0 if no replica holds either.
        """
        if key == other:
            return 1.0
        holders = self._holders_of(other)
        if not holders:
            return 0.0
        return sum(replica.holds(key.model, key.adapter) for replica in holders) / len(holders)

    def _holders_of(self, key: ModelKey) -> list[Replica]:
        holders = self._holders.get(key)
        if holders is None:
            holders = self._holders[key] = [
                replica
                for replica in self._directory.of_service(key.service)
                if replica.holds(key.model, key.adapter)
            ]
        return holders

    def choose(self, request: QueuedRequest, engine: EngineSpec) -> Replica | None:
        """Return the best replica for a call now, ``None`` if none has capacity."""
        holders = self.holders(request)
        healthy = [replica for replica in holders if not replica.health.is_suspended()]
        best: Replica | None = None
        best_cost = float('inf')
        for replica in healthy or holders:
            cost = self._cost_if_admitted(replica, request.query, engine)
            if cost is not None and cost < best_cost:
                best, best_cost = replica, cost
        return best

    def _window(self, replica: Replica, query: DispatchQuery, engine: EngineSpec) -> PrefillWindow:
        share = prefill_share(self._owner_of(replica.record.data_centre))
        return PrefillWindow.from_pause(query.pause_ms, engine.event_tokens, share)

    def _cost_if_admitted(
        self, replica: Replica, query: DispatchQuery, engine: EngineSpec
    ) -> float | None:
        """Return the cost of the call at a replica, ``None`` if that has no capacity for it."""
        load = self.load_of(replica)
        now_s = boottime_s()
        if self._limiters.wait_s(replica, now_s) > 0:
            return None
        load.expire_prefills(now_s)
        window = self._window(replica, query, engine)
        new_prefill_ms = self._speed.prefill_ms(
            query.key.model, load.cached_blocks.uncached_tokens(query, now_s)
        )
        if not window.admits(load.prefill_ms_since(now_s - window.span_s), new_prefill_ms):
            return None
        occupancy = self._occupancy(replica, load, engine)
        if not occupancy.admits(query.prompt_tokens + query.likely_tokens):
            return None
        cost = call_cost(load.total_prefill_ms + new_prefill_ms, query.pause_ms, occupancy)
        return with_penalties(cost, replica, query.data_centre)

    def _occupancy(self, replica: Replica, load: GrantedLoad, engine: EngineSpec) -> Occupancy:
        # Gateways also report calls that another process granted: the previous dispatcher, or a
        # gateway that used its fallback.
        reported = self._directory.load_of(replica)
        return Occupancy(
            max(load.calls, reported.calls),
            max(load.tokens, reported.tokens),
            _usable_slots(replica),
            engine.memory_tokens,
        )


def _usable_slots(replica: Replica) -> int:
    """Return how many calls a replica may get at once.

    A slot is free here a little before the replica has freed it, and one that falls over from
    rejections may let no call wait meanwhile.
    """
    slots = replica.record.slots
    if replica.backpressure.rejections_per_s is None:
        return slots
    return max(1, int(REJECTION_LIMITED_SLOTS_SHARE * slots))


def call_cost(prefill_ms: float, pause_ms: int, occupancy: Occupancy) -> float:
    """Return the cost of a call at a replica, each resource as a fraction of its total.

    :param prefill_ms: estimated duration of all prefills in progress, this call's included.
    :param pause_ms: longest pause between events within the call's latency objective.
    :param occupancy: without the call.
    """
    cost = prefill_ms / max(1, pause_ms)
    cost += occupancy.calls / max(1, occupancy.slots)
    return cost + occupancy.tokens / max(1, occupancy.memory_tokens)
