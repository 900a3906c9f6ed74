"""Creates policies from a registry and numeric parameters, as the entry does."""

from __future__ import annotations

from typing import Any

from limeshelf.registry import Registry
from limeshelf.standalone.config.document import NumberParameter, Policy, PolicyKind


def policy_of(registry: Registry, name: str, **numbers: float) -> Any:
    """Return the policy registered as *name*, with *numbers* as its parameters."""
    parameters = [NumberParameter(key, value) for key, value in numbers.items()]
    policy = Policy(name, PolicyKind.ROUTING, name, parameters)
    return registry.get(name).from_config(policy)
