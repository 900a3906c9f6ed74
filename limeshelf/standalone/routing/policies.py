"""Routing policies: which of several ready replicas serves a request.

Owns the registry of routing policies. Relies on the candidates' estimates; a policy
never sees a replica that may not serve the request.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Protocol

import attrs

from limeshelf.registry import Registry
from limeshelf.standalone.membership.rendezvous import rank

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import Policy
    from limeshelf.standalone.routing.candidates import Candidate


#: Load that a replica may carry above the mean for its prefixes, where the configuration names
#: none.
DEFAULT_BOUND_RATIO = 0.25


@attrs.frozen
class RouteQuestion:
    """What a routing policy knows of a request.

    :param prefix_key: digest of the prompt's beginning; equal prompts share a
        prefix cache entry.
    """

    item_id: str
    prefix_key: str


class RoutingPolicy(Protocol):
    """Chooses a replica."""

    @classmethod
    def from_config(cls, policy: Policy) -> RoutingPolicy:
        """Build the policy with the numbers of *policy*."""
        ...

    def choose(self, question: RouteQuestion, candidates: list[Candidate]) -> Candidate:
        """Return one of *candidates*, which are never empty."""
        ...


routing_policies: Registry[RoutingPolicy] = Registry('routing policy')


@routing_policies.register('round-robin')
@attrs.define
class RoundRobin:
    """Take the replicas in turn."""

    _turn: int = 0

    @classmethod
    def from_config(cls, policy: Policy) -> RoundRobin:
        """Build the policy; it has no numbers."""
        return cls()

    def choose(self, question: RouteQuestion, candidates: list[Candidate]) -> Candidate:
        """Return the next replica."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@routing_policies.register('least-connections')
@attrs.define
class LeastConnections:
    """Take the replica with the fewest requests in work."""

    @classmethod
    def from_config(cls, policy: Policy) -> LeastConnections:
        """Build the policy; it has no numbers."""
        return cls()

    def choose(self, question: RouteQuestion, candidates: list[Candidate]) -> Candidate:
        """Return the least busy replica; ties are broken at random."""
        return min(candidates, key=lambda c: (c.running, random.random()))


@routing_policies.register('first-token-estimate')
@attrs.define
class FirstTokenEstimate:
    """Take the replica with the shortest estimated time to the first token."""

    @classmethod
    def from_config(cls, policy: Policy) -> FirstTokenEstimate:
        """Build the policy; it has no numbers."""
        return cls()

    def choose(self, question: RouteQuestion, candidates: list[Candidate]) -> Candidate:
        """Return the quickest replica; ties are broken at random."""
        return min(candidates, key=lambda c: (c.estimate_s, c.running, random.random()))


@routing_policies.register('prefix-affinity')
@attrs.define
class PrefixAffinity:
    """Keep equal prompt beginnings on one replica, up to a bound of its load.

    :param bound_ratio: a replica may carry this share above the mean load
        before the next one in its order is taken.
    """

    bound_ratio: float

    @classmethod
    def from_config(cls, policy: Policy) -> PrefixAffinity:
        """Build the policy; number ``bound_ratio``."""
        return cls(policy.number('bound_ratio', DEFAULT_BOUND_RATIO))

    def choose(self, question: RouteQuestion, candidates: list[Candidate]) -> Candidate:
        """Return the first replica in the prefix's order that is below the bound."""
        by_id = {candidate.upstream_id: candidate for candidate in candidates}
        mean = sum(c.running for c in candidates) / len(candidates)
        bound = (mean + 1.0) * (1.0 + self.bound_ratio)
        for upstream_id in rank(question.prefix_key, by_id):
            if by_id[upstream_id].running + 1.0 <= bound:
                return by_id[upstream_id]
        return min(candidates, key=lambda c: c.running)
