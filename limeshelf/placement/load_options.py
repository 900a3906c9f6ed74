"""The replicas that could load a model now, and how soon it would be ready there.

The caller compares the options.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.placement.eviction import Eviction, choose_eviction

if TYPE_CHECKING:
    from limeshelf.placement.copy_values import CopyValues
    from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView

#: Estimated time for which an unload waits for the running calls of its model: a load of a busy
#: model from disk started 3 s after it was planned, since the evicted copy was answering one call.
BUSY_UNLOAD_S = 2.0
#: Mean running calls of a copy from which its unload counts as waiting for them.
BUSY_RUNNING_CALLS = 0.5


@attrs.frozen
class LoadOption:
    """A replica that could load a model now.

    :ivar eviction: what is unloaded there first.
    :ivar from_store: whether the load counts against the load rate of the weight store.
    :ivar load_s: duration of the load itself, in seconds.
    :ivar ready_in_s: the same including the unloads before it.
    """

    replica: ReplicaView
    eviction: Eviction
    from_store: bool
    load_s: float
    ready_in_s: float


def load_options(
    model: str, snapshot: PlacementSnapshot, values: CopyValues, store_allowed: bool
) -> list[LoadOption]:
    """Return every option for a model.

    :param store_allowed: whether a load from the weight store may start.
    """
    spec = snapshot.engine.models[model]
    options = []
    for replica in snapshot.idle:
        from_store = replica.needs_store(model)
        if replica.has_copy(model) or (from_store and not store_allowed):
            continue
        eviction = choose_eviction(model, replica, snapshot, values)
        if eviction is None:
            continue
        load_s = replica.load_s(spec)
        ready_in_s = load_s + _unload_s(eviction, snapshot)
        options.append(LoadOption(replica, eviction, from_store, load_s, ready_in_s))
    return options


def _unload_s(eviction: Eviction, snapshot: PlacementSnapshot) -> float:
    """Return how long the unloads before a load are expected to wait for calls, in seconds."""
    is_busy = any(snapshot.running_calls(name) >= BUSY_RUNNING_CALLS for name in eviction.models)
    return BUSY_UNLOAD_S if is_busy else 0.0


def local_ready_in_s(model: str, snapshot: PlacementSnapshot) -> float:
    """Return how soon a busy replica could have loaded a model from its local weights.

    :return: in seconds; infinite if no busy replica has them.
    """
    spec = snapshot.engine.models[model]
    return min(
        (one.free_in_s + one.load_s(spec) for one in _busy_with_local_weights(model, snapshot)),
        default=math.inf,
    )


def predicted_ready_in_s(
    models: list[str], snapshot: PlacementSnapshot, values: CopyValues
) -> dict[str, float]:
    """Return when busy replicas are expected to have loaded models from their local weights.

    Models are scheduled in the given order.

    :return: seconds from now, by model; a model that no such replica has room for is left out.
    """
    free_in_s = {one.replica_id: one.free_in_s for one in snapshot.replicas}
    predicted_s = {}
    for model in models:
        spec = snapshot.engine.models[model]
        candidates = [
            (free_in_s[one.replica_id] + one.load_s(spec), one.replica_id)
            for one in _busy_with_local_weights(model, snapshot)
            if choose_eviction(model, one, snapshot, values) is not None
        ]
        if candidates:
            ready_in_s, replica_id = min(candidates)
            predicted_s[model] = free_in_s[replica_id] = ready_in_s
    return predicted_s


def _busy_with_local_weights(model: str, snapshot: PlacementSnapshot) -> list[ReplicaView]:
    """Return the replicas that are loading something else and have a model's weights locally."""
    return [
        one
        for one in snapshot.replicas
        if not one.is_idle
        and one.loading
        and not one.has_copy(model)
        and not one.needs_store(model)
    ]
