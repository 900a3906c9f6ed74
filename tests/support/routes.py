"""Routes for tests of call routing."""

from __future__ import annotations

from typing import Any

from limeshelf.calls.call import CallKind
from limeshelf.calls.routes import Route, WeightedService


def make_route(**changes: Any) -> Route:
    """Return a route with a latency objective of 1 s and a time-out of 10 s."""
    fields: dict[str, Any] = {
        'name': 'r',
        'host': 'calls.example',
        'path_prefix': '/r/',
        'kind': CallKind.SAFE,
        'targets': (WeightedService('app', 1.0),),
        'timeout_s': 10.0,
        'objective_s': 1.0,
        'max_attempts': 2,
        'priority': 1,
        'resumable': False,
        **changes,
    }
    return Route(**fields)
