"""The sets of policies that an experiment sets side by side: its "systems".

Owns the names, which are those of plans and tables (docs/design/experiments.rst). Relies on
the registries of the policies.
"""

from __future__ import annotations

import attrs

from limeshelf.standalone.config.document import Binding, Policy, PolicyKind


@attrs.frozen
class PolicySet:
    """A set of policies.

    :param unlimited_memory: every engine holds everything from the start. No
        placement can do better, whatever it knows of the demand, so this is
        the upper bound.
    """

    name: str
    placement: Policy
    admission: Policy
    priority: Policy
    routing: Policy
    unlimited_memory: bool = False

    @property
    def policies(self) -> list[Policy]:
        """Return the four policies."""
        return [self.placement, self.admission, self.priority, self.routing]

    @property
    def bindings(self) -> list[Binding]:
        """Return what puts them in force."""
        return [Binding(policy.kind, policy.name) for policy in self.policies]


def _policy(kind: PolicyKind, implementation: str) -> Policy:
    return Policy(f'{kind}-{implementation}', kind, implementation)


def make_policy_set(
    name: str,
    placement: str,
    admission: str,
    priority: str,
    routing: str,
    unlimited_memory: bool = False,
) -> PolicySet:
    """Return a system of the named implementations."""
    return PolicySet(
        name,
        _policy(PolicyKind.PLACEMENT, placement),
        _policy(PolicyKind.ADMISSION, admission),
        _policy(PolicyKind.PRIORITY, priority),
        _policy(PolicyKind.ROUTING, routing),
        unlimited_memory,
    )


STATIC = make_policy_set('static', 'static', 'always', 'flat', 'least-connections')
NAIVE = make_policy_set('naive-swap', 'least-recently-used', 'always', 'flat', 'least-connections')
OURS = make_policy_set('ours', 'spread', 'estimate', 'class-rank', 'first-token-estimate')
FEWER_MOVES = make_policy_set(
    'ours-few-moves', 'spread-few-moves', 'estimate', 'class-rank', 'first-token-estimate'
)
BOUND = make_policy_set(
    'bound', 'static', 'estimate', 'class-rank', 'first-token-estimate', unlimited_memory=True
)
SYSTEMS = {system.name: system for system in (STATIC, NAIVE, OURS, FEWER_MOVES, BOUND)}
