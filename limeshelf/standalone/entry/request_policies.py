"""Which policies decide a model request, and the objects that they stand for.

Owns one object for each policy in force, since some learn while they decide. Relies
on the catalog for bindings and splits, and on the registries for implementations.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.standalone.admission.policies import AdmissionPolicy, admission_policies
from limeshelf.standalone.admission.priorities import PriorityPolicy, priority_policies
from limeshelf.standalone.config.document import PolicyKind
from limeshelf.standalone.routing.policies import RoutingPolicy, routing_policies

if TYPE_CHECKING:
    from limeshelf.registry import Registry
    from limeshelf.standalone.config.catalog import Catalog
    from limeshelf.standalone.config.document import Deployment, Policy

#: Values of a CRC-32: request ids fall evenly on a split by it.
HASH_SPAN = 1 << 32


@attrs.frozen
class RequestPolicies:
    """The policies that decide one request, fixed when it arrives."""

    admission: Policy
    routing: Policy
    priority: Policy

    @classmethod
    def choose(cls, catalog: Catalog, deployment: Deployment, request_id: str) -> RequestPolicies:
        """Return the policies in force; where a split is, the request id decides."""
        position = zlib.crc32(request_id.encode()) / HASH_SPAN
        return cls(
            admission=catalog.policy_for(PolicyKind.ADMISSION, deployment, position),
            routing=catalog.policy_for(PolicyKind.ROUTING, deployment, position),
            priority=catalog.policy_for(PolicyKind.PRIORITY, deployment, position),
        )

    def all(self) -> list[Policy]:
        """Return the policies whose samples the request counts for."""
        return [self.admission, self.routing, self.priority]


class PolicyCache:
    """Gives the object of a policy; one whose configuration changed is made anew."""

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
