"""Which names a configuration may not give, case by case."""

from __future__ import annotations

import pytest

from limeshelf.registry import Registry
from limeshelf.standalone.config.check import check_document
from limeshelf.standalone.config.document import Adapter, Deployment, Document, PolicyKind

NO_POLICIES: dict[PolicyKind, Registry[object]] = {kind: Registry(kind) for kind in PolicyKind}


def problems(*deployments: Deployment) -> list[tuple[str, str]]:
    found = check_document(Document(list(deployments)), NO_POLICIES)
    return [(problem.path, problem.message) for problem in found]


def test_good_names_have_no_problem() -> None:
    assert problems(Deployment('m', '1', 10, adapters=[Adapter('a', 1), Adapter('b', 1)])) == []


@pytest.mark.parametrize(
    ('deployment', 'name'),
    [
        (Deployment('m@', '1', 10), 'm@'),
        (Deployment('m', '', 10), ''),
        (Deployment('m', '1+2', 10), '1+2'),
        (Deployment('m', '1', 10, adapters=[Adapter('a:b', 1)]), 'a:b'),
    ],
    ids=['model', 'version-empty', 'version', 'adapter'],
)
def test_name_that_breaks_item_ids_is_refused(deployment: Deployment, name: str) -> None:
    path = f'deployments.{deployment.name}'
    assert problems(deployment) == [(path, f"{name!r} is empty or holds one of '@+:/ '")]


def test_names_given_twice_are_refused() -> None:
    twice = Deployment('m', '1', 10, adapters=[Adapter('a', 1), Adapter('a', 1)])
    assert problems(twice, Deployment('m', '2', 10)) == [
        ('deployments.m', 'is given twice'),
        ('deployments.m.adapters.a', 'is given twice'),
    ]
