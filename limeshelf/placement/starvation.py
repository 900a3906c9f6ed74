"""For how long models that are asked for have had no copy.

Owns the times since which they have none, for as long as this process leads. Relies on the
demand for each model and on the planner's view of the replicas.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.demand.model_demand import ModelDemand
    from limeshelf.placement.survey import ReplicaCopies


class Starvation:
    """Notes when each model lost its last copy or was first asked for without one."""

    def __init__(self) -> None:
        self._since_s: dict[tuple[str, str], float] = {}

    def step(
        self, service: str, demands: dict[str, ModelDemand], replicas: list[ReplicaCopies]
    ) -> dict[str, float]:
        """Return for how many seconds each starved model of a service has had no copy.

        A model stays starved without further calls until a copy is on its way.
        """
        now_s = boottime_s()
        placed = {model for replica in replicas for model in replica.ready | replica.loading}
        starved_s = {}
        for model, demand in demands.items():
            key = (service, model)
            if model in placed:
                self._since_s.pop(key, None)
            elif demand.is_waiting or key in self._since_s:
                since_s = self._since_s.setdefault(key, now_s)
                starved_s[model] = now_s - since_s
        return starved_s
