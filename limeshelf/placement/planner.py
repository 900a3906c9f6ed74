"""Decides which copy of which model comes or goes next; a plan, no orders.

A copy is worth the calls a second that are served because it is there. A model
is loaded where that gains most, and copies give way there only if less is lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.needs import ModelNeed

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec, ModelSpec

#: Worth of the only copy of a model, in calls a second, whoever asks for it:
#: every model stays reachable.
ONLY_COPY_WORTH = 0.6
#: The calls of a model without another copy count this much.
ONLY_COPY_FACTOR = 2.0
#: Bound of what long ago asked calls add to the worth of an only copy.
LASTING_LIMIT_PER_S = 0.5
#: Added for calls that wait, in calls a second.
WAITING_WORTH = 1.0
#: Added for each second for which a model that is asked for has had no copy, so
#: that its turn comes however busy others are.
STARVED_WORTH_PER_S = 0.15
STARVED_LIMIT = 3.0
#: An only copy counts this much more if its callers cannot wait for a load.
CANNOT_WAIT_FACTOR = 2.0
#: Callers bear that their model is loaded again if their objective is this many
#: times the load from the machine's memory.
WARM_LOADS = 2.5
#: A move must gain this much more than it loses.
GAIN_FACTOR = 1.3
#: Least gain of a further copy, in calls a second.
LEAST_GAIN = 0.4
#: Cost of a load from the weight store, and of each copy that goes.
STORE_COST = 0.3
EVICTION_COST = 0.05
#: Cost of each running call that an unload waits for.
RUNNING_COST = 0.2
#: Cost of each adapter that cannot come while a whole model is loaded.
BLOCKED_ADAPTER_COST = 0.3
#: What a copy serves at a replica that others keep busy, at the least.
LEAST_CAPACITY = 0.15
#: A copy in a data centre without one is worth more: it serves on in a cut.
NEW_CENTRE_FACTOR = 1.2
#: Moves of less worth leave this part of the replicas free for urgent ones.
URGENT_WORTH = 2.0
RESERVED_SHARE = 0.34
#: Calls a second, over all models, below which the copies found at the start count.
QUIET_PER_S = 3.0
#: Worth, before any call, of the second copy found of a model; further ones are
#: worth less by the square of their number.
FOUND_WORTH = 0.4


@attrs.define
class Holder:
    """A replica as the planner sees it.

    :ivar models: those it holds.
    :ivar coming: those on their way.
    :ivar idle: whether it can take an order for a whole model now.
    :ivar at_hand: models whose weights lie on the machine.
    """

    replica_id: str
    models: set[str]
    coming: set[str]
    idle: bool
    data_centre: str = ''
    at_hand: frozenset[str] = frozenset()


@attrs.frozen
class Move:
    """Load a model at a replica after the copies there that make room are gone.

    :ivar gain: what it is worth, in calls a second.
    :ivar loss: what the copies that go were worth.
    """

    replica_id: str
    model: str
    evicted: tuple[str, ...]
    from_store: bool
    reason: str
    gain: float = 0.0
    loss: float = 0.0


@attrs.frozen
class _Eviction:
    models: tuple[str, ...] = ()
    loss: float = 0.0


class Planner:
    """Plans for one engine service.

    :param engine: what a replica of the service can hold.
    :param needs: what the calls to each model need.
    :param first_copies: copies of each model that the leader found; they tell
        what was busy before any call was seen.
    :param starved_s: for how long a model that is asked for has had no copy.
    """

    def __init__(
        self,
        engine: EngineSpec,
        needs: dict[str, ModelNeed],
        first_copies: dict[str, int],
        starved_s: dict[str, float] | None = None,
    ) -> None:
        self._engine = engine
        self._needs = needs
        self._first_copies = first_copies
        self._starved_s = starved_s or {}
        #: Nothing was asked for yet: what was found tells what is busy.
        self._quiet = sum(need.calls_per_s for need in needs.values()) < QUIET_PER_S
        self._holders: list[Holder] = []
        self._ready: dict[str, int] = {}
        self._copies: dict[str, int] = {}
        self._busy: dict[str, float] = {}
        self._known_capacity: dict[str, float] = {}
        self._ready_capacity: dict[str, float] = {}
        self._centres: dict[str, dict[str, int]] = {}

    def next_move(self, holders: list[Holder]) -> Move | None:
        """Return the move that is worth most now, if any is worth making."""
        self._survey(holders)
        wishes = [(self._most_gain(name), name) for name in self._engine.models]
        wishes.sort(reverse=True)
        for most_gain, model in wishes:
            if most_gain < LEAST_GAIN:
                return None
            if most_gain < URGENT_WORTH and not self._has_reserve():
                return None
            move = self._best_move(model)
            if move is not None:
                return move
        return None

    def _survey(self, holders: list[Holder]) -> None:
        """Count once what stands where; each question is then a look-up."""
        self._holders = holders
        models = self._engine.models
        self._ready = dict.fromkeys(models, 0)
        self._copies = dict.fromkeys(models, 0)
        self._centres = {name: {} for name in models}
        for holder in holders:
            for model in holder.models & models.keys():
                self._ready[model] += 1
            for model in (holder.models | holder.coming) & models.keys():
                self._copies[model] += 1
                centres = self._centres[model]
                centres[holder.data_centre] = centres.get(holder.data_centre, 0) + 1
        self._busy = {
            holder.replica_id: sum(map(self._busy_with, holder.models | holder.coming))
            for holder in holders
        }
        self._known_capacity = dict.fromkeys(models, 0.0)
        self._ready_capacity = dict.fromkeys(models, 0.0)
        for holder in holders:
            for model in (holder.models | holder.coming) & models.keys():
                capacity = self._capacity(model, holder)
                self._known_capacity[model] += capacity
                if model in holder.models:
                    self._ready_capacity[model] += capacity

    def _has_reserve(self) -> bool:
        """Return whether enough replicas are free for a move that is not urgent."""
        if self._quiet:
            return True
        idle = sum(1 for holder in self._holders if holder.idle)
        return idle > RESERVED_SHARE * len(self._holders)

    def _need(self, model: str) -> ModelNeed:
        return self._needs.get(model) or ModelNeed()

    def _busy_with(self, model: str) -> float:
        """Return the part of a replica that each copy of a model keeps busy."""
        return self._need(model).replicas / max(1, self._copies.get(model, 0))

    def _capacity(self, model: str, holder: Holder) -> float:
        """Return the part of a replica that others leave for a model."""
        busy = self._busy[holder.replica_id]
        if model in holder.models or model in holder.coming:
            busy -= self._busy_with(model)
        return min(1.0, max(LEAST_CAPACITY, 1.0 - busy))

    def _served(self, model: str, capacity: float) -> float:
        """Return the calls a second that are served with a capacity in replicas."""
        need = self._need(model)
        if need.replicas <= 0:
            return 0.0
        return need.calls_per_s * min(1.0, capacity / need.replicas)

    def _only_copy_worth(self, model: str) -> float:
        need = self._need(model)
        if self._quiet:
            return 2 * ONLY_COPY_WORTH
        calls_per_s = max(
            need.calls_per_s / max(1.0, need.replicas),
            min(need.lasting_per_s, LASTING_LIMIT_PER_S),
        )
        worth = ONLY_COPY_WORTH + ONLY_COPY_FACTOR * calls_per_s
        starved = STARVED_WORTH_PER_S * self._starved_s.get(model, 0.0)
        return worth + min(STARVED_LIMIT, starved) + (WAITING_WORTH if need.waits else 0.0)

    def _found_worth(self, model: str, copies: int) -> float:
        """Return what the last of *copies* copies is worth before any call."""
        if copies > self._first_copies.get(model, 0):
            return 0.0
        return FOUND_WORTH * 4 / copies**2

    def _most_gain(self, model: str) -> float:
        """Return the gain of one more copy at a replica with nothing else to do."""
        return self._gain(model, 1.0)

    def _gain(self, model: str, capacity: float) -> float:
        copies = self._copies[model]
        if not copies:
            return self._only_copy_worth(model)
        if self._quiet:
            return self._found_worth(model, copies + 1)
        known = self._known_capacity[model]
        return self._served(model, known + capacity) - self._served(model, known)

    def _loss(self, model: str, holder: Holder) -> float:
        """Return what is lost with a ready copy; copies on their way serve nobody yet."""
        if model not in self._engine.models:
            return 0.0
        need = self._need(model)
        running = RUNNING_COST * need.running / max(1, self._ready[model])
        if self._ready[model] <= 1:
            factor = 1.0 if self._bears_a_load(model) else CANNOT_WAIT_FACTOR
            return running + factor * self._only_copy_worth(model)
        if self._quiet:
            return self._found_worth(model, self._ready[model])
        capacity = self._ready_capacity[model]
        without = capacity - self._capacity(model, holder)
        lost = self._served(model, capacity) - self._served(model, without)
        alone = self._centres[model].get(holder.data_centre, 0) == 1
        return running + lost * (NEW_CENTRE_FACTOR if alone else 1.0)

    def _bears_a_load(self, model: str) -> bool:
        """Return whether calls to a model can wait until it is loaded again.

        Of a model that nobody has asked for yet, the copies found at the start
        tell: what stood there is likely asked for by those who cannot wait.
        """
        objective_s = self._need(model).objective_s
        if not objective_s:
            return not self._first_copies.get(model)
        return objective_s >= WARM_LOADS * self._spec(model).warm_load_s

    def _best_move(self, model: str) -> Move | None:
        best: Move | None = None
        best_net = 0.0
        for holder in self._holders:
            if not holder.idle or model in holder.models or model in holder.coming:
                continue
            eviction = self._make_room(model, holder)
            if eviction is None:
                continue
            from_store = model not in holder.at_hand
            gain = self._gain_at(model, holder)
            net = gain - GAIN_FACTOR * eviction.loss - self._cost(holder, eviction, from_store)
            if net > best_net:
                reason = 'crowded' if self._copies[model] else 'missing'
                best_net = net
                best = Move(
                    holder.replica_id,
                    model,
                    eviction.models,
                    from_store,
                    reason,
                    round(gain, 2),
                    round(eviction.loss, 2),
                )
        return best

    def _gain_at(self, model: str, holder: Holder) -> float:
        capacity = self._capacity(model, holder)
        gain = self._gain(model, capacity)
        if not self._copies[model]:
            # Even a busy replica serves a model that stands nowhere else.
            gain *= 0.5 + 0.5 * capacity
        is_new = holder.data_centre not in self._centres[model]
        return gain * (NEW_CENTRE_FACTOR if is_new else 1.0)

    def _cost(self, holder: Holder, eviction: _Eviction, from_store: bool) -> float:
        kept = holder.models - set(eviction.models)
        blocked = sum(
            self._need(name).adapters / max(1, self._ready.get(name, 0)) for name in kept
        )
        cost = EVICTION_COST * len(eviction.models)
        if from_store:
            cost += STORE_COST + BLOCKED_ADAPTER_COST * blocked
        return cost

    def _make_room(self, model: str, holder: Holder) -> _Eviction | None:
        """Return the copies to give up at a replica, or ``None`` if it has no room."""
        needed_mb = self._spec(model).size_mb - self._free_mb(holder)
        if needed_mb <= 0:
            return _Eviction()
        losses = {name: self._loss(name, holder) for name in holder.models}
        evicted: list[str] = []
        for name in sorted(losses, key=lambda name: (losses[name], name)):
            evicted.append(name)
            needed_mb -= self._size_mb(name)
            if needed_mb <= 0:
                kept = self._without_surplus(evicted, -needed_mb)
                return _Eviction(kept, sum(losses[name] for name in kept))
        return None

    def _without_surplus(self, evicted: list[str], spare_mb: float) -> tuple[str, ...]:
        """Leave out copies that need not go after a larger one went, the dearest first."""
        kept = list(evicted)
        for name in reversed(evicted[:-1]):
            if self._size_mb(name) <= spare_mb:
                spare_mb -= self._size_mb(name)
                kept.remove(name)
        return tuple(kept)

    def _free_mb(self, holder: Holder) -> float:
        used = sum(self._size_mb(name) for name in holder.models | holder.coming)
        return self._engine.capacity_mb - self._adapters_mb() - used

    def _adapters_mb(self) -> float:
        """Return what adapters may take at the most, whatever models they belong to."""
        largest = max((spec.adapter_mb for spec in self._engine.models.values()), default=0.0)
        return largest * self._engine.adapter_places

    def _size_mb(self, model: str) -> float:
        spec = self._engine.models.get(model)
        return spec.size_mb if spec else 0.0

    def _spec(self, model: str) -> ModelSpec:
        return self._engine.models[model]
