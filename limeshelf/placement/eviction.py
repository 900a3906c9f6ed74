"""Which copies are evicted at a replica to make room for a model.

Owns that choice alone. Relies on what each copy there is worth; who calls weighs the loss
against the gain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.placement.survey import CopySurvey, ReplicaCopies
    from limeshelf.placement.worth import CopyWorth


@attrs.frozen
class Eviction:
    """Copies that go; none where there is room already.

    :ivar loss: what they were worth together, in calls a second.
    """

    models: tuple[str, ...] = ()
    loss: float = 0.0


def eviction_for(
    model: str, replica: ReplicaCopies, survey: CopySurvey, worth: CopyWorth
) -> Eviction | None:
    """Return what has to go before *model* fits, or ``None`` if it never does.

    Copies of least worth go first; of equal worth, the first by name. One that somebody who was
    refused may come back for stays.
    """
    needed_mb = survey.size_mb(model) - survey.free_mb(replica)
    if needed_mb <= 0:
        return Eviction()
    losses = worth.losses(replica)
    evicted: list[str] = []
    for name in losses:
        if survey.demand(name).may_be_retried:
            continue
        evicted.append(name)
        needed_mb -= survey.size_mb(name)
        if needed_mb <= 0:
            needed = _without_surplus(evicted, -needed_mb, survey)
            return Eviction(needed, sum(losses[name] for name in needed))
    return None


def _without_surplus(evicted: list[str], spare_mb: float, survey: CopySurvey) -> tuple[str, ...]:
    """Leave out copies that need not go after a larger one went, the dearest first."""
    needed = list(evicted)
    for name in reversed(evicted[:-1]):
        if survey.size_mb(name) <= spare_mb:
            spare_mb -= survey.size_mb(name)
            needed.remove(name)
    return tuple(needed)
