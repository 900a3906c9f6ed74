"""What all calls to a model keep busy at the replicas of a service.

Owns the rule that turns averaged demand into a number of replicas; keeps nothing. Relies
on the totals over all gateways and on the measured reading speeds.
"""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.keys import ModelKey
from limeshelf.demand.totals import LASTING_MEMORY_S, RATE_MEMORY_S, KeyTotals
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.calls.routes import EngineSpec, ModelSpec

#: Share of a replica's time that may go to reading prompts before it counts as full; the rest
#: goes to the steps of running calls. For planning only: what is granted is bounded by
#: READING_DUTY of :mod:`limeshelf.dispatch.refusal`.
PLANNED_READING_SHARE = 0.5
#: A further copy serves only when its load is done, so demand that rises counts as what it will
#: be then. While it rises evenly, the two averages lag behind it by their time constants; what
#: the shorter exceeds the longer by says how fast it rises. With this in place of 0.6 of the
#: difference, up to half more, whatever a load takes: see tests/demand/test_rise.py. At the
#: most it counts as this share more.
RISE_LIMIT_SHARE = 1.0
#: Share of a replica's slots that is filled before another copy is worth it.
FILLED_SLOTS_SHARE = 0.8
#: An adapter that was asked for within this time needs a place.
ACTIVE_ADAPTER_S = 1.5
#: A call that found no copy counts as waiting for this long.
WAITING_S = 3.0
#: A model counts as awaited once it has gone unserved for longer than the first event of an answer
#: takes: of a busy one, some call always waits for that.
AWAITED_AFTER_S = 2.0


@attrs.frozen
class ModelDemand:
    """The demand for one model with all its adapters.

    :ivar calls_per_s: calls that will begin a second when a load is done.
    :ivar lasting_calls_per_s: calls that begin a second, averaged over a longer time.
    :ivar busy_replicas: replicas that the calls keep busy.
    :ivar refused_per_s: calls that found its copies without room in time.
    :ivar running: calls under way.
    :ivar adapters: adapters that are asked for at the moment.
    :ivar is_waiting: whether a call found no copy lately.
    :ivar objective_s: shortest objective of the calls; 0 before any.
    :ivar unserved_s: for how long the model was asked for and none of its calls was served; 0
        where nobody waits.
    :ivar is_awaited: whether one who asked for it unserved may still come back.
    """

    calls_per_s: float = 0.0
    lasting_calls_per_s: float = 0.0
    busy_replicas: float = 0.0
    running: float = 0.0
    adapters: int = 0
    is_waiting: bool = False
    objective_s: float = 0.0
    refused_per_s: float = 0.0
    unserved_s: float = 0.0
    is_awaited: bool = False


#: The demand for a model that nobody asks for.
NO_DEMAND = ModelDemand()


def demand_by_model(
    service: str,
    engine: EngineSpec,
    totals: dict[ModelKey, KeyTotals],
    read_ms: Callable[[str, float], float],
) -> dict[str, ModelDemand]:
    """Return the demand for each model that the configuration gives the service.

    :param read_ms: returns the time that reading so many tokens of a model takes, in
        milliseconds.
    """
    by_model: dict[str, list[tuple[ModelKey, KeyTotals]]] = {name: [] for name in engine.models}
    for key, key_totals in totals.items():
        if key.service == service and engine.has_model(key.model, key.adapter):
            by_model[key.model].append((key, key_totals))
    return {
        name: _demand(items, engine, engine.models[name], functools.partial(read_ms, name))
        if items
        else NO_DEMAND
        for name, items in by_model.items()
    }


def _demand(
    items: list[tuple[ModelKey, KeyTotals]],
    engine: EngineSpec,
    model: ModelSpec,
    read_ms: Callable[[float], float],
) -> ModelDemand:
    now_s = boottime_s()
    totals = [key_totals for _, key_totals in items]
    running = sum(one.running for one in totals)
    adapters = sum(
        1 for key, one in items if key.adapter and now_s - one.seen_s < ACTIVE_ADAPTER_S
    )
    calls_per_s = sum(one.calls_per_s for one in totals)
    lasting_calls_per_s = sum(one.lasting_calls_per_s for one in totals)
    rise = rise_factor(calls_per_s, lasting_calls_per_s, model.load_s)
    tokens_per_s = rise * sum(one.tokens_per_s for one in totals)
    reading = read_ms(tokens_per_s) / MS_PER_S / PLANNED_READING_SHARE
    slots = rise * running / (FILLED_SLOTS_SHARE * max(1, engine.slots))
    places = adapters / max(1, engine.adapter_places)
    unserved_s = model_unserved_s(totals, now_s)
    return ModelDemand(
        calls_per_s=rise * calls_per_s,
        lasting_calls_per_s=lasting_calls_per_s,
        busy_replicas=max(reading, slots, places),
        running=running,
        adapters=adapters,
        is_waiting=any(now_s - one.missing_s < WAITING_S for one in totals),
        objective_s=_shortest(one.objective_s for one in totals),
        refused_per_s=sum(one.refused_per_s for one in totals),
        unserved_s=unserved_s,
        is_awaited=unserved_s >= AWAITED_AFTER_S and any(one.is_awaited(now_s) for one in totals),
    )


def model_unserved_s(totals: list[KeyTotals], now_s: float) -> float:
    """Return for how long a model was asked for, with any adapter, and served with none."""
    unserved_s = max((one.unserved_s(now_s) for one in totals), default=0.0)
    served_s = max((one.ages.served_s for one in totals), default=-math.inf)
    return min(unserved_s, now_s - served_s)


def rise_factor(calls_per_s: float, lasting_calls_per_s: float, lead_s: float) -> float:
    """Return the factor by which demand will likely have risen in some time.

    :param lead_s: that time, in seconds.
    """
    if calls_per_s <= 0:
        return 1.0
    lag_s = RATE_MEMORY_S
    slope_per_s = (calls_per_s - lasting_calls_per_s) / (LASTING_MEMORY_S - lag_s)
    rise_share = slope_per_s * (lag_s + lead_s) / calls_per_s
    return 1.0 + min(RISE_LIMIT_SHARE, max(0.0, rise_share))


def _shortest(objectives_s: Iterable[float]) -> float:
    return min((objective_s for objective_s in objectives_s if objective_s), default=0.0)
