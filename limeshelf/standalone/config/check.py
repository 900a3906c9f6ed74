"""Checks of a configuration that types alone do not make.

Each check is a function of the document; relies on the registries that it is given.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.errors import Problem
from limeshelf.standalone.config.document import Document, PolicyKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from limeshelf.registry import Registry
    from limeshelf.standalone.config.document import Deployment

#: Marks that item names are built with (:mod:`limeshelf.standalone.config.items`), and so
#: may not be part of a name.
RESERVED_MARKS = '@+:/ '


def check_document(
    document: Document,
    registries: Mapping[PolicyKind, Registry[object]],
    capacity_bytes: int | None = None,
) -> list[Problem]:
    """Return every fault of *document*.

    :param registries: implementations by kind of policy.
    :param capacity_bytes: accelerator memory of all engines, if known.
    """
    problems = _name_problems(document)
    problems += _policy_problems(document, registries)
    problems += _split_problems(document)
    problems += _route_problems(document)
    problems += _deployment_problems(document)
    if capacity_bytes is not None:
        problems += _memory_problems(document, capacity_bytes)
    return problems


def needed_bytes(document: Document) -> int:
    """Return the memory that all deployments and their replicas take."""
    total = 0
    for deployment in document.deployments:
        one = deployment.weights_bytes + deployment.kv_reserve_bytes
        one += sum(adapter.weights_bytes for adapter in deployment.adapters)
        total += one * deployment.min_replicas
    return total


def _duplicates(names: Iterable[str], place: str) -> list[Problem]:
    seen: set[str] = set()
    problems = []
    for name in names:
        if name in seen:
            problems.append(Problem(f'{place}.{name}', 'is given twice'))
        seen.add(name)
    return problems


def _name_problems(document: Document) -> list[Problem]:
    problems = _duplicates((d.name for d in document.deployments), 'deployments')
    problems += _duplicates((p.name for p in document.policies), 'policies')
    problems += _duplicates((r.name for r in document.routes), 'routes')
    problems += _duplicates((s.name for s in document.splits), 'splits')
    problems += _duplicates((b.name for b in document.bindings), 'bindings')
    for deployment in document.deployments:
        problems += _item_name_problems(deployment)
    return problems


def _item_name_problems(deployment: Deployment) -> list[Problem]:
    """Return the faults of the names that the items of *deployment* are built from."""
    place = f'deployments.{deployment.name}'
    adapters = [adapter.name for adapter in deployment.adapters]
    problems = _duplicates(adapters, f'{place}.adapters')
    problems += [
        Problem(place, f'{name!r} is empty or holds one of {RESERVED_MARKS!r}')
        for name in (deployment.name, deployment.version, *adapters)
        if not name or any(mark in name for mark in RESERVED_MARKS)
    ]
    return problems


def _policy_problems(
    document: Document, registries: Mapping[PolicyKind, Registry[object]]
) -> list[Problem]:
    problems = []
    for policy in document.policies:
        known = registries[policy.kind].names()
        if policy.implementation not in known:
            problems.append(
                Problem(
                    f'policies.{policy.name}.implementation',
                    f'unknown; known are {", ".join(known)}',
                )
            )
    return problems


def _split_problems(document: Document) -> list[Problem]:
    kinds = {policy.name: policy.kind for policy in document.policies}
    problems = []
    for binding in document.bindings:
        if kinds.get(binding.policy) is not binding.name:
            problems.append(
                Problem(f'bindings.{binding.name}', f'no such policy: {binding.policy!r}')
            )
    for split in document.splits:
        for name in (split.policy_a, split.policy_b):
            if kinds.get(name) is not split.kind:
                problems.append(
                    Problem(f'splits.{split.name}', f'{name!r} is no {split.kind} policy')
                )
        if not 0 <= split.share_b_ratio <= 1:
            problems.append(
                Problem(f'splits.{split.name}.share_b_ratio', 'must be between 0 and 1')
            )
    return problems


def _route_problems(document: Document) -> list[Problem]:
    problems = []
    for route in document.routes:
        if not route.path_prefix.startswith('/') or route.path_prefix.startswith('/v1/'):
            problems.append(
                Problem(f'routes.{route.name}.path_prefix', 'must start with / and not /v1/')
            )
        if route.timeout_s <= 0:
            problems.append(Problem(f'routes.{route.name}.timeout_s', 'must be above 0'))
    return problems


def _deployment_problems(document: Document) -> list[Problem]:
    kinds = {policy.name: policy.kind for policy in document.policies}
    problems = []
    for deployment in document.deployments:
        place = f'deployments.{deployment.name}'
        if deployment.weights_bytes <= 0 or deployment.kv_reserve_bytes < 0:
            problems.append(Problem(f'{place}.weights_bytes', 'must be above 0 (bytes)'))
        if deployment.min_replicas < 1:
            problems.append(Problem(f'{place}.min_replicas', 'must be at least 1'))
        for kind, name in deployment.policies.items():
            if kinds.get(name) is not kind:
                problems.append(Problem(f'{place}.policies.{kind}', f'no policy {name!r}'))
    return problems


def _memory_problems(document: Document, capacity_bytes: int) -> list[Problem]:
    shortfall_bytes = needed_bytes(document) - capacity_bytes
    if shortfall_bytes <= 0:
        return []
    return [Problem('deployments', f'do not fit: accelerators lack {shortfall_bytes} bytes')]
