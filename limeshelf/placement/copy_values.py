"""What a copy of a model is worth, in calls a second that are served because it is there.

Owns the rule, in three questions: what one more copy gains at a replica, what is lost
with a copy that goes, and whether demand is still too low to judge by. Relies on a survey of
the copies, and for what demand alone decides on :mod:`~limeshelf.placement.model_values`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.placement.model_values import ModelValues

if TYPE_CHECKING:
    from limeshelf.placement.survey import PlacementSnapshot, ReplicaCopies

#: An only copy is lost at this many times its worth if its callers cannot wait for a load.
LATENCY_CRITICAL_FACTOR = 2.0
#: Cost of each running call that an unload waits for, in calls a second. With half of it a
#: copy served only 10 to 16 s after it was ordered.
RUNNING_COST_PER_S = 0.2
#: What a replica gives to a model's first copy at the least, however busy others keep it: a
#: busy replica still serves a model that stands nowhere else.
FIRST_COPY_MIN_SHARE = 0.5
#: A data centre's only copy is worth this many times more: it serves on when the centre is cut
#: off.
ONLY_IN_DATA_CENTRE_FACTOR = 1.2
#: Worth, before any call, of the second copy found of a model; further ones are worth less by
#: the square of their number, so that a model found six times gives up a copy before one found
#: twice.
INITIAL_COPY_VALUE_PER_S = 0.4
INITIAL_VALUE_COPIES = 2


class CopyValues:
    """Judges the copies of one service's models.

    :param first_copies: copies of each model that the leader found at its start; before
        any call they show what is busy.
    :param starved_s: seconds for which each model that is asked for has had no copy.
    :param models: what holds wherever copies stand, if it is worked out already.
    """

    def __init__(
        self,
        snapshot: PlacementSnapshot,
        initial_copies: dict[str, int],
        starved_s: dict[str, float],
        model_values: ModelValues | None = None,
    ) -> None:
        self._snapshot = snapshot
        self._initial_copies = initial_copies
        self._starved_s = starved_s
        self._model_values = model_values or ModelValues(
            snapshot.engine, snapshot.demands, initial_copies, starved_s
        )
        self._losses: dict[str, dict[str, float]] = {}
        #: Whether too little was asked for yet to judge by demand.
        self.is_low_demand = self._model_values.is_low_demand

    def starved_s(self, model: str) -> float:
        """Return for how long a model that is asked for has had no copy, in seconds."""
        return self._starved_s.get(model, 0.0)

    def had_initial_copies(self, model: str) -> bool:
        """Return whether the leader found copies of a model at its start."""
        return bool(self._initial_copies.get(model))

    def idle_gain(self, model: str) -> float:
        """Return what one more copy gains at a replica with nothing else to do.

        A data centre without a copy adds to that; this leaves it out.
        """
        return self._gain(model, 1.0)

    def gain(self, model: str, replica: ReplicaCopies) -> float:
        """Return what one more copy gains at a replica, in calls a second."""
        capacity = self._snapshot.capacity_share(model, replica)
        copies = self._snapshot.copies(model)
        gain = self._gain(model, capacity)
        if not copies.total:
            gain *= FIRST_COPY_MIN_SHARE + (1 - FIRST_COPY_MIN_SHARE) * capacity
        is_only_in_data_centre = replica.data_centre not in copies.by_centre
        return gain * (ONLY_IN_DATA_CENTRE_FACTOR if is_only_in_data_centre else 1.0)

    def _gain(self, model: str, capacity: float) -> float:
        copies = self._snapshot.copies(model)
        if not copies.total:
            return self._model_values.only_copy_per_s(model)
        if self.is_low_demand:
            return self._initial_copy_value(model, copies.total + 1)
        served_now = self._served_per_s(model, copies.capacity)
        redundancy = self._model_values.redundancy_per_s(model) if copies.total == 1 else 0.0
        gain = redundancy + self._served_per_s(model, copies.capacity + capacity) - served_now
        if copies.total > copies.ready:
            # What is refused until the copy on its way is there says nothing of a further one.
            return gain
        return max(gain, capacity * self._snapshot.demand(model).refused_per_s)

    def losses(self, replica: ReplicaCopies) -> dict[str, float]:
        """Return what is lost with each ready copy at a replica, the least first.

        Copies of equal worth stand in the order of their names. Counted once a replica, since
        every model that is planned asks for it at each.
        """
        by_model = self._losses.get(replica.replica_id)
        if by_model is None:
            lost = {name: self.loss(name, replica) for name in replica.ready}
            ordered = sorted(lost, key=lambda name: (lost[name], name))
            by_model = self._losses[replica.replica_id] = {name: lost[name] for name in ordered}
        return by_model

    def min_loss(self, replica: ReplicaCopies) -> float:
        """Return what is lost with the ready copy of least worth at a replica; 0 without any."""
        return next(iter(self.losses(replica).values()), 0.0)

    def loss(self, model: str, replica: ReplicaCopies) -> float:
        """Return what is lost with a ready copy, in calls a second.

        Copies on their way serve nobody yet, so they replace none
        (tests/placement/test_planner.py::test_last_ready_copy_stays).
        """
        if model not in self._snapshot.engine.models:
            return 0.0
        copies = self._snapshot.copies(model)
        running_cost = RUNNING_COST_PER_S * self._snapshot.running_calls(model)
        if copies.ready <= 1:
            factor = 1.0 if self.is_latency_tolerant(model) else LATENCY_CRITICAL_FACTOR
            return running_cost + factor * self._model_values.only_copy_per_s(model)
        if self.is_low_demand:
            return self._initial_copy_value(model, copies.ready)
        remaining = copies.ready_capacity - self._snapshot.capacity_share(model, replica)
        served_now = self._served_per_s(model, copies.ready_capacity)
        lost = served_now - self._served_per_s(model, remaining)
        lost = max(lost, self._snapshot.demand(model).refused_per_s)
        if copies.ready == 2:
            lost += self._model_values.redundancy_per_s(model)
        is_only_in_data_centre = copies.by_centre.get(replica.data_centre, 0) == 1
        return running_cost + lost * (
            ONLY_IN_DATA_CENTRE_FACTOR if is_only_in_data_centre else 1.0
        )

    def _served_per_s(self, model: str, capacity: float) -> float:
        """Return the calls a second that are served with a capacity in replicas."""
        demand = self._snapshot.demand(model)
        if demand.busy_replicas <= 0:
            return 0.0
        return demand.calls_per_s * min(1.0, capacity / demand.busy_replicas)

    def _initial_copy_value(self, model: str, copies: int) -> float:
        """Return what the last of *copies* copies is worth before any call."""
        if copies > self._initial_copies.get(model, 0):
            return 0.0
        return INITIAL_COPY_VALUE_PER_S * INITIAL_VALUE_COPIES**2 / copies**2

    def is_latency_tolerant(self, model: str) -> bool:
        """Return whether calls to a model can wait until it is loaded again."""
        return self._model_values.is_latency_tolerant(model)
