"""Times to come back in the answers to refused callers."""

from __future__ import annotations

import pytest

from limeshelf.admission import come_back
from tests.support.routes import make_route


@pytest.mark.parametrize(
    ('wait_s', 'left_s', 'told_s'), [(1.0, 9.0, 1.0), (0.05, 9.0, 0.2), (5.0, 9.0, 2.97)]
)
def test_when_there_is_room_but_no_later_than_callers_heed(
    wait_s: float, left_s: float, told_s: float
) -> None:
    assert come_back.after_wait_s(wait_s, left_s) == pytest.approx(told_s)


@pytest.mark.parametrize(
    ('copy_in_s', 'told_s'), [(None, 0.5), (-1.0, 0.5), (0.2, 0.5), (2.0, 2.2), (8.0, 2.97)]
)
def test_overloaded_replicas_have_room_once_a_further_copy_is_there(
    copy_in_s: float | None, told_s: float
) -> None:
    assert come_back.when_room_s(0.5, copy_in_s, 9.0) == pytest.approx(told_s)


def test_a_little_after_the_model_is_expected() -> None:
    assert come_back.when_ready_s(1.0, 9.0) == pytest.approx(1.1)
    assert come_back.when_ready_s(5.0, 9.0) == pytest.approx(2.97)


def test_in_time_for_another_attempt_after_refusals() -> None:
    assert come_back.after_refusals_s(make_route(objective_s=2.0)) == pytest.approx(0.6)
