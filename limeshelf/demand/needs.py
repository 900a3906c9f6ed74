"""What the calls to each model need of the replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.keys import ModelKey
from limeshelf.demand.totals import KeyTotals
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.calls.routes import EngineSpec

#: Part of a replica's time that goes to reading prompts when it is full; the
#: rest goes to the steps of running calls (the dispatcher's figure).
READING_DUTY = 0.5
#: A copy comes some seconds after it is ordered, so rising demand counts as what
#: it will be then: by this part of what the last seconds exceed the longer average.
RISE_SHARE = 0.6
RISE_LIMIT = 0.5
#: Part of a replica's slots that is filled before another copy is worth it.
SLOT_SHARE = 0.8
#: An adapter that was asked for within this time needs a place.
ACTIVE_S = 1.5
#: A call that found no copy counts as waiting for this long.
WAITING_S = 3.0


@attrs.frozen
class ModelNeed:
    """The demand for one model with all its adapters.

    :ivar calls_per_s: calls that will begin a second when a load is done.
    :ivar lasting_per_s: the same over a longer time.
    :ivar replicas: replicas that the calls keep busy.
    :ivar running: calls under way.
    :ivar adapters: adapters that are asked for at the moment.
    :ivar waits: whether a call found no copy lately.
    :ivar objective_s: shortest objective of the calls; 0 before any.
    """

    calls_per_s: float = 0.0
    lasting_per_s: float = 0.0
    replicas: float = 0.0
    running: float = 0.0
    adapters: int = 0
    waits: bool = False
    objective_s: float = 0.0


def needs_of(
    service: str,
    engine: EngineSpec,
    loads: dict[ModelKey, KeyTotals],
    read_ms: Callable[[str, float], float],
) -> dict[str, ModelNeed]:
    """Return what each model of the service needs.

    :param read_ms: returns the time that reading tokens of a model takes.
    """
    by_model: dict[str, list[tuple[ModelKey, KeyTotals]]] = {name: [] for name in engine.models}
    for key, load in loads.items():
        if key.service == service and key.model in by_model:
            by_model[key.model].append((key, load))
    return {
        name: _need(items, engine, lambda tokens, name=name: read_ms(name, tokens))  # type: ignore[misc]
        for name, items in by_model.items()
    }


def _need(
    items: list[tuple[ModelKey, KeyTotals]],
    engine: EngineSpec,
    read_ms: Callable[[float], float],
) -> ModelNeed:
    now_s = boottime_s()
    loads = [load for _, load in items]
    running = sum(load.running for load in loads)
    adapters = sum(1 for key, load in items if key.adapter and now_s - load.seen_s < ACTIVE_S)
    rate = sum(load.calls_per_s for load in loads)
    lasting_rate = sum(load.lasting_calls_per_s for load in loads)
    rise = _rise(rate, lasting_rate)
    tokens_per_s = rise * sum(load.tokens_per_s for load in loads)
    reading = read_ms(tokens_per_s) / 1000 / READING_DUTY
    slots = running / (SLOT_SHARE * max(1, engine.slots))
    places = adapters / max(1, engine.adapter_places)
    return ModelNeed(
        calls_per_s=rise * rate,
        lasting_per_s=lasting_rate,
        replicas=max(reading, slots, places),
        running=running,
        adapters=adapters,
        waits=any(now_s - load.missing_s < WAITING_S for load in loads),
        objective_s=_shortest(load.objective_s for load in loads),
    )


def _rise(rate: float, lasting_rate: float) -> float:
    """Return the factor by which demand will likely have risen when a load is done."""
    if rate <= 0:
        return 1.0
    return 1.0 + min(RISE_LIMIT, max(0.0, RISE_SHARE * (rate - lasting_rate) / rate))


def _shortest(objectives_s: Iterable[float]) -> float:
    return min((objective_s for objective_s in objectives_s if objective_s), default=0.0)
