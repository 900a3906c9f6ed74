"""Detection of retried calls, and limits on how long calls may wait."""

from __future__ import annotations

import pytest

from limeshelf.admission.wait_limits import first_event_timeout_left_s, hold_left_s, is_retry
from tests.support.routes import make_route


@pytest.mark.parametrize(
    ('caller_timeout_s', 'expected'), [(None, False), (10.0, False), (9.71, False), (9.69, True)]
)
def test_call_with_less_time_than_its_route_counts_as_a_retry(
    caller_timeout_s: float | None, expected: bool
) -> None:
    assert is_retry(make_route(), caller_timeout_s) is expected


def test_wait_limits_end_before_the_objective_and_the_time_out() -> None:
    route = make_route(objective_s=2.0)
    assert hold_left_s(route, 0.2) == pytest.approx(1.0)
    assert route.first_event_timeout_s == 8.0
    assert first_event_timeout_left_s(route, 0.8) == pytest.approx(6.0)
