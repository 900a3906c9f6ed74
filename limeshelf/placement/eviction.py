"""Selects the copies that are evicted from a replica to make room for a model.

The caller weighs the loss against the gain of the model.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.placement.copy_values import CopyValues
    from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView


@attrs.frozen
class Eviction:
    """Copies to evict; empty if there is enough room already.

    :ivar loss: their total value, in calls per second.
    """

    models: tuple[str, ...] = ()
    loss: float = 0.0


def choose_eviction(
    model: str, replica: ReplicaView, snapshot: PlacementSnapshot, values: CopyValues
) -> Eviction | None:
    """Return what to evict so that *model* fits, or ``None`` if it cannot fit.

    The least valuable copies go first; copies of the same value are ordered by name. A copy that
    refused callers are expected to retry for is kept.
    """
    needed_mb = snapshot.size_mb(model) - snapshot.free_mb(replica)
    if needed_mb <= 0:
        return Eviction()
    losses = values.losses(replica)
    evicted: list[str] = []
    for name in losses:
        if snapshot.demand(name).may_be_retried:
            continue
        evicted.append(name)
        needed_mb -= snapshot.size_mb(name)
        if needed_mb <= 0:
            needed = _without_unneeded(evicted, -needed_mb, snapshot)
            return Eviction(needed, sum(losses[name] for name in needed))
    return None


def _without_unneeded(
    evicted: list[str], spare_mb: float, snapshot: PlacementSnapshot
) -> tuple[str, ...]:
    """Leave out copies that a larger eviction made unnecessary, the most valuable first."""
    needed = list(evicted)
    for name in reversed(evicted[:-1]):
        if snapshot.size_mb(name) <= spare_mb:
            spare_mb -= snapshot.size_mb(name)
            needed.remove(name)
    return tuple(needed)
