"""Chooses the next model copy to load and the replica to load it on.

Only plans: the caller sends the orders and logs each move (event ``move``). ``copy_values.py``
evaluates copies, ``eviction.py`` selects what is unloaded, ``load_limits.py`` says when a load
must not start, and ``overdue.py`` which models go first because they have waited longest.
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
from limeshelf.placement.load_options import (
    LoadOption,
    load_options,
    local_ready_in_s,
    predicted_ready_in_s,
)
from limeshelf.placement.model_values import ModelValues
from limeshelf.placement.overdue import allowed_loss_per_s, overdue_models
from limeshelf.placement.prefetch import choose_prefetch
from limeshelf.placement.snapshot import PlacementSnapshot, WeightsTier

if TYPE_CHECKING:
    from collections.abc import Collection

    from limeshelf.calls.routes import EngineSpec
    from limeshelf.demand.model_demand import ModelDemand
    from limeshelf.placement.overdue import OverdueLoads
    from limeshelf.placement.snapshot import ReplicaView

# Gains, losses and costs are in calls per second.

#: Minimum ratio of a move's gain to the value of the copies that it evicts.
MIN_GAIN_LOSS_RATIO = 1.3
#: Minimum gain of a further copy.
MIN_GAIN_PER_S = 0.4
#: Cost of a load from the weight store, whose load rate is limited.
STORE_COST_PER_S = 0.3
#: A load that takes longer here than on another idle replica costs a share of its gain: the extra
#: time divided by this value. A load from disk takes a fifth of a load from the store, and calls
#: wait or are refused until it is done.
LOAD_HORIZON_S = 5.0
#: Cost of each evicted copy.
EVICTION_COST_PER_S = 0.05
#: Cost of each requested adapter that has to wait while a whole model is loaded, since a replica
#: executes one order at a time.
BLOCKED_ADAPTER_COST_PER_S = 0.3
#: Tolerance for floating-point sums of gains and losses that are added up in different orders.
SUM_TOLERANCE_PER_S = 1e-6
#: Decimal places of gain and loss in the log line of a move.
LOGGED_DIGITS = 2


class NotLoadedReason(enum.StrEnum):
    """Why a model that calls wait for is not loaded now; the values appear in log lines."""

    #: The idle replicas are reserved for models with a higher gain or latency-critical calls.
    IDLE_RESERVE = 'withheld'
    #: All copies that could be evicted on idle replicas have a higher value, or are kept because
    #: refused callers are expected to retry for them.
    LOWER_VALUE = 'outbid'
    #: No idle replica has the weights locally, and no load from the weight store may start.
    STORE_LIMITED = 'store_limited'
    NO_IDLE_REPLICA = 'no_idle_replica'


class MoveReason(enum.StrEnum):
    """Why a model is loaded; the values appear in the log line of the move."""

    MISSING = 'missing'
    #: It has copies, but too few for its calls.
    OVERLOADED = 'crowded'
    #: It has gone unserved for so long that it is loaded regardless of its gain.
    OVERDUE = 'overdue'
    #: No replica has its weights, so they are loaded before they are requested.
    PREFETCH = 'far'


@attrs.frozen
class CopyMove:
    """Loads a model on a replica after unloading the copies that make room for it.

    :ivar evicted: models that are unloaded there first, in this order.
    :ivar from_store: whether the load counts against the load rate of the weight store.
    :ivar load_s: estimated duration of the load, in seconds.
    :ivar gain: value of the new copy, in calls per second.
    :ivar loss: value of the evicted copies, in calls per second.
    :ivar unserved_s: time for which the model has been requested without any call being served.
    :ivar tier: where the load finds the weights.
    :ivar replicas_with_weights: for a load from the store, other replicas with local weights.
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
    """What to expect for models that calls wait for and that are not being loaded yet.

    :ivar ready_in_s: estimated seconds until a model is ready. It covers models that a busy
        replica can load from its own memory or disk; that replica loads them one after the other.
    :ivar not_loaded: why a model is not loaded now.
    """

    ready_in_s: dict[str, float] = attrs.field(factory=dict)
    not_loaded: dict[str, NotLoadedReason] = attrs.field(factory=dict)


