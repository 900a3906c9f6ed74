"""When a load does not begin, whatever it gains, so that replicas stay free for others.

A replica carries out one order at a time, and a load from the weight store takes seconds. Owns
these rules alone; relies on the survey for what loads where, and on the worth of copies for whose
callers can wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.placement.copy_values import CopyValues
    from limeshelf.placement.survey import PlacementSnapshot

#: Moves that gain less leave this share of the replicas idle for urgent ones.
URGENT_GAIN_PER_S = 2.0
RESERVED_SHARE = 0.34
#: Models whose callers can wait leave this share of the replicas idle, whatever they gain: when
#: demand moved to a model whose callers cannot, every replica that had its weights near was
#: busy with one that was asked for once.
LATENCY_TOLERANT_RESERVED_SHARE = 0.5
#: A model that has been asked for without a copy for this long counts like the others.
LONG_STARVED_S = 6.0
#: A model whose callers can wait comes from the weight store only while no more than this share
#: of the replicas loads something: a load from the store occupies a replica for six seconds,
#: and when demand moved to a model in the first of them, three of six replicas were bringing
#: models that were asked for once.
LATENCY_TOLERANT_LOADING_SHARE = 0.2
#: Once this share of the replicas brings models from the weight store in place of what they have
#: near, no other begins. A model without a copy whose callers cannot wait comes all the same.
LONG_LOADS_SHARE = 0.34
#: Once a model is on its way to this share of the replicas, no further copy of it is ordered.
MODEL_LOADING_SHARE = 0.2


def must_keep_idle_reserve(
    model: str, idle_gain: float, snapshot: PlacementSnapshot, copy_values: CopyValues
) -> bool:
    """Return whether a load from the weight store waits, so that replicas stay idle for others.

    :param idle_gain: what a further copy gains at an idle replica, in calls a second.
    """
    if copy_values.is_low_demand:
        return False
    if copy_values.is_latency_tolerant(model) and copy_values.starved_s(model) < LONG_STARVED_S:
        reserved_share = LATENCY_TOLERANT_RESERVED_SHARE
    elif idle_gain >= URGENT_GAIN_PER_S:
        return False
    else:
        reserved_share = RESERVED_SHARE
    return len(snapshot.idle) <= reserved_share * len(snapshot.replicas)


def may_load_from_store(model: str, snapshot: PlacementSnapshot, copy_values: CopyValues) -> bool:
    """Return whether a replica may bring a model from the weight store now."""
    if copy_values.is_low_demand:
        return True
    is_tolerant = copy_values.is_latency_tolerant(model)
    if not is_tolerant and not snapshot.copies(model).total:
        return True
    replicas = len(snapshot.replicas)
    if snapshot.count_long_loads() >= max(1.0, LONG_LOADS_SHARE * replicas):
        return False
    if not is_tolerant or copy_values.starved_s(model) >= LONG_STARVED_S:
        return True
    return snapshot.loading < max(1.0, LATENCY_TOLERANT_LOADING_SHARE * replicas)


def has_enough_loading(model: str, snapshot: PlacementSnapshot) -> bool:
    """Return whether so many copies are on their way that what they serve is to be seen first."""
    loading = snapshot.copies(model).total - snapshot.copies(model).ready
    return loading >= max(1.0, MODEL_LOADING_SHARE * len(snapshot.replicas))
