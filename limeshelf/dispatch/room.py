"""Which replica has room for a call, and which of them takes it best."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.dispatch.tickets import ReplicaUse
from limeshelf.replicas.penalties import with_penalties
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec
    from limeshelf.demand.keys import ModelKey
    from limeshelf.dispatch.messages import DispatchQuery
    from limeshelf.dispatch.speed import ReadSpeed
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Part of the bearable pause, less the steps of an event, that reading may take.
READ_SHARE = 0.84
#: A replica may begin to read this much later than granted, in parts of a pause.
WINDOW_FACTOR = 1.15
#: A step of a replica's batch without any reading, in milliseconds.
PLAIN_STEP_MS = 12.0
#: Part of a replica's memory that calls may fill before others wait.
MEMORY_SHARE = 0.9


class Room:
    """What granted tickets take of each replica, and what that leaves.

    :ivar share: part of a replica's reading that this dispatcher may grant.
    """

    def __init__(self, directory: ReplicaDirectory, speed: ReadSpeed) -> None:
        self.share = 1.0
        self.uses: dict[str, ReplicaUse] = {}
        self._directory = directory
        self._speed = speed
        self._holders: dict[ModelKey, list[Replica]] = {}

    def survey(self) -> None:
        """Look anew at who holds what; until the next survey this is a look-up."""
        self._holders.clear()

    def use(self, replica: Replica) -> ReplicaUse:
        """Return what is taken of a replica."""
        return self.uses.setdefault(replica.replica_id, ReplicaUse())

    def holders(self, query: DispatchQuery) -> list[Replica]:
        """Return the replicas that hold what a call needs."""
        key = query.key
        holders = self._holders.get(key)
        if holders is None:
            holders = self._holders[key] = [
                replica
                for replica in self._directory.of_service(key.service)
                if replica.holds(key.model, key.adapter)
            ]
        return [one for one in holders if one.replica_id not in query.excluded]

    def choose(self, query: DispatchQuery, engine: EngineSpec) -> Replica | None:
        """Return the replica that takes a call best now, if one has room."""
        holders = self.holders(query)
        healthy = [replica for replica in holders if not replica.health.is_suspended()]
        best: Replica | None = None
        best_cost = float('inf')
        for replica in healthy or holders:
            use = self.use(replica)
            read_ms = self._speed.read_ms(query.key.model, use.fresh_tokens(query))
            if not self._has_room(query, replica, use, read_ms, engine):
                continue
            cost = self._cost(query, replica, use, read_ms, engine)
            if cost < best_cost:
                best, best_cost = replica, cost
        return best

    def _has_room(
        self,
        query: DispatchQuery,
        replica: Replica,
        use: ReplicaUse,
        read_ms: float,
        engine: EngineSpec,
    ) -> bool:
        if not self._bears_reading(query, use, read_ms, engine):
            return False
        # What others told covers calls that went another way, or that a
        # predecessor granted.
        told = self._directory.load_of(replica)
        calls = max(use.calls, told.calls)
        if calls >= replica.record.slots:
            return False
        tokens = query.prompt_tokens + query.likely_tokens
        filled = max(use.tokens, told.tokens)
        return not calls or filled + tokens <= MEMORY_SHARE * engine.memory_tokens

    def _bears_reading(
        self, query: DispatchQuery, use: ReplicaUse, read_ms: float, engine: EngineSpec
    ) -> bool:
        """Return whether a replica's streams bear that it reads one more prompt now."""
        steps_ms = PLAIN_STEP_MS * engine.event_tokens
        bearable_ms = READ_SHARE * self.share * max(0.0, query.pause_ms - steps_ms)
        window_s = WINDOW_FACTOR * query.pause_ms / 1000
        known_ms = use.read_since(boottime_s() - window_s)
        return not known_ms or known_ms + read_ms <= bearable_ms

    def _cost(
        self,
        query: DispatchQuery,
        replica: Replica,
        use: ReplicaUse,
        read_ms: float,
        engine: EngineSpec,
    ) -> float:
        cost = (use.reading_ms + read_ms) / max(1, query.pause_ms)
        told = self._directory.load_of(replica)
        cost += max(use.calls, told.calls) / max(1, replica.record.slots)
        cost += max(use.tokens, told.tokens) / max(1, engine.memory_tokens)
        return with_penalties(cost, replica, query.data_centre)
