"""The value of a model copy, in calls per second that are served because it exists.

Answers three questions: what one more copy on a replica gains, what is lost with a copy that is
evicted, and whether demand is still too low to compute values from. Values that do not
depend on where copies are come from :mod:`~limeshelf.placement.model_values`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.placement.model_values import ModelValues

if TYPE_CHECKING:
    from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView

#: Loss factor of a model's only copy if its calls cannot wait for a load.
LATENCY_CRITICAL_FACTOR = 2.0
#: Cost of each running call that an unload waits for, in calls per second. With half of it, a copy
#: was ready only 10 to 16 s after it was ordered.
RUNNING_COST_PER_S = 0.2
#: Minimum share of its value that a model's first copy has on a busy replica: a busy replica still
#: serves a model that no other replica holds.
FIRST_COPY_MIN_SHARE = 0.5
#: Value factor of the only copy in a data centre: it keeps serving when the data centre is cut
#: off.
ONLY_IN_DATA_CENTRE_FACTOR = 1.2
#: Value of a model's second initial copy before any call arrives. The value of further ones falls
#: with the square of their number, so that a model with six initial copies gives up one before a
#: model with two.
INITIAL_COPY_VALUE_PER_S = 0.4
INITIAL_VALUE_COPIES = 2


class CopyValues:
    """Computes the value of the copies of one service's models.

    The gain of a copy is the calls per second that are served only if it is loaded; the loss of a
    copy is the calls per second that are no longer served once it is evicted.

    :param initial_copies: copies of each model when the leader first saw the replicas; an
        indication of which models are busy before any call arrives.
    :param starved_s: seconds for which each requested model has had no copy.
    :param model_values: the values that do not depend on where copies are, if already computed.
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
        #: Whether demand is still too low to compute values from.
        self.is_low_demand = self._model_values.is_low_demand

    def starved_s(self, model: str) -> float:
        """Return the seconds for which a requested model has had no copy."""
        return self._starved_s.get(model, 0.0)

    def had_initial_copies(self, model: str) -> bool:
        """Return whether a replica held the model when the leader first saw it."""
        return bool(self._initial_copies.get(model))

    def idle_gain(self, model: str) -> float:
        """Return what one more copy gains on a replica that serves nothing else.

        The factor for a data centre without a copy is not included.
        """
        return self._gain(model, 1.0)

    def gain(self, model: str, replica: ReplicaView) -> float:
        """Return what one more copy on a replica gains, in calls per second."""
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
            # Calls that are refused until the copy being loaded is ready do not show a need for
            # another one.
            return gain
        return max(gain, capacity * self._snapshot.demand(model).refused_per_s)

    def losses(self, replica: ReplicaView) -> dict[str, float]:
        """Return the loss for each ready copy on a replica, in ascending order.

        Copies with the same loss are ordered by name. Cached per replica, since every planned
        model asks for the losses on every replica.
        """
        by_model = self._losses.get(replica.replica_id)
        if by_model is None:
            lost = {name: self.loss(name, replica) for name in replica.ready}
            ordered = sorted(lost, key=lambda name: (lost[name], name))
            by_model = self._losses[replica.replica_id] = {name: lost[name] for name in ordered}
        return by_model

    def min_loss(self, replica: ReplicaView) -> float:
        """Return the loss for the least valuable ready copy on a replica; 0 if it has none."""
        return next(iter(self.losses(replica).values()), 0.0)

    def loss(self, model: str, replica: ReplicaView) -> float:
        """Return what is lost when a ready copy is evicted, in calls per second.

        Copies that are still loading serve no calls yet, so they do not replace a ready one
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
        """Return the calls per second that a capacity, in replicas, can serve."""
        demand = self._snapshot.demand(model)
        if demand.busy_replicas <= 0:
            return 0.0
        return demand.calls_per_s * min(1.0, capacity / demand.busy_replicas)

    def _initial_copy_value(self, model: str, copies: int) -> float:
        """Return the value of the last of *copies* copies before any call arrives."""
        if copies > self._initial_copies.get(model, 0):
            return 0.0
        return INITIAL_COPY_VALUE_PER_S * INITIAL_VALUE_COPIES**2 / copies**2

    def is_latency_tolerant(self, model: str) -> bool:
        """Return whether calls to a model can wait until it is loaded again."""
        return self._model_values.is_latency_tolerant(model)
