"""Which replica a model call goes to.

Among the replicas that hold what the call needs and are not suspended (or among all
holders, where all are suspended), and that may read and hold it now
(:mod:`limeshelf.dispatch.limits`) and have a turn for it (:mod:`limeshelf.dispatch.pace`), the
one with the least to read, to run and to hold.
Owns what granted requests take of each replica, and the holders of each model until the
next :meth:`~HolderSelector.forget_holders`; relies on
:mod:`limeshelf.replicas.directory` for records, holdings, health and reported loads.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.dispatch.fallback import reading_share
from limeshelf.dispatch.granted_load import GrantedLoad
from limeshelf.dispatch.limits import Occupancy, ReadingWindow
from limeshelf.dispatch.pace import ReplicaPaces
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


class HolderSelector:
    """Chooses among the replicas that hold a model, by what granted requests take of them.

    :param owner_of: returns the owner of a data centre's replicas, as
        :class:`~limeshelf.dispatch.owners.OwnerChooser` takes it.
    :param data_centre: of this process.
    :param paces: the turns at replicas that take only so many calls a second.
    :ivar loads: what granted requests take, by start of the replica.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        speed: PrefillSpeed,
        owner_of: Callable[[str], str | None],
        data_centre: str,
        paces: ReplicaPaces | None = None,
    ) -> None:
        self.loads: dict[ReplicaStart, GrantedLoad] = {}
        self._directory = directory
        self._speed = speed
        self._owner_of = owner_of
        self._data_centre = data_centre
        self._paces = paces or ReplicaPaces(owner_of)
        self._holders: dict[ModelKey, list[Replica]] = {}

    def forget_holders(self) -> None:
        """Find the holders anew; those found are kept until the next call of this."""
        self._holders.clear()

    def load(self, replica: Replica) -> GrantedLoad:
        """Return what granted requests take of a replica."""
        return self.loads.setdefault(replica.start, GrantedLoad())

    def holders(self, request: QueuedRequest) -> list[Replica]:
        """Return the replicas that may take a call, but for those that it excludes.

        Other gateways ask for the replicas of this data centre. Calls of this process name
        as excluded whatever is not to be granted here.
        """
        query = request.query
        holders = self._holders_of(query.key)
        if request.asker != LOCAL:
            holders = [one for one in holders if one.record.data_centre == self._data_centre]
        return [one for one in holders if one.replica_id not in query.excluded]

    def common_share(self, key: ModelKey, other: ModelKey) -> float:
        """Return the share of the holders of *other* that also hold *key*.

        0 where no replica could take a call for either.
        """
        if key == other:
            return 1.0
        holders = self._holders_of(other)
        if not holders:
            return 0.0
        return sum(one.holds(key.model, key.adapter) for one in holders) / len(holders)

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
        """Return the replica that takes a call best now, ``None`` if none has room."""
        holders = self.holders(request)
        healthy = [replica for replica in holders if not replica.health.is_suspended()]
        best: Replica | None = None
        best_cost = float('inf')
        for replica in healthy or holders:
            cost = self._cost_if_admitted(replica, request.query, engine)
            if cost is not None and cost < best_cost:
                best, best_cost = replica, cost
        return best

    def _window(self, replica: Replica, query: DispatchQuery, engine: EngineSpec) -> ReadingWindow:
        share = reading_share(self._owner_of(replica.record.data_centre))
        return ReadingWindow.from_pause(query.pause_ms, engine.event_tokens, share)

    def _cost_if_admitted(
        self, replica: Replica, query: DispatchQuery, engine: EngineSpec
    ) -> float | None:
        """Return what the call costs at a replica, ``None`` if that has no room for it."""
        load = self.load(replica)
        now_s = boottime_s()
        if self._paces.wait_s(replica, now_s) > 0:
            return None
        load.end_overdue_reading(now_s)
        window = self._window(replica, query, engine)
        read_ms = self._speed.prefill_ms(query.key.model, load.blocks.unread_tokens(query, now_s))
        if not window.admits(load.read_ms_since(now_s - window.span_s), read_ms):
            return None
        occupancy = self._occupancy(replica, load, engine)
        if not occupancy.admits(query.prompt_tokens + query.likely_tokens):
            return None
        cost = call_cost(load.reading_ms + read_ms, query.pause_ms, occupancy)
        return with_penalties(cost, replica, query.data_centre)

    def _occupancy(self, replica: Replica, load: GrantedLoad, engine: EngineSpec) -> Occupancy:
        # What the gateways report covers calls that another process granted: the
        # dispatcher before this one, or a gateway that granted by itself.
        reported = self._directory.load_of(replica)
        return Occupancy(
            max(load.calls, reported.calls),
            max(load.tokens, reported.tokens),
            replica.record.slots,
            engine.memory_tokens,
        )


def call_cost(reading_ms: float, pause_ms: int, occupancy: Occupancy) -> float:
    """Return what a call costs at a replica, each resource in units of all there is of it.

    :param reading_ms: of all that is being read there, the call's own prompt included.
    :param pause_ms: longest pause between events that keeps the call's answer in time.
    :param occupancy: without the call.
    """
    cost = reading_ms / max(1, pause_ms)
    cost += occupancy.calls / max(1, occupancy.slots)
    return cost + occupancy.tokens / max(1, occupancy.memory_tokens)
