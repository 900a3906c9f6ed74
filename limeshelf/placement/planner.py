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

from limeshelf.placement.model_worth import ModelWorth
from limeshelf.placement.options import LoadOption, load_options, near_in_s, upcoming_loads_s
from limeshelf.placement.restraint import (
    has_enough_coming,
    is_withheld,
    may_occupy_for_long,
)
from limeshelf.placement.spread import spread_option
from limeshelf.placement.survey import CopySurvey, WeightsTier
from limeshelf.placement.turns import bearable_loss_per_s, due_models
from limeshelf.placement.worth import NEW_CENTRE_FACTOR, CopyWorth

if TYPE_CHECKING:
    from collections.abc import Collection

    from limeshelf.calls.routes import EngineSpec
    from limeshelf.demand.model_demand import ModelDemand
    from limeshelf.placement.survey import ReplicaCopies
    from limeshelf.placement.turns import TurnBook

# Gains, losses and costs are in calls a second.

#: A move must gain this many times what it loses.
GAIN_PER_LOSS = 1.3
#: Least gain of a further copy.
LEAST_GAIN_PER_S = 0.4
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
ROUNDING_PER_S = 1e-6
#: Digits of gain and loss in the log line of a move.
LOGGED_DIGITS = 2


class PassedOver(enum.StrEnum):
    """Why a model that calls wait for is not loaded now; the values stand in log lines."""

    #: Replicas stay idle for models that are worth more, or whose callers cannot wait.
    WITHHELD = 'withheld'
    #: Every idle replica holds what is worth more, or is awaited.
    OUTBID = 'outbid'
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
    FAR = 'far'


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
    nearer: tuple[str, ...] = ()


@attrs.frozen
class WaitingOutlook:
    """What becomes of models that calls wait for, without an order yet.

    :ivar upcoming_s: seconds until a model is likely there, from the memory or disk of a replica
        that carries out another order now; models come one after the other there.
    :ivar passed_over: why a model is not loaded now.
    """

    upcoming_s: dict[str, float] = attrs.field(factory=dict)
    passed_over: dict[str, PassedOver] = attrs.field(factory=dict)


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
        first_copies: dict[str, int],
        starved_s: dict[str, float] | None = None,
        barred: Collection[str] = (),
        turns: TurnBook | None = None,
    ) -> None:
        self._engine = engine
        self._demands = demands
        self._first_copies = first_copies
        self._starved_s = starved_s or {}
        self._barred = barred
        self._turns = turns
        self._models = ModelWorth(engine, demands, first_copies, self._starved_s)

    def next_move(
        self,
        replicas: list[ReplicaCopies],
        store_allowed: bool = True,
        *,
        may_spread: bool = False,
    ) -> CopyMove | None:
        """Return the move that is worth most now, if any is worth making.

        Those whose turn it is go first. Others are tried by what one more copy gains at an
        idle replica; the first for which a move is worth making ends the search.

        :param store_allowed: whether a load from the weight store may begin now; without,
            models come from the disks and memories of the machines alone.
        :param may_spread: whether all replicas are known, so that what lies at none is.
        """
        survey = CopySurvey.take(self._engine, self._demands, replicas)
        worth = CopyWorth(survey, self._first_copies, self._starved_s, self._models)
        for model in due_models(survey, self._barred, self._turns):
            move = _turn(model, survey, worth, store_allowed)
            if move is not None:
                return move
        loadable = (name for name in self._engine.models if name not in self._barred)
        candidates = [(worth.idle_gain(name), name) for name in loadable]
        candidates.sort(reverse=True)
        for idle_gain, model in candidates:
            if idle_gain < LEAST_GAIN_PER_S:
                break
            if has_enough_coming(model, survey) or not _may_gain(model, idle_gain, survey, worth):
                continue
            from_store = store_allowed and not is_withheld(model, idle_gain, survey, worth)
            move = _best_move(model, survey, worth, from_store)
            if move is not None:
                return move
        return self._spread(survey, worth) if store_allowed and may_spread else None

    def _spread(self, survey: CopySurvey, worth: CopyWorth) -> CopyMove | None:
        found = spread_option(survey, worth, self._barred)
        if found is None:
            return None
        model, option = found
        weighed = _WeighedOption(option, worth.gain(model, option.replica), 0.0)
        return weighed.as_move(model, MoveReason.FAR, 0.0, ())

    def outlook(self, replicas: list[ReplicaCopies], store_allowed: bool = True) -> WaitingOutlook:
        """Return what becomes of the models that calls wait for and that have no copy."""
        if not any(demand.recently_missing for demand in self._demands.values()):
            return WaitingOutlook()
        survey = CopySurvey.take(self._engine, self._demands, replicas)
        worth = CopyWorth(survey, self._first_copies, self._starved_s, self._models)
        waiting = [
            name
            for name in self._engine.models
            if survey.demand(name).recently_missing and not survey.copies(name).total
        ]
        waiting.sort(key=lambda name: (-worth.idle_gain(name), name))
        loadable = [name for name in waiting if name not in self._barred]
        upcoming_s = upcoming_loads_s(loadable, survey, worth)
        passed_over = {
            name: _why_not_loaded(name, survey, worth, store_allowed) for name in waiting
        }
        return WaitingOutlook(upcoming_s, passed_over)


