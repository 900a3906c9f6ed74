"""Which models get a copy because they have waited longest, whatever they gain.

What is worth most goes first as long as it is a matter of worth; a model that few ask for would
then wait for ever. Owns the rule, and the turns under way as this process ordered them. Relies on
the survey for who waits and what comes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from limeshelf.placement.survey import PlacementSnapshot, ReplicaCopies

#: A model that was asked for and served to nobody for this long has its turn.
OVERDUE_AFTER_S = 12.0
#: What its turn may cost, in calls a second, for each second beyond that. It has no limit, so
#: that the turn comes whatever the copies there are worth.
ALLOWED_LOSS_PER_S_PER_S = 0.5
#: One that has one copy and goes unserved all the same (its replica is cut off, or full) gets a
#: second after this long, and no further one: what nobody can serve would take all places.
SECOND_COPY_AFTER_S = 30.0
#: Share of the replicas that bring such models at the same time, at least one: what those that
#: are served now give up for it.
OVERDUE_REPLICAS_SHARE = 0.2


class OverdueLoads:
    """The turns under way: which model comes where because it waited longest.

    Loads of such models that their worth alone brings take nobody's turn.
    """

    def __init__(self) -> None:
        self._model_by_replica: dict[str, str] = {}

    def record_start(self, replica_id: str, model: str) -> None:
        """Note that a turn begins."""
        self._model_by_replica[replica_id] = model

    def count_running(self, replicas: list[ReplicaCopies]) -> int:
        """Return how many turns are under way, and forget those that are over."""
        loading = {replica.replica_id: replica.loading for replica in replicas}
        self._model_by_replica = {
            replica_id: model
            for replica_id, model in self._model_by_replica.items()
            if model in loading.get(replica_id, ())
        }
        return len(self._model_by_replica)


def overdue_models(
    snapshot: PlacementSnapshot, barred: Collection[str], overdue_loads: OverdueLoads | None = None
) -> list[str]:
    """Return the models whose turn it is, who waited longest first.

    :param barred: models that are loaded no more.
    :param turns: those under way.
    """
    under_way = overdue_loads.count_running(snapshot.replicas) if overdue_loads is not None else 0
    if under_way >= max(1, int(OVERDUE_REPLICAS_SHARE * len(snapshot.replicas))):
        return []
    due = [
        name
        for name in snapshot.engine.models
        if name not in barred and _is_overdue(name, snapshot)
    ]
    return sorted(due, key=lambda name: (-snapshot.demand(name).unserved_s, name))


def allowed_loss_per_s(unserved_s: float) -> float:
    """Return what a turn may cost beyond what it gains, in calls a second."""
    return ALLOWED_LOSS_PER_S_PER_S * max(0.0, unserved_s - OVERDUE_AFTER_S)


def _is_overdue(model: str, snapshot: PlacementSnapshot) -> bool:
    demand = snapshot.demand(model)
    copies = snapshot.copies(model)
    if not demand.is_awaited or copies.total > min(1, copies.ready):
        return False
    limit_s = SECOND_COPY_AFTER_S if copies.ready else OVERDUE_AFTER_S
    return demand.unserved_s >= limit_s
