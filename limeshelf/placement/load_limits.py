"""Rules that keep a load from starting, whatever it gains, so that replicas stay free.

A replica executes one order at a time, and a load from the weight store takes seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.placement.copy_values import CopyValues
    from limeshelf.placement.snapshot import PlacementSnapshot

#: Moves with a lower gain leave RESERVED_SHARE of the replicas idle for urgent ones.
URGENT_GAIN_PER_S = 2.0
RESERVED_SHARE = 0.34
#: Latency-tolerant models leave this share of the replicas idle, whatever they gain. Without it,
#: when demand moved to a latency-critical model, every replica with its weights was busy loading a
#: model that had been requested once.
LATENCY_TOLERANT_RESERVED_SHARE = 0.5
#: A latency-tolerant model that has been requested without a copy for this long counts like a
#: latency-critical one.
LONG_STARVED_S = 6.0
#: A latency-tolerant model is loaded from the weight store only while at most this share of the
#: replicas is loading: such a load occupies a replica for six seconds, and when demand moved
#: during the first of them, three of six replicas were loading models that had been requested
#: once.
LATENCY_TOLERANT_LOADING_SHARE = 0.2
#: Once this share of the replicas is occupied by loads from the weight store while they have other
#: weights locally, no further one starts. A latency-critical model without a copy is exempt.
LONG_LOADS_SHARE = 0.34
#: Once this share of the replicas is loading the same model, no further copy of it is ordered.
MODEL_LOADING_SHARE = 0.2


def must_keep_idle_reserve(
    model: str, idle_gain: float, snapshot: PlacementSnapshot, values: CopyValues
) -> bool:
    """Return whether a load from the weight store would use replicas that are kept idle.

    :param idle_gain: what a further copy gains on an idle replica, in calls per second.
    """
    if values.is_low_demand:
        return False
    if values.is_latency_tolerant(model) and values.starved_s(model) < LONG_STARVED_S:
        reserved_share = LATENCY_TOLERANT_RESERVED_SHARE
    elif idle_gain >= URGENT_GAIN_PER_S:
        return False
    else:
        reserved_share = RESERVED_SHARE
    return len(snapshot.idle) <= reserved_share * len(snapshot.replicas)


def may_load_from_store(model: str, snapshot: PlacementSnapshot, values: CopyValues) -> bool:
    """Return whether a replica may load a model from the weight store now."""
    if values.is_low_demand:
        return True
    is_tolerant = values.is_latency_tolerant(model)
    if not is_tolerant and not snapshot.copies(model).total:
        return True
    replicas = len(snapshot.replicas)
    if snapshot.count_long_loads() >= max(1.0, LONG_LOADS_SHARE * replicas):
        return False
    if not is_tolerant or values.starved_s(model) >= LONG_STARVED_S:
        return True
    return snapshot.loading < max(1.0, LATENCY_TOLERANT_LOADING_SHARE * replicas)


def has_enough_loading(model: str, snapshot: PlacementSnapshot) -> bool:
    """Return whether enough copies of a model are loading that no further one is ordered."""
    loading = snapshot.copies(model).total - snapshot.copies(model).ready
    return loading >= max(1.0, MODEL_LOADING_SHARE * len(snapshot.replicas))
