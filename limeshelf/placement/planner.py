"""Decides which model is loaded next, and where; a plan, no orders.

Owns the choice among moves, and what is told of models that wait for one. Relies on the worth
of copies (``worth.py``), the choice of what is evicted (``eviction.py``), when a load does not
begin (``restraint.py``) and one survey of what stands where. Who calls orders the move and logs
it (event ``move``).
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.placement.copy_values import ONLY_IN_DATA_CENTRE_FACTOR, CopyValues
from limeshelf.placement.load_limits import (
    has_enough_loading,
    may_load_from_store,
    must_keep_idle_reserve,
)
from limeshelf.placement.model_values import ModelValues
from limeshelf.placement.options import LoadOption, load_options, near_in_s, upcoming_loads_s
from limeshelf.placement.overdue import allowed_loss_per_s, overdue_models
from limeshelf.placement.spread import spread_option
from limeshelf.placement.survey import PlacementSnapshot, WeightsTier

if TYPE_CHECKING:
    from collections.abc import Collection

    from limeshelf.calls.routes import EngineSpec
    from limeshelf.demand.model_demand import ModelDemand
    from limeshelf.placement.overdue import OverdueLoads
    from limeshelf.placement.survey import ReplicaCopies

# Gains, losses and costs are in calls a second.

#: A move must gain this many times what it loses.
MIN_GAIN_LOSS_RATIO = 1.3
#: Least gain of a further copy.
MIN_GAIN_PER_S = 0.4
#: Cost of a load from the weight store, whose rate is limited.
STORE_COST_PER_S = 0.3
#: A load that takes longer here than at another idle replica costs, of what it gains, the share
#: of this time by which it is longer: where weights lie on a disk it takes a fifth of a load
#: from the store, and calls wait or are refused meanwhile.
LOAD_HORIZON_S = 5.0
#: Cost of each copy that is evicted.
EVICTION_COST_PER_S = 0.05
#: Cost of each wanted adapter that has to wait while a whole model is loaded, since a replica
#: carries out one order at a time.
BLOCKED_ADAPTER_COST_PER_S = 0.3
#: What sums of gains and losses differ by when they are added up in another order.
ROUNDING_TOLERANCE_PER_S = 1e-6
#: Digits of gain and loss in the log line of a move.
LOGGED_DIGITS = 2


class NotLoadedReason(enum.StrEnum):
    """Why a model that calls wait for is not loaded now; the values stand in log lines."""

    #: Replicas stay idle for models that are worth more, or whose callers cannot wait.
    IDLE_RESERVE = 'withheld'
    #: Every idle replica holds what is worth more, or is awaited.
    LOWER_VALUE = 'outbid'
    #: No idle replica has the weights near, and no load from the weight store may begin.
    STORE_LIMITED = 'store_limited'
    NO_IDLE_REPLICA = 'no_idle_replica'


class MoveReason(enum.StrEnum):
    """Why a model is loaded; the values stand in the log line of the move."""

    MISSING = 'missing'
    #: It has copies, but not enough for its calls.
    OVERLOADED = 'crowded'
    #: It has waited so long that it is its turn.
    OVERDUE = 'overdue'
    #: Its weights lie at no replica.
    PREFETCH = 'far'


@attrs.frozen
class CopyMove:
    """Load a model at a replica after the copies there that make room are gone.

    :ivar evicted: models that are unloaded there first, in this order.
    :ivar from_store: whether the load counts against the rate of the weight store.
    :ivar load_s: time that the load likely takes, in seconds.
    :ivar gain: what it is worth, in calls a second.
    :ivar loss: what the copies that go were worth.
    :ivar unserved_s: for how long the model has been asked for and served to nobody.
    :ivar tier: where the load finds the weights.
    :ivar nearer: replicas that have the weights in memory or on disk while this one has not.
    """

    replica_id: str
    model: str
    evicted: tuple[str, ...]
    from_store: bool
    reason: MoveReason
    load_s: float = 0.0
    gain: float = 0.0
    loss: float = 0.0
    unserved_s: float = 0.0
    tier: WeightsTier = WeightsTier.STORE
    replicas_with_weights: tuple[str, ...] = ()


@attrs.frozen
class WaitingModels:
    """What becomes of models that calls wait for, without an order yet.

    :ivar upcoming_s: seconds until a model is likely there, from the memory or disk of a replica
        that carries out another order now; models come one after the other there.
    :ivar passed_over: why a model is not loaded now.
    """

    ready_in_s: dict[str, float] = attrs.field(factory=dict)
    not_loaded: dict[str, NotLoadedReason] = attrs.field(factory=dict)


class CopyPlanner:
    """Plans the copies of one engine service.

    :param engine: what a replica of the service can hold.
    :param demands: the demand for each model.
    :param first_copies: copies of each model that the leader found, which show what was
        busy before any call was seen.
    :param starved_s: for how long a model that is asked for has had no copy.
    :param barred: models that are loaded no more, whatever they would gain.
    :param turns: the turns under way.
    """

    def __init__(
        self,
        engine: EngineSpec,
        demands: dict[str, ModelDemand],
        initial_copies: dict[str, int],
        starved_s: dict[str, float] | None = None,
        barred: Collection[str] = (),
        overdue_loads: OverdueLoads | None = None,
    ) -> None:
        self._engine = engine
        self._demands = demands
        self._initial_copies = initial_copies
        self._starved_s = starved_s or {}
        self._barred = barred
        self._overdue_loads = overdue_loads
        self._model_values = ModelValues(engine, demands, initial_copies, self._starved_s)

    def next_move(
        self,
        replicas: list[ReplicaCopies],
        store_allowed: bool = True,
        *,
        may_prefetch: bool = False,
    ) -> CopyMove | None:
        """Return the move that is worth most now, if any is worth making.

        Those whose turn it is go first. Others are tried by what one more copy gains at an
        idle replica; the first for which a move is worth making ends the search.

        :param store_allowed: whether a load from the weight store may begin now; without,
            models come from the disks and memories of the machines alone.
        :param may_spread: whether all replicas are known, so that what lies at none is.
        """
        snapshot = PlacementSnapshot.capture(self._engine, self._demands, replicas)
        copy_values = CopyValues(
            snapshot, self._initial_copies, self._starved_s, self._model_values
        )
        for model in overdue_models(snapshot, self._barred, self._overdue_loads):
            move = _overdue_move(model, snapshot, copy_values, store_allowed)
            if move is not None:
                return move
        loadable = (name for name in self._engine.models if name not in self._barred)
        candidates = [(copy_values.idle_gain(name), name) for name in loadable]
        candidates.sort(reverse=True)
        for idle_gain, model in candidates:
            if idle_gain < MIN_GAIN_PER_S:
                break
            if has_enough_loading(model, snapshot) or not _may_gain(
                model, idle_gain, snapshot, copy_values
            ):
                continue
            from_store = store_allowed and not must_keep_idle_reserve(
                model, idle_gain, snapshot, copy_values
            )
            move = _best_move(model, snapshot, copy_values, from_store)
            if move is not None:
                return move
        return (
            self._prefetch_move(snapshot, copy_values) if store_allowed and may_prefetch else None
        )

    def _prefetch_move(
        self, snapshot: PlacementSnapshot, copy_values: CopyValues
    ) -> CopyMove | None:
        found = spread_option(snapshot, copy_values, self._barred)
        if found is None:
            return None
        model, option = found
        scored = _ScoredOption(option, copy_values.gain(model, option.replica), 0.0)
        return scored.as_move(model, MoveReason.PREFETCH, 0.0, ())

    def outlook(self, replicas: list[ReplicaCopies], store_allowed: bool = True) -> WaitingModels:
        """Return what becomes of the models that calls wait for and that have no copy."""
        if not any(demand.is_waiting for demand in self._demands.values()):
            return WaitingModels()
        snapshot = PlacementSnapshot.capture(self._engine, self._demands, replicas)
        copy_values = CopyValues(
            snapshot, self._initial_copies, self._starved_s, self._model_values
        )
        waiting = [
            name
            for name in self._engine.models
            if snapshot.demand(name).is_waiting and not snapshot.copies(name).total
        ]
        waiting.sort(key=lambda name: (-copy_values.idle_gain(name), name))
        loadable = [name for name in waiting if name not in self._barred]
        ready_in_s = upcoming_loads_s(loadable, snapshot, copy_values)
        not_loaded = {
            name: _not_loaded_reason(name, snapshot, copy_values, store_allowed)
            for name in waiting
        }
        return WaitingModels(ready_in_s, not_loaded)


def _not_loaded_reason(
    model: str, snapshot: PlacementSnapshot, copy_values: CopyValues, store_allowed: bool
) -> NotLoadedReason:
    if not snapshot.idle:
        return NotLoadedReason.NO_IDLE_REPLICA
    if not all(replica.needs_store(model) for replica in snapshot.idle):
        return NotLoadedReason.LOWER_VALUE
    if must_keep_idle_reserve(model, copy_values.idle_gain(model), snapshot, copy_values):
        return NotLoadedReason.IDLE_RESERVE
    may_start = store_allowed and may_load_from_store(model, snapshot, copy_values)
    return NotLoadedReason.LOWER_VALUE if may_start else NotLoadedReason.STORE_LIMITED


def _may_gain(
    model: str, idle_gain: float, snapshot: PlacementSnapshot, copy_values: CopyValues
) -> bool:
    """Return whether a load may gain more than it loses at any replica; a quick look.

    At no replica does a copy gain more than at an idle one in a data centre without one, and no
    eviction loses less than the copy of least worth there.
    """
    max_loss = (
        idle_gain * ONLY_IN_DATA_CENTRE_FACTOR / MIN_GAIN_LOSS_RATIO + ROUNDING_TOLERANCE_PER_S
    )
    size_mb = snapshot.size_mb(model)
    return any(
        snapshot.free_mb(replica) >= size_mb or copy_values.min_loss(replica) <= max_loss
        for replica in snapshot.idle
    )


def _overdue_move(
    model: str, snapshot: PlacementSnapshot, copy_values: CopyValues, store_allowed: bool
) -> CopyMove | None:
    """Return the move that brings a model whose turn it is, where that costs least.

    It waits for a place whose loss it may cost by now.
    """
    unserved_s = snapshot.demand(model).unserved_s
    options = load_options(model, snapshot, copy_values, store_allowed)
    scored = _score_options(model, options, snapshot, copy_values)
    best = max(scored, key=lambda one: one.net, default=None)
    if best is None or best.net < -allowed_loss_per_s(unserved_s):
        return None
    return best.as_move(
        model, MoveReason.OVERDUE, unserved_s, _replicas_with_weights(model, best, snapshot)
    )


def _best_move(
    model: str, snapshot: PlacementSnapshot, copy_values: CopyValues, store_allowed: bool
) -> CopyMove | None:
    """Return the move that brings a model where that is worth most after all costs."""
    store_allowed = store_allowed and may_load_from_store(model, snapshot, copy_values)
    reason = MoveReason.OVERLOADED if snapshot.copies(model).total else MoveReason.MISSING
    options = load_options(model, snapshot, copy_values, store_allowed)
    worthwhile = [
        one for one in _score_options(model, options, snapshot, copy_values) if one.net > 0
    ]
    if not worthwhile:
        return None
    best = max(worthwhile, key=lambda one: one.net)
    if best.option.from_store and best.option.ready_in_s > near_in_s(model, snapshot):
        return None
    unserved_s = snapshot.demand(model).unserved_s
    return best.as_move(model, reason, unserved_s, _replicas_with_weights(model, best, snapshot))


def _replicas_with_weights(
    model: str, chosen: _ScoredOption, snapshot: PlacementSnapshot
) -> tuple[str, ...]:
    """Return the replicas that have the weights near where the chosen one has not."""
    if not chosen.option.from_store:
        return ()
    replicas = (one for one in snapshot.replicas if not one.has_copy(model))
    return tuple(one.replica_id for one in replicas if not one.needs_store(model))


@attrs.frozen
class _ScoredOption:
    """A possible move with its gain, and what is left of that after all costs."""

    option: LoadOption
    gain: float
    net: float

    def as_move(
        self,
        model: str,
        reason: MoveReason,
        unserved_s: float,
        replicas_with_weights: tuple[str, ...],
    ) -> CopyMove:
        option = self.option
        return CopyMove(
            option.replica.replica_id,
            model,
            option.eviction.models,
            option.from_store,
            reason,
            option.load_s,
            round(self.gain, LOGGED_DIGITS),
            round(option.eviction.loss, LOGGED_DIGITS),
            unserved_s,
            option.replica.tier(model),
            replicas_with_weights,
        )


def _score_options(
    model: str, options: list[LoadOption], snapshot: PlacementSnapshot, copy_values: CopyValues
) -> list[_ScoredOption]:
    shortest_s = min((option.ready_in_s for option in options), default=0.0)
    scored = []
    for option in options:
        gain = copy_values.gain(model, option.replica)
        cost = _move_cost(option, snapshot)
        cost += gain * (option.ready_in_s - shortest_s) / LOAD_HORIZON_S
        net = gain - MIN_GAIN_LOSS_RATIO * option.eviction.loss - cost
        scored.append(_ScoredOption(option, gain, net))
    return scored


def _move_cost(option: LoadOption, snapshot: PlacementSnapshot) -> float:
    """Return what the move itself costs, whatever is lost with the copies that go."""
    evicted = set(option.eviction.models)
    cost = EVICTION_COST_PER_S * len(evicted)
    if option.from_store:
        kept = option.replica.ready - evicted
        blocked = sum(
            snapshot.demand(name).adapters / max(1, snapshot.copies(name).ready) for name in kept
        )
        cost += STORE_COST_PER_S + BLOCKED_ADAPTER_COST_PER_S * blocked
    return cost
