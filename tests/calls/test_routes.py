"""Matching of calls to routes, and the rules of a route."""

from __future__ import annotations

import pytest

from limeshelf.calls.call import CallKind
from limeshelf.calls.routes import ClientLimits, ServingConfig, WeightedService
from tests.support.routes import make_route


def make_config(*prefixes: str, host: str = 'Calls.example') -> ServingConfig:
    routes = tuple(make_route(name=prefix, path_prefix=prefix, host=host) for prefix in prefixes)
    return ServingConfig(1, routes, {}, ClientLimits(4096, 10000, 3.0, 15.0))


@pytest.mark.parametrize(
    ('path', 'name'), [('/a/b/c', '/a/b/'), ('/a/x', '/a/'), ('/x', '/'), ('/a', '/')]
)
def test_longest_prefix_wins(path: str, name: str) -> None:
    route = make_config('/a/', '/', '/a/b/').route_for('calls.EXAMPLE', path)
    assert route is not None
    assert route.name == name


def test_no_route_for_another_host_or_path() -> None:
    assert make_config('/a/').route_for('other.example', '/a/x') is None
    assert make_config('/a/').route_for('calls.example', '/b/x') is None


def test_targets_are_chosen_by_weight() -> None:
    only_b = (WeightedService('a', 0.0), WeightedService('b', 1.0))
    assert {make_route(targets=only_b).draw_service() for _ in range(50)} == {'b'}
    equal = (WeightedService('a', 1.0), WeightedService('b', 1.0))
    assert {make_route(targets=equal).draw_service() for _ in range(200)} == {'a', 'b'}


@pytest.mark.parametrize(
    ('objective_s', 'pause_s', 'first_event_timeout_s'),
    [(0.1, 0.1, 2.0), (1.0, 0.1, 4.0), (0.1, 0.5, 4.0)],
)
def test_first_event_timeout_is_the_longest_of_three_times(
    objective_s: float, pause_s: float, first_event_timeout_s: float
) -> None:
    assert (
        make_route(objective_s=objective_s, pause_s=pause_s).first_event_timeout_s
        == first_event_timeout_s
    )


@pytest.mark.parametrize(
    ('kind', 'resumable', 'repeatable'),
    [
        (CallKind.SAFE, False, True),
        (CallKind.UNSAFE, True, False),
        (CallKind.STREAM, False, False),
        (CallKind.STREAM, True, True),
    ],
)
def test_only_safe_calls_and_resumable_streams_are_repeatable(
    kind: CallKind, resumable: bool, repeatable: bool
) -> None:
    assert make_route(kind=kind, resumable=resumable).repeatable is repeatable
