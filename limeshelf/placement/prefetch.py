"""Selects models to load because no replica has their weights, while demand is low.

A load from a replica's memory or disk takes one second, a load from the weight store several.
Every model is therefore loaded on some replica once, before it is requested. The copy that is
evicted for it can be reloaded from memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.placement.load_options import LoadOption, load_options

if TYPE_CHECKING:
    from collections.abc import Collection

    from limeshelf.placement.copy_values import CopyValues
    from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView

#: Maximum share of the replicas that may be loading while weights are prefetched.
MAX_LOADING_SHARE = 0.7


def uncached_models(snapshot: PlacementSnapshot, barred: Collection[str]) -> list[str]:
    """Return the models whose weights no replica has or is loading."""
    cached: set[str] = set()
    for replica in snapshot.replicas:
        cached |= replica.ready | replica.loading | replica.in_memory | replica.on_disk
    return [name for name in snapshot.engine.models if name not in cached and name not in barred]


def choose_prefetch(
    snapshot: PlacementSnapshot, values: CopyValues, barred: Collection[str]
) -> tuple[str, LoadOption] | None:
    """Return the next model to prefetch and its option, or ``None``.

    Prefers a replica where the weights that the load may displace from disk are also on others.
    """
    if not values.is_low_demand or snapshot.loading >= MAX_LOADING_SHARE * len(snapshot.replicas):
        return None
    if any(not one.is_idle and not one.loading for one in snapshot.replicas):
        # The weights on such a replica may not be known yet.
        return None
    for model in uncached_models(snapshot, barred):
        options = [
            option
            for option in load_options(model, snapshot, values, store_allowed=True)
            if all(_is_dispensable(name, snapshot, values) for name in option.eviction.models)
        ]
        if options:
            return model, min(options, key=lambda one: _prefetch_cost(one, snapshot))
    return None


def _is_dispensable(model: str, snapshot: PlacementSnapshot, values: CopyValues) -> bool:
    """Return whether a copy can be evicted for a while without its callers being affected."""
    return snapshot.copies(model).ready > 1 or not values.had_initial_copies(model)


def _prefetch_cost(option: LoadOption, snapshot: PlacementSnapshot) -> tuple[int, float, str]:
    only_here = _count_only_cached_here(option.replica, snapshot)
    return only_here, option.eviction.loss, option.replica.replica_id


def _count_only_cached_here(replica: ReplicaView, snapshot: PlacementSnapshot) -> int:
    """Return how many models without a copy here have their weights only on this disk."""
    elsewhere: set[str] = set()
    for other in snapshot.replicas:
        if other.replica_id != replica.replica_id:
            elsewhere |= other.ready | other.loading | other.in_memory | other.on_disk
    unused = replica.on_disk - replica.ready - replica.loading
    return len(unused - elsewhere)
