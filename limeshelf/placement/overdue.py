"""Selects models that are loaded because they have waited longest, whatever they gain.

Moves are otherwise chosen by gain, so a model with few calls could wait forever. Keeps the loads
that this process started for overdue models, since they may only use a share of the replicas.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView

#: A model is overdue once it has been requested for this long without any call being served.
OVERDUE_AFTER_S = 12.0
#: Net loss, in calls per second, that the load of an overdue model may cause for each second
#: beyond that. It has no upper limit, so that the load happens in the end, whatever the value of
#: the existing copies.
ALLOWED_LOSS_PER_S_PER_S = 0.5
#: A model that goes unserved despite one copy (its replica is cut off or full) gets a second one
#: after this long. It gets no third: a model that cannot be served would occupy all replicas.
SECOND_COPY_AFTER_S = 30.0
#: Share of the replicas, at least one, that load overdue models at the same time. It limits how
#: many copies of served models are evicted for them.
OVERDUE_REPLICAS_SHARE = 0.2


class OverdueLoads:
    """The running loads that were started because their model was overdue.

    Loads of overdue models that were chosen by their gain do not count.
    """

    def __init__(self) -> None:
        self._model_by_replica: dict[str, str] = {}

    def record_start(self, replica_id: str, model: str) -> None:
        """Record that the load of an overdue model starts on a replica."""
        self._model_by_replica[replica_id] = model

    def count_running(self, replicas: list[ReplicaView]) -> int:
        """Return how many of these loads are running, and drop the finished ones."""
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
    """Return the models to load now because they are overdue, longest unserved first.

    :param barred: models that must not be loaded.
    :param overdue_loads: the running loads of overdue models; while they use their share of the
        replicas, no model is returned.
    """
    running = overdue_loads.count_running(snapshot.replicas) if overdue_loads is not None else 0
    if running >= max(1, int(OVERDUE_REPLICAS_SHARE * len(snapshot.replicas))):
        return []
    due = [
        name
        for name in snapshot.engine.models
        if name not in barred and _is_overdue(name, snapshot)
    ]
    return sorted(due, key=lambda name: (-snapshot.demand(name).unserved_s, name))


def allowed_loss_per_s(unserved_s: float) -> float:
    """Return the net loss that loading an overdue model may cause, in calls per second."""
    return ALLOWED_LOSS_PER_S_PER_S * max(0.0, unserved_s - OVERDUE_AFTER_S)


def _is_overdue(model: str, snapshot: PlacementSnapshot) -> bool:
    demand = snapshot.demand(model)
    copies = snapshot.copies(model)
    if not demand.may_be_retried or copies.total > min(1, copies.ready):
        return False
    limit_s = SECOND_COPY_AFTER_S if copies.ready else OVERDUE_AFTER_S
    return demand.unserved_s >= limit_s
