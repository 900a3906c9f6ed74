"""Decides which copy of which model comes or goes next; a plan, no orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.fleet.demand import ModelKey, ModelLoad
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec, ModelSpec

#: Calls under way per copy above which a model gets another one.
CROWDED_CALLS = 4.0
#: A copy gives way to a model whose calls per copy are this many times its own.
GIVE_WAY_FACTOR = 1.5
#: Calls bear that their model is loaded again if their objective is this many
#: times the load from the machine's memory.
WARM_LOADS = 2.5
#: A model that was asked for within this time is not idle.
IDLE_AFTER_S = 2.0
#: An adapter that was asked for within this time needs a place.
ACTIVE_S = 1.5
#: A waiting call counts as demand for this long.
WANTED_LIFE_S = 3.0
#: Calls under way that a waiting call stands for.
WANTED_CALLS = 4.0
#: Seconds of arrivals that count as calls under way.
RATE_WEIGHT_S = 0.5
#: Calls under way that a copy stands for before any call was seen.
HINT_CALLS = 5.0
#: Demand, over all models, below which the copies found at the start count.
QUIET_CALLS = 3.0
#: Weights of what speaks against a replica for a new copy, in calls under way.
CALL_COST = 0.5
EVICTION_COST = 1.0
STORE_LOAD_COST = 2.0
RUNNING_COST = 3.0


@attrs.define
class Holder:
    """A replica as the planner sees it.

    :ivar models: those it holds.
    :ivar coming: those on their way.
    :ivar idle: whether it can take an order for a whole model now.
    :ivar calls: calls under way there.
    :ivar at_hand: models whose weights lie on the machine.
    """

    replica_id: str
    models: set[str]
    coming: set[str]
    idle: bool
    calls: int
    at_hand: frozenset[str] = frozenset()


@attrs.frozen
class Move:
    """Load a model at a replica after the copies there that make room are gone."""

    replica_id: str
    model: str
    evicted: tuple[str, ...]
    from_store: bool
    reason: str


class Planner:
    """Plans for one engine service.

    :param engine: what a replica of the service can hold.
    :param first_copies: copies of each model that the leader found; they tell
        what was busy before any call was seen.
    """

    def __init__(
        self,
        service: str,
        engine: EngineSpec,
        loads: dict[ModelKey, ModelLoad],
        first_copies: dict[str, int],
    ) -> None:
        self._service = service
        self._engine = engine
        self._now_s = boottime_s()
        self._ready: dict[str, int] = {}
        self._demand = {name: self._demand_of(name, loads) for name in engine.models}
        #: Nothing was asked for yet: what was found tells what is busy.
        self._quiet = sum(self._demand.values()) < QUIET_CALLS
        if self._quiet:
            for name, copies in first_copies.items():
                if copies > 1 and name in self._demand:
                    self._demand[name] += HINT_CALLS * copies
        self._first_copies = first_copies
        self._objectives = {name: self._objective_s(name, loads) for name in engine.models}
        self._asked_s = {name: self._last_asked_s(name, loads) for name in engine.models}

    def _keys(self, model: str, loads: dict[ModelKey, ModelLoad]) -> list[ModelLoad]:
        return [
            load
            for key, load in loads.items()
            if key.service == self._service and key.model == model
        ]

    def _demand_of(self, model: str, loads: dict[ModelKey, ModelLoad]) -> float:
        keys = self._keys(model, loads)
        demand = sum(load.running + RATE_WEIGHT_S * load.rate for load in keys)
        demand += CROWDED_CALLS * self._active_adapters(model, loads) / self._places
        # Once a model: calls that wait for its adapters are no crowd.
        if any(self._now_s - load.wanted_s < WANTED_LIFE_S for load in keys):
            demand += WANTED_CALLS
        return demand

    def _objective_s(self, model: str, loads: dict[ModelKey, ModelLoad]) -> float:
        told = [load.objective_s for load in self._keys(model, loads) if load.objective_s]
        return min(told, default=0.0)

    @property
    def _places(self) -> int:
        return max(1, self._engine.adapter_places)

    def _active_adapters(self, model: str, loads: dict[ModelKey, ModelLoad]) -> int:
        """Return how many adapters of a model are asked for; they need places."""
        return sum(
            1
            for key, load in loads.items()
            if key.service == self._service
            and key.model == model
            and key.adapter
            and self._now_s - load.seen_s < ACTIVE_S
        )

    def _last_asked_s(self, model: str, loads: dict[ModelKey, ModelLoad]) -> float:
        return max((load.seen_s for load in self._keys(model, loads)), default=0.0)

    def demand(self, model: str) -> float:
        """Return the demand for a model in calls under way."""
        return self._demand.get(model, 0.0)

    def next_move(self, holders: list[Holder]) -> Move | None:
        """Return the move that is worth most now, if any is worth making.

        Models that are waited for go first, then crowded ones. A model that
        nobody asks for comes last: while its weights lie on a machine it is
        back within a second or two.
        """
        copies = self._copies(holders)
        self._ready = self._ready_copies(holders)
        missing = [name for name in self._engine.models if not copies[name]]
        missing.sort(key=self.demand, reverse=True)
        asked = [name for name in missing if self.demand(name) > 0]
        return (
            self._place_first(asked, holders, copies, 'missing')
            or self._relieve(holders, copies)
            or self._place_first(missing, holders, copies, 'missing')
        )

    def _place_first(
        self, models: list[str], holders: list[Holder], copies: dict[str, int], reason: str
    ) -> Move | None:
        for model in models:
            move = self._place(model, holders, copies, reason)
            if move is not None:
                return move
        return None

    def _copies(self, holders: list[Holder]) -> dict[str, int]:
        copies = dict.fromkeys(self._engine.models, 0)
        for holder in holders:
            for model in holder.models | holder.coming:
                if model in copies:
                    copies[model] += 1
        return copies

    def _ready_copies(self, holders: list[Holder]) -> dict[str, int]:
        ready = dict.fromkeys(self._engine.models, 0)
        for holder in holders:
            for model in holder.models:
                if model in ready:
                    ready[model] += 1
        return ready

    def _relieve(self, holders: list[Holder], copies: dict[str, int]) -> Move | None:
        crowded = [
            model
            for model in self._engine.models
            if copies[model] and self.demand(model) / copies[model] > CROWDED_CALLS
        ]
        crowded.sort(key=lambda model: self.demand(model) / copies[model], reverse=True)
        return self._place_first(crowded, holders, copies, 'crowded')

    def _place(
        self, model: str, holders: list[Holder], copies: dict[str, int], reason: str
    ) -> Move | None:
        options = []
        for holder in holders:
            if not holder.idle or model in holder.models or model in holder.coming:
                continue
            evicted = self._make_room(model, holder, copies)
            if evicted is None:
                continue
            at_hand = model in holder.at_hand
            lost = sum(self._per_copy(name, copies) for name in evicted)
            # An unload waits for its runs, so a copy in use makes room late.
            lost += RUNNING_COST * sum(1 for name in evicted if self.demand(name) > 1)
            cost = lost + CALL_COST * holder.calls + EVICTION_COST * len(evicted)
            if not at_hand:
                cost += STORE_LOAD_COST
            options.append((cost, holder, evicted, at_hand))
        if not options:
            return None
        options.sort(key=lambda option: option[0])
        _, holder, evicted, at_hand = options[0]
        return Move(holder.replica_id, model, evicted, not at_hand, reason)

    def _free_mb(self, holder: Holder) -> float:
        held = holder.models | holder.coming
        used = sum(self._spec(name).size_mb for name in held if name in self._engine.models)
        return self._engine.capacity_mb - self._adapters_mb() - used

    def _adapters_mb(self) -> float:
        """Return what adapters may take at the most, whatever models they belong to."""
        largest = max((spec.adapter_mb for spec in self._engine.models.values()), default=0.0)
        return largest * self._engine.adapter_places

    def _spec(self, model: str) -> ModelSpec:
        return self._engine.models[model]

    def _make_room(
        self, model: str, holder: Holder, copies: dict[str, int]
    ) -> tuple[str, ...] | None:
        """Return the copies to give up at a replica, or ``None`` if it has no room."""
        needed_mb = self._spec(model).size_mb - self._free_mb(holder)
        if needed_mb <= 0:
            return ()
        own = self.demand(model) / (copies[model] + 1)
        victims = [name for name in holder.models if self._may_go(name, model, own, copies)]
        victims.sort(key=lambda name: (self._per_copy(name, copies), self._asked_s.get(name, 0.0)))
        evicted: list[str] = []
        for name in victims:
            evicted.append(name)
            needed_mb -= self._spec(name).size_mb
            if needed_mb <= 0:
                return self._without_surplus(tuple(evicted), -needed_mb)
        return None

    def _without_surplus(self, evicted: tuple[str, ...], spare_mb: float) -> tuple[str, ...]:
        """Leave out a copy that need not go after a larger one went."""
        for name in evicted[:-1]:
            if self._spec(name).size_mb <= spare_mb:
                return tuple(other for other in evicted if other != name)
        return evicted

    def _per_copy(self, model: str, copies: dict[str, int]) -> float:
        return self.demand(model) / max(1, copies.get(model, 0))

    def _may_go(self, victim: str, model: str, own: float, copies: dict[str, int]) -> bool:
        if victim not in self._engine.models:
            return True
        # Copies on their way serve nobody yet
        # (tests/fleet/test_planner.py::test_last_ready_copy_stays).
        if self._ready[victim] >= 2:
            after = self.demand(victim) / (self._ready[victim] - 1)
            wanted = not copies[model] and (self.demand(model) > 0 or self._quiet)
            return wanted or own > GIVE_WAY_FACTOR * after
        # The only copy gives way if nobody asks for it; its weights stay on the
        # machine, so that it comes back soon.
        idle = self._now_s - self._asked_s[victim] > IDLE_AFTER_S
        parks = idle and self.demand(victim) == 0 and own > 0 and not self._quiet
        return parks and self._bears_a_load(victim)

    def _bears_a_load(self, model: str) -> bool:
        """Return whether calls to a model can wait until it is loaded again.

        Of a model that nobody has asked for yet, the copies found at the start
        tell: what stood there is likely asked for by those who cannot wait.
        """
        objective_s = self._objectives.get(model, 0.0)
        if not objective_s:
            return not self._first_copies.get(model)
        return objective_s >= WARM_LOADS * self._spec(model).warm_load_s