class CopyPlanner:
    """Plans the model copies of one engine service.

    :param engine: the service's models and the capacity of each replica.
    :param demands: the demand for each model.
    :param initial_copies: copies of each model when the leader first saw the replicas; an
        indication of which models are busy before any call arrives.
    :param starved_s: time for which each requested model has had no copy.
    :param barred: models that must not be loaded, whatever they would gain.
    :param overdue_loads: the running loads of overdue models.
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
        replicas: list[ReplicaView],
        store_allowed: bool = True,
        *,
        may_prefetch: bool = False,
    ) -> CopyMove | None:
        """Return the best move to make now, or ``None`` if there is none.

        Overdue models come first, then others by descending idle gain, until a move is worthwhile.

        :param store_allowed: whether loads from the weight store may start; else only local ones.
        :param may_prefetch: whether all replicas are known, so that unreported models are on none.
        """
        snapshot = PlacementSnapshot.capture(self._engine, self._demands, replicas)
        values = CopyValues(snapshot, self._initial_copies, self._starved_s, self._model_values)
        for model in overdue_models(snapshot, self._barred, self._overdue_loads):
            move = _overdue_move(model, snapshot, values, store_allowed)
            if move is not None:
                return move
        loadable = (name for name in self._engine.models if name not in self._barred)
        candidates = [(values.idle_gain(name), name) for name in loadable]
        candidates.sort(reverse=True)
        for gain, model in candidates:
            if gain < MIN_GAIN_PER_S:
                break
            if has_enough_loading(model, snapshot) or not _may_gain(model, gain, snapshot, values):
                continue
            from_store = store_allowed and not must_keep_idle_reserve(
                model, gain, snapshot, values
            )
            move = _best_move(model, snapshot, values, from_store)
            if move is not None:
                return move
        return self._prefetch_move(snapshot, values) if store_allowed and may_prefetch else None

    def _prefetch_move(self, snapshot: PlacementSnapshot, values: CopyValues) -> CopyMove | None:
        found = choose_prefetch(snapshot, values, self._barred)
        if found is None:
            return None
        model, option = found
        scored = _ScoredOption(option, values.gain(model, option.replica), 0.0)
        return scored.as_move(model, MoveReason.PREFETCH, 0.0, ())

    def waiting_models(
        self, replicas: list[ReplicaView], store_allowed: bool = True
    ) -> WaitingModels:
        """Return what to expect for the models that calls wait for and that have no copy."""
        if not any(demand.recently_missing for demand in self._demands.values()):
            return WaitingModels()
        snapshot = PlacementSnapshot.capture(self._engine, self._demands, replicas)
        values = CopyValues(snapshot, self._initial_copies, self._starved_s, self._model_values)
        waiting = [
            name
            for name in self._engine.models
            if snapshot.demand(name).recently_missing and not snapshot.copies(name).total
        ]
        waiting.sort(key=lambda name: (-values.idle_gain(name), name))
        loadable = [name for name in waiting if name not in self._barred]
        ready_in_s = predicted_ready_in_s(loadable, snapshot, values)
        not_loaded = {
            name: _not_loaded_reason(name, snapshot, values, store_allowed) for name in waiting
        }
        return WaitingModels(ready_in_s, not_loaded)


def _not_loaded_reason(
    model: str, snapshot: PlacementSnapshot, values: CopyValues, store_allowed: bool
) -> NotLoadedReason:
    if not snapshot.idle:
        return NotLoadedReason.NO_IDLE_REPLICA
    if not all(replica.needs_store(model) for replica in snapshot.idle):
        return NotLoadedReason.LOWER_VALUE
    if must_keep_idle_reserve(model, values.idle_gain(model), snapshot, values):
        return NotLoadedReason.IDLE_RESERVE
    may_start = store_allowed and may_load_from_store(model, snapshot, values)
    return NotLoadedReason.LOWER_VALUE if may_start else NotLoadedReason.STORE_LIMITED


def _may_gain(model: str, gain: float, snapshot: PlacementSnapshot, values: CopyValues) -> bool:
    """Return whether a load could gain more than it loses on any replica.

    A cheap check against an upper bound: a copy gains most on an idle replica in a data centre
    without a copy, and every eviction loses at least the replica's least valuable copy.
    """
    max_loss = gain * ONLY_IN_DATA_CENTRE_FACTOR / MIN_GAIN_LOSS_RATIO + SUM_TOLERANCE_PER_S
    size_mb = snapshot.size_mb(model)
    return any(
        snapshot.free_mb(replica) >= size_mb or values.min_loss(replica) <= max_loss
        for replica in snapshot.idle
    )


def _overdue_move(
    model: str, snapshot: PlacementSnapshot, values: CopyValues, store_allowed: bool
) -> CopyMove | None:
    """Return the cheapest move for an overdue model if its waiting time allows the cost."""
    unserved_s = snapshot.demand(model).unserved_s
    options = load_options(model, snapshot, values, store_allowed)
    scored = _score_options(model, options, snapshot, values)
    best = max(scored, key=lambda one: one.net, default=None)
    if best is None or best.net < -allowed_loss_per_s(unserved_s):
        return None
    return best.as_move(
        model, MoveReason.OVERDUE, unserved_s, _replicas_with_weights(model, best, snapshot)
    )


def _best_move(
    model: str, snapshot: PlacementSnapshot, values: CopyValues, store_allowed: bool
) -> CopyMove | None:
    """Return the move for a model with the highest gain after all costs, if one is worthwhile."""
    store_allowed = store_allowed and may_load_from_store(model, snapshot, values)
    reason = MoveReason.OVERLOADED if snapshot.copies(model).total else MoveReason.MISSING
    options = load_options(model, snapshot, values, store_allowed)
    worthwhile = [one for one in _score_options(model, options, snapshot, values) if one.net > 0]
    if not worthwhile:
        return None
    best = max(worthwhile, key=lambda one: one.net)
    if best.option.from_store and best.option.ready_in_s > local_ready_in_s(model, snapshot):
        return None
    unserved_s = snapshot.demand(model).unserved_s
    return best.as_move(model, reason, unserved_s, _replicas_with_weights(model, best, snapshot))


def _replicas_with_weights(
    model: str, chosen: _ScoredOption, snapshot: PlacementSnapshot
) -> tuple[str, ...]:
    """Return the replicas that have a model's weights locally if the chosen one does not."""
    if not chosen.option.from_store:
        return ()
    replicas = (one for one in snapshot.replicas if not one.has_copy(model))
    return tuple(one.replica_id for one in replicas if not one.needs_store(model))