def _why_not_loaded(
    model: str, survey: CopySurvey, worth: CopyWorth, store_allowed: bool
) -> PassedOver:
    if not survey.idle:
        return PassedOver.NO_IDLE_REPLICA
    if not all(replica.needs_store(model) for replica in survey.idle):
        return PassedOver.OUTBID
    if is_withheld(model, worth.idle_gain(model), survey, worth):
        return PassedOver.WITHHELD
    may_begin = store_allowed and may_occupy_for_long(model, survey, worth)
    return PassedOver.OUTBID if may_begin else PassedOver.STORE_LIMITED


def _may_gain(model: str, idle_gain: float, survey: CopySurvey, worth: CopyWorth) -> bool:
    """Return whether a load may gain more than it loses at any replica; a quick look.

    At no replica does a copy gain more than at an idle one in a data centre without one, and no
    eviction loses less than the copy of least worth there.
    """
    bearable_loss = idle_gain * NEW_CENTRE_FACTOR / GAIN_PER_LOSS + ROUNDING_PER_S
    size_mb = survey.size_mb(model)
    return any(
        survey.free_mb(replica) >= size_mb or worth.least_loss(replica) <= bearable_loss
        for replica in survey.idle
    )


def _turn(
    model: str, survey: CopySurvey, worth: CopyWorth, store_allowed: bool
) -> CopyMove | None:
    """Return the move that brings a model whose turn it is, where that costs least.

    It waits for a place whose loss it may cost by now.
    """
    unserved_s = survey.demand(model).unserved_s
    options = load_options(model, survey, worth, store_allowed)
    weighed = _weigh(model, options, survey, worth)
    best = max(weighed, key=lambda one: one.net, default=None)
    if best is None or best.net < -bearable_loss_per_s(unserved_s):
        return None
    return best.as_move(model, MoveReason.OVERDUE, unserved_s, _nearer(model, best, survey))


def _best_move(
    model: str, survey: CopySurvey, worth: CopyWorth, store_allowed: bool
) -> CopyMove | None:
    """Return the move that brings a model where that is worth most after all costs."""
    store_allowed = store_allowed and may_occupy_for_long(model, survey, worth)
    reason = MoveReason.OVERLOADED if survey.copies(model).total else MoveReason.MISSING
    options = load_options(model, survey, worth, store_allowed)
    worthwhile = [one for one in _weigh(model, options, survey, worth) if one.net > 0]
    if not worthwhile:
        return None
    best = max(worthwhile, key=lambda one: one.net)
    if best.option.from_store and best.option.ready_in_s > near_in_s(model, survey):
        return None
    unserved_s = survey.demand(model).unserved_s
    return best.as_move(model, reason, unserved_s, _nearer(model, best, survey))


def _nearer(model: str, chosen: _WeighedOption, survey: CopySurvey) -> tuple[str, ...]:
    """Return the replicas that have the weights near where the chosen one has not."""
    if not chosen.option.from_store:
        return ()
    replicas = (one for one in survey.replicas if not one.has(model))
    return tuple(one.replica_id for one in replicas if not one.needs_store(model))


@attrs.frozen
class _WeighedOption:
    """A possible move with its gain, and what is left of that after all costs."""

    option: LoadOption
    gain: float
    net: float

    def as_move(
        self, model: str, reason: MoveReason, unserved_s: float, nearer: tuple[str, ...]
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
            nearer,
        )


def _weigh(
    model: str, options: list[LoadOption], survey: CopySurvey, worth: CopyWorth
) -> list[_WeighedOption]:
    shortest_s = min((option.ready_in_s for option in options), default=0.0)
    weighed = []
    for option in options:
        gain = worth.gain(model, option.replica)
        cost = _cost(option, survey)
        cost += gain * (option.ready_in_s - shortest_s) / LOAD_HORIZON_S
        net = gain - GAIN_PER_LOSS * option.eviction.loss - cost
        weighed.append(_WeighedOption(option, gain, net))
    return weighed


def _cost(option: LoadOption, survey: CopySurvey) -> float:
    """Return what the move itself costs, whatever is lost with the copies that go."""
    evicted = set(option.eviction.models)
    cost = EVICTION_COST_PER_S * len(evicted)
    if option.from_store:
        kept = option.replica.ready - evicted
        blocked = sum(
            survey.demand(name).adapters / max(1, survey.copies(name).ready) for name in kept
        )
        cost += STORE_COST_PER_S + BLOCKED_ADAPTER_COST_PER_S * blocked
    return cost
