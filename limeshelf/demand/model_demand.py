"""Computes how many replicas the demand for a model occupies.

Keeps no state. The inputs are the averaged demand over all gateways and the measured prefill
speeds.
"""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.keys import ModelKey
from limeshelf.demand.totals import LONG_TERM_TIME_CONSTANT_S, RATE_TIME_CONSTANT_S, KeyTotals
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.calls.routes import EngineSpec, ModelSpec

#: A replica counts as full when prefill takes this share of its time; the rest goes to the decode
#: steps of running calls. For planning only: the calls that are granted are bounded by
#: PREFILL_DUTY of :mod:`limeshelf.dispatch.refusal`.
PLANNED_PREFILL_SHARE = 0.5
#: Upper bound of the rise that is added to the current demand, as a share of it. A further replica
#: of a model serves calls only after its load, so rising demand is extrapolated to the end of the
#: load. During a linear rise each average lags by its time constant, so their difference gives
#: the slope. Adding 0.6 of the difference, at most half of the demand, whatever the load time,
#: underestimates a rise: see tests/demand/test_rise.py.
MAX_RISE_SHARE = 1.0
#: A replica counts as full when this share of its slots is used.
PLANNED_SLOT_SHARE = 0.8
#: An adapter that was requested within this time needs a place.
ACTIVE_ADAPTER_AGE_S = 1.5
#: A model counts as missing for this long after a call found no replica that holds it.
RECENTLY_MISSING_S = 3.0
#: Shortest unserved time after which a retry of an unserved call is expected. It is longer than
#: the first event of an answer takes, since some call of a busy model always waits for that.
RETRY_EXPECTED_AFTER_S = 2.0


@attrs.frozen
class ModelDemand:
    """The demand for one model with all its adapters.

    :ivar calls_per_s: calls started per second, extrapolated to the end of a model load.
    :ivar long_term_calls_per_s: calls started per second, averaged over a longer time.
    :ivar busy_replicas: replicas that the calls occupy.
    :ivar refused_per_s: calls refused per second because no replica had room in time.
    :ivar running: calls in progress.
    :ivar adapters: adapters that were requested within :data:`ACTIVE_ADAPTER_AGE_S`.
    :ivar recently_missing: whether a call recently found no replica that holds its key.
    :ivar objective_s: shortest latency objective of the calls; 0 before any call.
    :ivar unserved_s: time for which the model was requested without any call being served; 0 if
        no call is unserved.
    :ivar may_be_retried: whether a caller that was not served may still retry.
    """

    calls_per_s: float = 0.0
    long_term_calls_per_s: float = 0.0
    busy_replicas: float = 0.0
    running: float = 0.0
    adapters: int = 0
    recently_missing: bool = False
    objective_s: float = 0.0
    refused_per_s: float = 0.0
    unserved_s: float = 0.0
    may_be_retried: bool = False


#: The demand for a model without calls.
NO_DEMAND = ModelDemand()


def demand_by_model(
    service: str,
    engine: EngineSpec,
    totals: dict[ModelKey, KeyTotals],
    prefill_ms: Callable[[str, float], float],
) -> dict[str, ModelDemand]:
    """Return the demand for each model that the service has by the configuration.

    :param prefill_ms: returns the prefill time of a number of tokens for a model, in milliseconds.
    """
    by_model: dict[str, list[tuple[ModelKey, KeyTotals]]] = {name: [] for name in engine.models}
    for key, key_totals in totals.items():
        if key.service == service and engine.has_model(key.model, key.adapter):
            by_model[key.model].append((key, key_totals))
    return {
        name: _model_demand(
            items, engine, engine.models[name], functools.partial(prefill_ms, name)
        )
        if items
        else NO_DEMAND
        for name, items in by_model.items()
    }


def _model_demand(
    items: list[tuple[ModelKey, KeyTotals]],
    engine: EngineSpec,
    model: ModelSpec,
    prefill_ms: Callable[[float], float],
) -> ModelDemand:
    now_s = boottime_s()
    totals = [key_totals for _, key_totals in items]
    running = sum(one.running for one in totals)
    adapters = sum(
        1
        for key, one in items
        if key.adapter and now_s - one.last_requested_s < ACTIVE_ADAPTER_AGE_S
    )
    calls_per_s = sum(one.calls_per_s for one in totals)
    long_term_calls_per_s = sum(one.long_term_calls_per_s for one in totals)
    growth = rise_factor(calls_per_s, long_term_calls_per_s, model.load_s)
    tokens_per_s = growth * sum(one.tokens_per_s for one in totals)
    prefill_replicas = prefill_ms(tokens_per_s) / MS_PER_S / PLANNED_PREFILL_SHARE
    slot_replicas = growth * running / (PLANNED_SLOT_SHARE * max(1, engine.slots))
    place_replicas = adapters / max(1, engine.adapter_places)
    unserved_s = model_unserved_s(totals, now_s)
    return ModelDemand(
        calls_per_s=growth * calls_per_s,
        long_term_calls_per_s=long_term_calls_per_s,
        busy_replicas=max(prefill_replicas, slot_replicas, place_replicas),
        running=running,
        adapters=adapters,
        recently_missing=any(now_s - one.last_missing_s < RECENTLY_MISSING_S for one in totals),
        objective_s=_shortest(one.objective_s for one in totals),
        refused_per_s=sum(one.refused_per_s for one in totals),
        unserved_s=unserved_s,
        may_be_retried=unserved_s >= RETRY_EXPECTED_AFTER_S
        and any(one.may_be_retried(now_s) for one in totals),
    )


def model_unserved_s(totals: list[KeyTotals], now_s: float) -> float:
    """Return for how long a model was requested, with any adapter, and no call was served."""
    unserved_s = max((one.unserved_s(now_s) for one in totals), default=0.0)
    served_s = max((one.serving_state.served_s for one in totals), default=-math.inf)
    return min(unserved_s, now_s - served_s)


def rise_factor(calls_per_s: float, long_term_calls_per_s: float, lead_s: float) -> float:
    """Return the factor by which demand is expected to grow, at least 1.

    :param lead_s: how far to extrapolate, in seconds.
    """
    if calls_per_s <= 0:
        return 1.0
    lag_s = RATE_TIME_CONSTANT_S
    slope_per_s = (calls_per_s - long_term_calls_per_s) / (LONG_TERM_TIME_CONSTANT_S - lag_s)
    rise_share = slope_per_s * (lag_s + lead_s) / calls_per_s
    return 1.0 + min(MAX_RISE_SHARE, max(0.0, rise_share))


def _shortest(objectives_s: Iterable[float]) -> float:
    return min((objective_s for objective_s in objectives_s if objective_s), default=0.0)
