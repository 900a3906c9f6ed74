"""An engine service, its replicas and demand for the placement tests."""

from __future__ import annotations

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement.snapshot import ReplicaView

SIZES = {'big': 70.0, 'hot': 70.0, 'small': 40.0, 'rare': 40.0, 'other': 60.0}
CAPACITY_MB = 160.0


def engine() -> EngineSpec:
    models = {
        name: ModelSpec(name, size, 5.0, 1.0, frozenset(), 1.0) for name, size in SIZES.items()
    }
    return EngineSpec(8, 10000, CAPACITY_MB, 4, 2.0, models)


def replica(name: str, *models: str, is_idle: bool = True, data_centre: str = 'c1') -> ReplicaView:
    return ReplicaView(name, set(models), set(), is_idle, data_centre)


def busy(calls_per_s: float, replicas: float = 0.0) -> ModelDemand:
    """Return the demand of that many calls, which keep that many replicas busy."""
    return ModelDemand(
        calls_per_s=calls_per_s,
        long_term_calls_per_s=calls_per_s,
        busy_replicas=replicas or calls_per_s / 10,
        running=calls_per_s / 2,
        objective_s=1.0,
    )


def rare_calls(calls_per_s: float = 0.3, call_waits: bool = False) -> ModelDemand:
    """Return the demand of few calls that can wait for a load."""
    return ModelDemand(
        calls_per_s=calls_per_s,
        long_term_calls_per_s=calls_per_s,
        busy_replicas=0.03,
        recently_missing=call_waits,
        objective_s=6.0,
    )
