"""Delays that refusals state for the retry."""

from __future__ import annotations

import pytest

from limeshelf.admission import retry_after
from tests.support.routes import make_route


@pytest.mark.parametrize(
    ('wait_s', 'left_s', 'retry_after_s'), [(1.0, 9.0, 1.0), (0.05, 9.0, 0.2), (5.0, 9.0, 2.97)]
)
def test_delay_is_the_wait_within_the_limits_that_callers_respect(
    wait_s: float, left_s: float, retry_after_s: float
) -> None:
    assert retry_after.for_wait_s(wait_s, left_s) == pytest.approx(retry_after_s)


@pytest.mark.parametrize(
    ('copy_in_s', 'retry_after_s'), [(None, 0.5), (-1.0, 0.5), (0.2, 0.5), (2.0, 2.2), (8.0, 2.97)]
)
def test_delay_for_overload_covers_the_load_of_another_copy(
    copy_in_s: float | None, retry_after_s: float
) -> None:
    assert retry_after.for_overload_s(0.5, copy_in_s, 9.0) == pytest.approx(retry_after_s)


def test_delay_for_a_load_exceeds_its_estimate() -> None:
    assert retry_after.for_load_s(1.0, 9.0) == pytest.approx(1.1)
    assert retry_after.for_load_s(5.0, 9.0) == pytest.approx(2.97)


def test_delay_after_refusals_leaves_time_for_another_attempt() -> None:
    assert retry_after.for_refusals_s(make_route(objective_s=2.0)) == pytest.approx(0.6)