@attrs.frozen
class _ScoredOption:
    """A possible move, its gain, and the gain that remains after all costs."""

    option: LoadOption
    gain: float
    net: float

    def as_move(
        self, model: str, reason: MoveReason, unserved_s: float, with_weights: tuple[str, ...]
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
            with_weights,
        )


def _score_options(
    model: str, options: list[LoadOption], snapshot: PlacementSnapshot, values: CopyValues
) -> list[_ScoredOption]:
    shortest_s = min((option.ready_in_s for option in options), default=0.0)
    scored = []
    for option in options:
        gain = values.gain(model, option.replica)
        cost = _move_cost(option, snapshot)
        cost += gain * (option.ready_in_s - shortest_s) / LOAD_HORIZON_S
        net = gain - MIN_GAIN_LOSS_RATIO * option.eviction.loss - cost
        scored.append(_ScoredOption(option, gain, net))
    return scored


def _move_cost(option: LoadOption, snapshot: PlacementSnapshot) -> float:
    """Return the cost of the move itself, without the value of the evicted copies."""
    evicted = set(option.eviction.models)
    cost = EVICTION_COST_PER_S * len(evicted)
    if option.from_store:
        kept = option.replica.ready - evicted
        blocked = sum(
            snapshot.demand(name).adapters / max(1, snapshot.copies(name).ready) for name in kept
        )
        cost += STORE_COST_PER_S + BLOCKED_ADAPTER_COST_PER_S * blocked
    return cost
