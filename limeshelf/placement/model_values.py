"""The parts of a copy's value that depend only on demand, not on where the copies are.

They are computed once for all moves of a round; :mod:`~limeshelf.placement.copy_values` builds on
them. A model is latency-tolerant if its calls can wait for a load, and latency-critical otherwise.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.demand.model_demand import NO_DEMAND

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec
    from limeshelf.demand.model_demand import ModelDemand

#: Value of the only copy of any model, in calls per second, so that every model stays reachable.
ONLY_COPY_VALUE_PER_S = 0.6
#: Factor on that value before any call arrives, for a model that had an initial copy.
LOW_DEMAND_ONLY_COPY_FACTOR = 2
#: Weight of a model's calls per second in the value of its only copy.
ONLY_COPY_CALLS_FACTOR = 2.0
#: Upper limit of the long-term call rate in the value of an only copy.
LONG_TERM_LIMIT_PER_S = 0.5
#: Added, in calls per second, while calls wait for a copy.
WAITING_VALUE_PER_S = 1.0
#: Added, in calls per second, for each second for which a requested model has had no copy, up to
#: the limit (tests/placement/test_planner.py::test_starved_model_is_eventually_loaded).
STARVED_VALUE_PER_S_PER_S = 0.15
STARVED_LIMIT_PER_S = 3.0
#: A latency-critical model counts as having at least this share of the mean call rate of all such
#: models, however few calls it gets now: demand moves among them, and all calls to a model without
#: a copy are refused until a load is done.
EXPECTED_SHARE = 0.3
#: Upper limit of that rate. Where few models get most of the calls, a share of the mean would
#: exceed the demand for most models, and copies without calls would fill all replicas.
EXPECTED_LIMIT_PER_S = 1.5
#: The value of a second copy is at least this share of a model's calls, because replicas and data
#: centres fail: when the only copy of the busiest model was cut off, 220 calls were refused
#: until another one was loaded. The limit keeps it below the value of a model that calls wait for.
REDUNDANCY_SHARE = 0.15
REDUNDANCY_LIMIT_PER_S = 1.5
#: Calls can wait for a load if their latency objective is at least this many times the load time
#: from the machine's memory. With a lower ratio, models whose demand rises next would be unloaded
#: for an overloaded one.
WARM_LOADS_PER_OBJECTIVE = 2.5
#: Calls per second, over all models, below which the initial copies show which models are busy.
LOW_DEMAND_CALLS_PER_S = 3.0


class ModelValues:
    """Computes the demand-based values of one service's models.

    :param demands: by model; a missing model has no demand.
    :param initial_copies: copies of each model when the leader first saw the replicas.
    :param starved_s: seconds for which each requested model has had no copy.
    """

    def __init__(
        self,
        engine: EngineSpec,
        demands: dict[str, ModelDemand],
        initial_copies: dict[str, int],
        starved_s: dict[str, float],
    ) -> None:
        self._engine = engine
        self._demands = demands
        self._initial_copies = initial_copies
        self._starved_s = starved_s
        calls_per_s = sum(demand.calls_per_s for demand in demands.values())
        #: Whether demand is still too low to compute values from.
        self.is_low_demand = calls_per_s < LOW_DEMAND_CALLS_PER_S
        self._latency_tolerant = {
            name: self._compute_latency_tolerant(name) for name in engine.models
        }
        self._expected_per_s = self._compute_expected_per_s()
        self._only_copy_per_s = {
            name: self._compute_only_copy_per_s(name) for name in engine.models
        }
        self._redundancy_per_s = {
            name: self._compute_redundancy_per_s(name) for name in engine.models
        }

    def is_latency_tolerant(self, model: str) -> bool:
        """Return whether calls to a model can wait until it is loaded again.

        Before a model's first call, its initial copies decide: a model that had one is likely to
        get latency-critical calls.
        """
        return self._latency_tolerant[model]

    def only_copy_per_s(self, model: str) -> float:
        """Return the value of a model's only copy, in calls per second."""
        return self._only_copy_per_s[model]

    def redundancy_per_s(self, model: str) -> float:
        """Return the value of a second copy as a stand-by for the first, in calls per second."""
        return self._redundancy_per_s[model]

    def _demand(self, model: str) -> ModelDemand:
        return self._demands.get(model, NO_DEMAND)

    def _compute_latency_tolerant(self, model: str) -> bool:
        objective_s = self._demand(model).objective_s
        if not objective_s:
            return not self._initial_copies.get(model)
        warm_load_s = self._engine.models[model].warm_load_s
        return objective_s >= WARM_LOADS_PER_OBJECTIVE * warm_load_s

    def _compute_expected_per_s(self) -> float:
        """Return the minimum call rate that a latency-critical model counts as having."""
        critical_rates = [
            self._demand(model).calls_per_s
            for model, is_tolerant in self._latency_tolerant.items()
            if not is_tolerant
        ]
        return min(
            EXPECTED_LIMIT_PER_S,
            EXPECTED_SHARE * sum(critical_rates) / max(1, len(critical_rates)),
        )

    def _compute_only_copy_per_s(self, model: str) -> float:
        if self.is_low_demand:
            factor = LOW_DEMAND_ONLY_COPY_FACTOR if self._initial_copies.get(model) else 1
            return factor * ONLY_COPY_VALUE_PER_S
        demand = self._demand(model)
        calls_per_s = max(
            demand.calls_per_s / max(1.0, demand.busy_replicas),
            min(demand.long_term_calls_per_s, LONG_TERM_LIMIT_PER_S),
        )
        if not self._latency_tolerant[model]:
            calls_per_s = max(calls_per_s, self._expected_per_s)
        value = ONLY_COPY_VALUE_PER_S + ONLY_COPY_CALLS_FACTOR * calls_per_s
        starved = STARVED_VALUE_PER_S_PER_S * self._starved_s.get(model, 0.0)
        waiting = WAITING_VALUE_PER_S if demand.recently_missing else 0.0
        return value + min(STARVED_LIMIT_PER_S, starved) + waiting

    def _compute_redundancy_per_s(self, model: str) -> float:
        if self._latency_tolerant[model]:
            return 0.0
        calls_per_s = self._demand(model).calls_per_s
        return min(REDUNDANCY_LIMIT_PER_S, REDUNDANCY_SHARE * calls_per_s)
