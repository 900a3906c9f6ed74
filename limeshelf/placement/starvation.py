"""Tracks for how long requested models have had no copy.

Keeps when this process last saw each model held or loading. How long a model has gone unserved
comes from the demand, which every process that may become leader receives, so a new leader
continues with its predecessor's waiting times.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.demand.model_demand import ModelDemand
    from limeshelf.placement.snapshot import ReplicaView


class StarvationTracker:
    """Tracks when each model was last held or loading."""

    def __init__(self) -> None:
        self._last_placed_s: dict[tuple[str, str], float] = {}

    def track(
        self, service: str, demands: dict[str, ModelDemand], replicas: list[ReplicaView]
    ) -> dict[str, float]:
        """Return the seconds for which each starved model of a service has had no copy.

        A model stays starved without further calls for as long as it counts as unserved.
        """
        now_s = boottime_s()
        placed = {model for replica in replicas for model in replica.ready | replica.loading}
        self._last_placed_s.update(((service, model), now_s) for model in placed)
        starved_s = {}
        for model, demand in demands.items():
            if model not in placed and demand.unserved_s > 0:
                placed_s = self._last_placed_s.get((service, model), 0.0)
                starved_s[model] = min(demand.unserved_s, now_s - placed_s)
        return starved_s
