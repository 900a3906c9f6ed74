"""Which models get a copy because they have waited longest, whatever they gain.

What is worth most goes first as long as it is a matter of worth; a model that few ask for would
then wait for ever. Owns the rule, and the turns under way as this process ordered them. Relies on
the survey for who waits and what comes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from limeshelf.placement.survey import CopySurvey, ReplicaCopies

#: A model that was asked for and served to nobody for this long has its turn.
TURN_AFTER_S = 12.0
#: What its turn may cost, in calls a second, for each second beyond that. It has no limit, so
#: that the turn comes whatever the copies there are worth.
TURN_WORTH_PER_S_PER_S = 0.5
#: One that has one copy and goes unserved all the same (its replica is cut off, or full) gets a
#: second after this long, and no further one: what nobody can serve would take all places.
SECOND_COPY_AFTER_S = 30.0
#: Share of the replicas that bring such models at the same time, at least one: what those that
#: are served now give up for it.
TURN_REPLICAS_SHARE = 0.2


class TurnBook:
    """The turns under way: which model comes where because it waited longest.

    Loads of such models that their worth alone brings take nobody's turn.
    """

    def __init__(self) -> None:
        self._models: dict[str, str] = {}

    def note_begun(self, replica_id: str, model: str) -> None:
        """Note that a turn begins."""
        self._models[replica_id] = model

    def count(self, replicas: list[ReplicaCopies]) -> int:
        """Return how many turns are under way, and forget those that are over."""
        loading = {replica.replica_id: replica.loading for replica in replicas}
        self._models = {
            replica_id: model
            for replica_id, model in self._models.items()
            if model in loading.get(replica_id, ())
        }
        return len(self._models)


def due_models(
    survey: CopySurvey, barred: Collection[str], turns: TurnBook | None = None
) -> list[str]:
    """Return the models whose turn it is, who waited longest first.

    :param barred: models that are loaded no more.
    :param turns: those under way.
    """
    under_way = turns.count(survey.replicas) if turns is not None else 0
    if under_way >= max(1, int(TURN_REPLICAS_SHARE * len(survey.replicas))):
        return []
    due = [name for name in survey.engine.models if name not in barred and _is_due(name, survey)]
    return sorted(due, key=lambda name: (-survey.demand(name).unserved_s, name))


def bearable_loss_per_s(unserved_s: float) -> float:
    """Return what a turn may cost beyond what it gains, in calls a second."""
    return TURN_WORTH_PER_S_PER_S * max(0.0, unserved_s - TURN_AFTER_S)


def _is_due(model: str, survey: CopySurvey) -> bool:
    demand = survey.demand(model)
    copies = survey.copies(model)
    if not demand.may_be_retried or copies.total > min(1, copies.ready):
        return False
    limit_s = SECOND_COPY_AFTER_S if copies.ready else TURN_AFTER_S
    return demand.unserved_s >= limit_s
