"""Policies of a request: bound when it arrives, and learned by one object each."""

from __future__ import annotations

import attrs

from limeshelf.standalone.config.catalog import Catalog
from limeshelf.standalone.config.document import Deployment, Document, Policy, PolicyKind, Split
from limeshelf.standalone.entry.request_policies import PolicyCache, RequestPolicies

ROUND_ROBIN = Policy('turns', PolicyKind.ROUTING, 'round-robin')
DEPLOYMENT = Deployment('m', '1', 1)
REQUESTS = 400


def split_catalog(share_b_ratio: float) -> Catalog:
    policies = [attrs.evolve(ROUND_ROBIN, name=name) for name in 'ab']
    split = Split('s', PolicyKind.ROUTING, 'a', 'b', share_b_ratio)
    return Catalog.from_document(1, Document([DEPLOYMENT], policies, splits=[split]))


def chosen_names(catalog: Catalog) -> list[str]:
    ids = (f'req-{number}' for number in range(REQUESTS))
    return [RequestPolicies.choose(catalog, DEPLOYMENT, each).routing.name for each in ids]


def test_request_id_decides_on_which_side_of_a_split_a_request_falls() -> None:
    names = chosen_names(split_catalog(0.25))
    assert names == chosen_names(split_catalog(0.25))
    assert 0.15 * REQUESTS < names.count('b') < 0.35 * REQUESTS


def test_share_of_one_side_can_be_all_or_nothing() -> None:
    assert set(chosen_names(split_catalog(0.0))) == {'a'}
    assert set(chosen_names(split_catalog(1.0))) == {'b'}


def test_defaults_decide_where_nothing_is_bound() -> None:
    catalog = Catalog.from_document(1, Document([DEPLOYMENT]))
    policies = RequestPolicies.choose(catalog, DEPLOYMENT, 'req-1').all()
    assert [policy.name for policy in policies] == [
        'estimate',
        'first-token-estimate',
        'class-rank',
    ]


def test_object_of_a_policy_stays_until_its_configuration_changes() -> None:
    cache = PolicyCache()
    first = cache.routing(ROUND_ROBIN)
    assert cache.routing(attrs.evolve(ROUND_ROBIN)) is first
    changed = attrs.evolve(ROUND_ROBIN, implementation='least-connections')
    assert cache.routing(changed) is not first
    assert type(cache.routing(changed)) is not type(first)
