"""A document indexed for the questions that requests and placers ask.

Immutable: a request keeps one catalog from its start to its end. Relies on the document
alone; :mod:`limeshelf.standalone.config.holder` holds the one in force.
"""

from __future__ import annotations

import attrs

from limeshelf.standalone.config.document import (
    Deployment,
    Document,
    PlainRoute,
    Policy,
    PolicyKind,
    Split,
)
from limeshelf.standalone.config.items import Item, items_of

#: Separates a model from one of its adapters in the caller's ``model`` field.
ADAPTER_SEPARATOR = ':'

#: Policies in force where a deployment names none.
DEFAULT_IMPLEMENTATIONS = {
    PolicyKind.PLACEMENT: 'spread',
    PolicyKind.ADMISSION: 'estimate',
    PolicyKind.PRIORITY: 'class-rank',
    PolicyKind.ROUTING: 'first-token-estimate',
}


@attrs.frozen
class Target:
    """What a caller's ``model`` field names."""

    deployment: Deployment
    item: Item


@attrs.frozen
class Catalog:
    """One revision, ready to be asked."""

    revision: int
    document: Document
    items: dict[str, Item]
    targets: dict[str, Target]
    policies: dict[str, Policy]
    splits: dict[PolicyKind, Split]
    bindings: dict[PolicyKind, str]
    routes: list[PlainRoute]
    drained: frozenset[str]

    @classmethod
    def from_document(cls, revision: int, document: Document) -> Catalog:
        """Build the indexes of *document*."""
        targets: dict[str, Target] = {}
        for deployment in document.deployments:
            base, *adapters = items_of(deployment)
            targets[deployment.name] = Target(deployment, base)
            for adapter, item in zip(deployment.adapters, adapters, strict=True):
                name = f'{deployment.name}{ADAPTER_SEPARATOR}{adapter.name}'
                targets[name] = Target(deployment, item)
        return cls(
            revision=revision,
            document=document,
            items={target.item.item_id: target.item for target in targets.values()},
            targets=targets,
            policies={policy.name: policy for policy in document.policies},
            splits={split.kind: split for split in document.splits},
            bindings={binding.name: binding.policy for binding in document.bindings},
            routes=sorted(document.routes, key=lambda r: len(r.path_prefix), reverse=True),
            drained=frozenset(document.drained_upstreams),
        )

    def route_for(self, path: str) -> PlainRoute | None:
        """Return the route with the longest prefix of *path*."""
        for route in self.routes:
            prefix = route.path_prefix.rstrip('/')
            if path == prefix or path.startswith(prefix + '/'):
                return route
        return None

    def policy_for(
        self, kind: PolicyKind, deployment: Deployment | None, position: float
    ) -> Policy:
        """Return the policy that decides.

        :param position: where the request falls, from 0 to 1; a split gives
            the positions below its share to policy B.
        """
        split = self.splits.get(kind)
        if split is not None:
            name = split.policy_b if position < split.share_b_ratio else split.policy_a
            return self.policies[name]
        if deployment is not None and kind in deployment.policies:
            return self.policies[deployment.policies[kind]]
        if kind in self.bindings:
            return self.policies[self.bindings[kind]]
        default = DEFAULT_IMPLEMENTATIONS[kind]
        return self.policies.get(default) or Policy(default, kind, default)
