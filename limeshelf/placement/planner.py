"""Decides which model is loaded next, and where; a plan, no orders.

Owns the choice among moves and when a move is withheld. Relies on the worth of copies
(``worth.py``), the choice of what is evicted (``eviction.py``) and one survey of what
stands where. Who calls orders the move and logs it (event ``move``).
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.placement.eviction import Eviction, eviction_for
from limeshelf.placement.survey import CopySurvey
from limeshelf.placement.worth import CopyWorth

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec
    from limeshelf.demand.model_demand import ModelDemand
    from limeshelf.placement.survey import ReplicaCopies

# Gains, losses and costs are in calls a second. The figures were chosen with the rule in
# commit f8661d4 (scores there and in worth.py), none measured by itself, unless said.

#: A move must gain this many times what it loses. Chosen (f8661d4).
GAIN_PER_LOSS = 1.3
#: Least gain of a further copy. Chosen (f8661d4).
LEAST_GAIN_PER_S = 0.4
#: Cost of a load from the weight store, whose rate is limited. Chosen (f8661d4).
STORE_COST_PER_S = 0.3
#: A load that takes longer here than at another idle replica costs, of what it gains, the
#: share of this time by which it is longer: where weights lie on a disk it takes a fifth of
#: a load from the store, and calls wait or are refused meanwhile. Chosen, not measured.
LOAD_HORIZON_S = 10.0
#: Cost of each copy that is evicted. Chosen (f8661d4).
EVICTION_COST_PER_S = 0.05
#: Cost of each wanted adapter that has to wait while a whole model is loaded, since a
#: replica carries out one order at a time. Raised from 0.1 by commit 4b62607, where ten
#: adapters waited on Sljeme's scale-2 (one score: 0.858, gate failed, to 0.867, passed).
BLOCKED_ADAPTER_COST_PER_S = 0.3
#: Moves that gain less leave this share of the replicas idle for urgent ones. Chosen
#: (f8661d4).
URGENT_GAIN_PER_S = 2.0
RESERVED_REPLICAS_SHARE = 0.34
#: Digits of gain and loss in the log line of a move.
LOGGED_DIGITS = 2


class MoveReason(enum.StrEnum):
    """Why a model is loaded; the values stand in the log line of the move."""

    MISSING = 'missing'
    #: It has copies, but not enough for its calls.
    OVERLOADED = 'crowded'


@attrs.frozen
class CopyMove:
    """Load a model at a replica after the copies there that make room are gone.

    :ivar evicted: models that are unloaded there first, in this order.
    :ivar from_store: whether the load counts against the rate of the weight store.
    :ivar load_s: time that the load likely takes, in seconds.
    :ivar gain: what it is worth, in calls a second.
    :ivar loss: what the copies that go were worth.
    """

    replica_id: str
    model: str
    evicted: tuple[str, ...]
    from_store: bool
    reason: MoveReason
    load_s: float = 0.0
    gain: float = 0.0
    loss: float = 0.0


class CopyPlanner:
    """Plans the copies of one engine service.

    :param engine: what a replica of the service can hold.
    :param demands: the demand for each model.
    :param first_copies: copies of each model that the leader found, which show what was
        busy before any call was seen.
    :param starved_s: for how long a model that is asked for has had no copy.
    """

    def __init__(
        self,
        engine: EngineSpec,
        demands: dict[str, ModelDemand],
        first_copies: dict[str, int],
        starved_s: dict[str, float] | None = None,
    ) -> None:
        self._engine = engine
        self._demands = demands
        self._first_copies = first_copies
        self._starved_s = starved_s or {}

    def next_move(
        self, replicas: list[ReplicaCopies], store_allowed: bool = True
    ) -> CopyMove | None:
        """Return the move that is worth most now, if any is worth making.

        Models are tried by what one more copy gains at an idle replica; the first for which
        a move is worth making ends the search.

        :param store_allowed: whether a load from the weight store may begin now; without,
            models come from the disks and memories of the machines alone.
        """
        survey = CopySurvey.take(self._engine, self._demands, replicas)
        worth = CopyWorth(survey, self._first_copies, self._starved_s)
        candidates = [(worth.idle_gain(name), name) for name in self._engine.models]
        candidates.sort(reverse=True)
        for idle_gain, model in candidates:
            if idle_gain < LEAST_GAIN_PER_S:
                return None
            if _is_withheld(idle_gain, survey, worth):
                return None
            move = _best_move(model, survey, worth, store_allowed)
            if move is not None:
                return move
        return None


def _is_withheld(idle_gain: float, survey: CopySurvey, worth: CopyWorth) -> bool:
    """Return whether a move waits, so that replicas stay idle for urgent ones.

    A replica carries out one order at a time and a load takes seconds.
    """
    if idle_gain >= URGENT_GAIN_PER_S or worth.is_quiet:
        return False
    idle = sum(1 for replica in survey.replicas if replica.is_idle)
    return idle <= RESERVED_REPLICAS_SHARE * len(survey.replicas)


def _best_move(
    model: str, survey: CopySurvey, worth: CopyWorth, store_allowed: bool
) -> CopyMove | None:
    """Return the move that brings a model where that is worth most after all costs."""
    best: CopyMove | None = None
    best_net = 0.0
    reason = MoveReason.OVERLOADED if survey.copies(model).total else MoveReason.MISSING
    spec = survey.engine.models[model]
    candidates = [
        one
        for one in survey.replicas
        if one.is_idle and not one.has(model) and (store_allowed or not one.needs_store(model))
    ]
    shortest_s = min((replica.load_s(spec) for replica in candidates), default=0.0)
    for replica in candidates:
        eviction = eviction_for(model, replica, survey, worth)
        if eviction is None:
            continue
        from_store = replica.needs_store(model)
        load_s = replica.load_s(spec)
        gain = worth.gain(model, replica)
        cost = _cost(replica, eviction, from_store, survey)
        cost += gain * (load_s - shortest_s) / LOAD_HORIZON_S
        net = gain - GAIN_PER_LOSS * eviction.loss - cost
        if net > best_net:
            best_net = net
            best = CopyMove(
                replica.replica_id,
                model,
                eviction.models,
                from_store,
                reason,
                load_s,
                round(gain, LOGGED_DIGITS),
                round(eviction.loss, LOGGED_DIGITS),
            )
    return best


def _cost(
    replica: ReplicaCopies, eviction: Eviction, from_store: bool, survey: CopySurvey
) -> float:
    """Return what the move itself costs, whatever is lost with the copies that go."""
    cost = EVICTION_COST_PER_S * len(eviction.models)
    if from_store:
        kept = replica.ready - set(eviction.models)
        blocked = sum(
            survey.demand(name).adapters / max(1, survey.copies(name).ready) for name in kept
        )
        cost += STORE_COST_PER_S + BLOCKED_ADAPTER_COST_PER_S * blocked
    return cost
