"""Brings weights near that lie at no replica, while that takes nothing from callers.

A load from a replica's memory or disk takes a second where one from the weight store takes
several, so whoever may be asked for next is loaded somewhere once, before it is asked for. The
copy that makes room for it comes back from memory. Owns the rule alone; relies on the survey for
where weights lie.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.placement.load_options import LoadOption, load_options

if TYPE_CHECKING:
    from collections.abc import Collection

    from limeshelf.placement.copy_values import CopyValues
    from limeshelf.placement.survey import PlacementSnapshot, ReplicaCopies

#: Share of the replicas that may load something while weights are spread.
MAX_LOADING_SHARE = 0.7


def uncached_models(snapshot: PlacementSnapshot, barred: Collection[str]) -> list[str]:
    """Return the models whose weights lie at no replica, nor are on their way to one."""
    cached: set[str] = set()
    for replica in snapshot.replicas:
        cached |= replica.ready | replica.loading | replica.in_memory | replica.on_disk
    return [name for name in snapshot.engine.models if name not in cached and name not in barred]


def choose_prefetch(
    snapshot: PlacementSnapshot, copy_values: CopyValues, barred: Collection[str]
) -> tuple[str, LoadOption] | None:
    """Return the next model to bring near, and where; ``None`` if there is none.

    It goes where the copies that a load may push off the disk lie elsewhere as well.
    """
    if not copy_values.is_low_demand or snapshot.loading >= MAX_LOADING_SHARE * len(
        snapshot.replicas
    ):
        return None
    if any(not one.is_idle and not one.loading for one in snapshot.replicas):
        # What it holds may not be known yet.
        return None
    for model in uncached_models(snapshot, barred):
        options = [
            option
            for option in load_options(model, snapshot, copy_values, store_allowed=True)
            if all(_is_dispensable(name, snapshot, copy_values) for name in option.eviction.models)
        ]
        if options:
            return model, min(options, key=lambda one: _prefetch_cost(one, snapshot))
    return None


def _is_dispensable(model: str, snapshot: PlacementSnapshot, copy_values: CopyValues) -> bool:
    """Return whether a copy may go for a while without one who asks for it missing it."""
    return snapshot.copies(model).ready > 1 or not copy_values.had_initial_copies(model)


def _prefetch_cost(option: LoadOption, snapshot: PlacementSnapshot) -> tuple[int, float, str]:
    only_here = _count_only_cached_here(option.replica, snapshot)
    return only_here, option.eviction.loss, option.replica.replica_id


def _count_only_cached_here(replica: ReplicaCopies, snapshot: PlacementSnapshot) -> int:
    """Return how many models lie on this replica's disk, unused, and nowhere else."""
    elsewhere: set[str] = set()
    for other in snapshot.replicas:
        if other.replica_id != replica.replica_id:
            elsewhere |= other.ready | other.loading | other.in_memory | other.on_disk
    unused = replica.on_disk - replica.ready - replica.loading
    return len(unused - elsewhere)
