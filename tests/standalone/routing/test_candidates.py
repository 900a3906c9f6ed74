"""Candidates: only the best kind of replica that there is, and none that must not serve."""

from __future__ import annotations

import pytest

from limeshelf.standalone.config.document import PriorityClass
from limeshelf.standalone.membership.upstreams import UpstreamDirectory
from limeshelf.standalone.messages import UpstreamState
from limeshelf.standalone.routing.candidates import engine_candidates, plain_candidates
from limeshelf.standalone.routing.loads import UpstreamLoads
from limeshelf.standalone.services.instances import Listed, ListedKind

STALE_S = 3600.0
#: Engines from the best kind to the worst: data centre, item held, reachable.
ENGINES = {
    'current-near': ('x', 'm@2', True),
    'current-far': ('y', 'm@2', True),
    'older-near': ('x', 'm@1', True),
    'older-far': ('y', 'm@1', True),
    'current-silent': ('x', 'm@2', False),
    'older-silent': ('x', 'm@1', False),
}
NAMES = list(ENGINES)


def directory(names: list[str], kind: ListedKind = ListedKind.ENGINE) -> UpstreamDirectory:
    made = UpstreamDirectory('x', STALE_S)
    made.take_listed([Listed(n, kind, ENGINES[n][0], service='svc') for n in names])
    for name in names:
        _, item_id, reachable = ENGINES[name]
        items = [item_id] if kind is ListedKind.ENGINE else []
        made.take_state(UpstreamState(name, 'boot', 1, reachable, False, 0, items))
    return made


def found(upstreams: UpstreamDirectory, drained: str = '', tried: str = '') -> list[str]:
    candidates = engine_candidates(
        'm@2',
        PriorityClass.NORMAL,
        upstreams,
        UpstreamLoads(),
        frozenset({drained}),
        frozenset({tried}),
    )
    return [candidate.upstream_id for candidate in candidates]


@pytest.mark.parametrize('first', range(len(NAMES)))
def test_best_kind_that_there_is_serves_alone(first: int) -> None:
    assert found(directory(NAMES[first:][::-1])) == [NAMES[first]]


def test_no_candidate_leaves_an_empty_list() -> None:
    assert found(directory([])) == []


def test_drained_tried_and_leaving_replicas_are_left_out() -> None:
    near, far = NAMES[:2]
    assert found(directory([near, far]), drained=near) == [far]
    assert found(directory([near, far]), tried=near) == [far]
    upstreams = directory([near, far])
    upstreams.mark_leaving(near, '')
    assert found(upstreams) == [far]


def test_older_version_is_asked_for_by_its_own_id() -> None:
    upstreams = directory(['older-near'])
    candidates = engine_candidates(
        'm@2', PriorityClass.NORMAL, upstreams, UpstreamLoads(), frozenset()
    )
    assert [candidate.item_id for candidate in candidates] == ['m@1']


def test_plain_service_prefers_near_replicas_that_are_heard_of() -> None:
    names = ['current-near', 'current-far', 'current-silent']
    for first in range(len(names)):
        upstreams = directory(names[first:], ListedKind.PLAIN)
        candidates = plain_candidates('svc', upstreams, UpstreamLoads(), frozenset())
        assert [candidate.upstream_id for candidate in candidates] == [names[first]]
