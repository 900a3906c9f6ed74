"""Policy objects made from the catalog, kept until their configuration changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limeshelf.standalone.admission.policies import AdmissionPolicy, admission_policies
from limeshelf.standalone.admission.priorities import PriorityPolicy, priority_policies
from limeshelf.standalone.routing.policies import RoutingPolicy, routing_policies

if TYPE_CHECKING:
    from limeshelf.registry import Registry
    from limeshelf.standalone.config.document import Policy


class PolicyShelf:
    """Gives the object of a policy; one that changed is made anew."""

    def __init__(self) -> None:
        self._made: dict[str, tuple[Policy, Any]] = {}

    def admission(self, policy: Policy) -> AdmissionPolicy:
        """Return the admission policy."""
        made: AdmissionPolicy = self._get(policy, admission_policies)
        return made

    def priority(self, policy: Policy) -> PriorityPolicy:
        """Return the priority policy."""
        made: PriorityPolicy = self._get(policy, priority_policies)
        return made

    def routing(self, policy: Policy) -> RoutingPolicy:
        """Return the routing policy."""
        made: RoutingPolicy = self._get(policy, routing_policies)
        return made

    def _get(self, policy: Policy, registry: Registry[Any]) -> Any:
        kept = self._made.get(policy.name)
        if kept is not None and kept[0] == policy:
            return kept[1]
        made = registry.get(policy.implementation).from_config(policy)
        self._made[policy.name] = (policy, made)
        return made
