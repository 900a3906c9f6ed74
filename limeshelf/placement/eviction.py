"""Which copies are evicted at a replica to make room for a model.

Owns that choice alone. Relies on what each copy there is worth; who calls weighs the loss
against the gain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.placement.copy_values import CopyValues
    from limeshelf.placement.survey import PlacementSnapshot, ReplicaCopies


@attrs.frozen
class Eviction:
    """Copies that go; none where there is room already.

    :ivar loss: what they were worth together, in calls a second.
    """

    models: tuple[str, ...] = ()
    loss: float = 0.0


def choose_eviction(
    model: str, replica: ReplicaCopies, snapshot: PlacementSnapshot, copy_values: CopyValues
) -> Eviction | None:
    """Return what has to go before *model* fits, or ``None`` if it never does.

    Copies of least worth go first; of equal worth, the first by name. One that somebody who was
    refused may come back for stays.
    """
    needed_mb = snapshot.size_mb(model) - snapshot.free_mb(replica)
    if needed_mb <= 0:
        return Eviction()
    losses = copy_values.losses(replica)
    evicted: list[str] = []
    for name in losses:
        if snapshot.demand(name).is_awaited:
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
    """Leave out copies that need not go after a larger one went, the dearest first."""
    needed = list(evicted)
    for name in reversed(evicted[:-1]):
        if snapshot.size_mb(name) <= spare_mb:
            spare_mb -= snapshot.size_mb(name)
            needed.remove(name)
    return tuple(needed)
