"""What demand alone decides of a model's worth, wherever its copies stand.

Owns these parts of the worth of copies (:mod:`~limeshelf.placement.copy_values`), each worked out
once for all the moves of a round. Relies on the demand for each model.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.demand.model_demand import NO_DEMAND

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec
    from limeshelf.demand.model_demand import ModelDemand

#: Worth of the only copy of a model in calls a second, whoever asks for it, so that every model
#: stays reachable.
ONLY_COPY_VALUE_PER_S = 0.6
#: The same, this many times over, before any call is seen, of a model that was found with a copy.
LOW_DEMAND_ONLY_COPY_FACTOR = 2
#: The calls of a model without another copy count this much.
ONLY_COPY_CALLS_FACTOR = 2.0
#: Most that calls of the longer average add to the worth of an only copy.
LASTING_LIMIT_PER_S = 0.5
#: Added, in calls a second, while calls wait for a copy.
WAITING_VALUE_PER_S = 1.0
#: Added, in calls a second, for each second for which a model that is asked for has had no
#: copy, up to the limit (tests/placement/test_planner.py::
#: test_starved_model_is_eventually_loaded).
STARVED_VALUE_PER_S_PER_S = 0.15
STARVED_LIMIT_PER_S = 3.0
#: A model whose callers cannot wait counts as asked for by this share of the mean calls a
#: second of all such models, however few ask for it now: demand moves among them, and until a
#: load is done all calls to the one it moves to are refused.
EXPECTED_SHARE = 0.3
#: The same at the most. Where few models take most calls, a share of the mean would be more than
#: most are asked for, and copies that nobody asks for would take all places.
EXPECTED_LIMIT_PER_S = 1.5
#: A second copy is worth this share of a model's calls at the least, because replicas and
#: data centres are lost: with the only copy of the busiest model behind a cut, 220 calls were
#: refused until another one was loaded. At the most it is worth less than a model that calls
#: wait for.
REDUNDANCY_SHARE = 0.15
REDUNDANCY_LIMIT_PER_S = 1.5
#: Callers can wait for a load if their objective is at least this many times the load from the
#: machine's memory. Otherwise models that rise next would be unloaded for an overloaded one.
WARM_LOADS_PER_OBJECTIVE = 2.5
#: Calls a second, over all models, below which the copies found at the start show what is busy.
LOW_DEMAND_CALLS_PER_S = 3.0


class ModelValues:
    """Judges the models of one service by the demand for them.

    :param demands: by model; a model that is not in it has none.
    :param first_copies: copies of each model that the leader found at its start.
    :param starved_s: seconds for which each model that is asked for has had no copy.
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
        #: Whether too little was asked for yet to judge by demand.
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

        Of a model that nobody has asked for yet, the copies found at the start decide: what
        stood there is likely asked for by callers who cannot wait.
        """
        return self._latency_tolerant[model]

    def only_copy_per_s(self, model: str) -> float:
        """Return what the only copy of a model is worth, in calls a second."""
        return self._only_copy_per_s[model]

    def redundancy_per_s(self, model: str) -> float:
        """Return what a second copy is worth should the first be lost, in calls a second."""
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
        """Return what a model whose callers cannot wait counts as asked for at the least."""
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
            min(demand.lasting_calls_per_s, LASTING_LIMIT_PER_S),
        )
        if not self._latency_tolerant[model]:
            calls_per_s = max(calls_per_s, self._expected_per_s)
        value = ONLY_COPY_VALUE_PER_S + ONLY_COPY_CALLS_FACTOR * calls_per_s
        starved = STARVED_VALUE_PER_S_PER_S * self._starved_s.get(model, 0.0)
        waiting = WAITING_VALUE_PER_S if demand.is_waiting else 0.0
        return value + min(STARVED_LIMIT_PER_S, starved) + waiting

    def _compute_redundancy_per_s(self, model: str) -> float:
        if self._latency_tolerant[model]:
            return 0.0
        calls_per_s = self._demand(model).calls_per_s
        return min(REDUNDANCY_LIMIT_PER_S, REDUNDANCY_SHARE * calls_per_s)
