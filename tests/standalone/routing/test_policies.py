"""Routing policies on candidates made by hand."""

from __future__ import annotations

import pytest

from limeshelf.errors import UnknownName
from limeshelf.standalone.membership.upstreams import Upstream
from limeshelf.standalone.routing.candidates import Candidate
from limeshelf.standalone.routing.policies import RouteQuestion, routing_policies
from limeshelf.standalone.services.instances import Listed, ListedKind
from tests.support.policies import policy_of


def candidate(name: str, running: float = 0.0, estimate_s: float = 0.0) -> Candidate:
    return Candidate(Upstream(Listed(name, ListedKind.ENGINE, 'x')), 'm@1', running, estimate_s)


@pytest.mark.parametrize('name', routing_policies.names())
def test_every_policy_chooses_one_of_the_candidates(name: str) -> None:
    candidates = [candidate('u0', 3.0, 0.3), candidate('u1', 1.0, 0.1)]
    chosen = policy_of(routing_policies, name).choose(RouteQuestion('m@1', 'p'), candidates)
    assert chosen in candidates


def test_estimate_and_connections_take_the_least() -> None:
    candidates = [candidate('u0', 1.0, 0.3), candidate('u1', 3.0, 0.1)]
    asked = RouteQuestion('m@1', 'p')
    least = policy_of(routing_policies, 'least-connections').choose(asked, candidates)
    quickest = policy_of(routing_policies, 'first-token-estimate').choose(asked, candidates)
    assert (least.upstream_id, quickest.upstream_id) == ('u0', 'u1')


def test_prefix_stays_where_it_is_up_to_the_bound() -> None:
    policy = policy_of(routing_policies, 'prefix-affinity', bound_ratio=0.25)
    idle = [candidate(f'u{n}') for n in range(4)]
    home = policy.choose(RouteQuestion('m@1', 'p'), idle).upstream_id
    assert policy.choose(RouteQuestion('m@1', 'p'), idle[::-1]).upstream_id == home
    busy = [candidate(c.upstream_id, 20.0 if c.upstream_id == home else 1.0) for c in idle]
    assert policy.choose(RouteQuestion('m@1', 'p'), busy).upstream_id != home


def test_unknown_name_says_what_is_known() -> None:
    with pytest.raises(UnknownName) as caught:
        routing_policies.get('nearest')
    assert 'round-robin' in caught.value.known
