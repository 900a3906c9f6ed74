"""Calls that no replica can run now: which are held, and when refused ones come back."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.admission.absent_model import (
    RECHECK_S,
    AbsentModel,
    Hold,
    RefuseUntilReady,
    decide_absent,
)
from tests.support.routes import make_route


def decide(**changes: Any) -> Hold | RefuseUntilReady:
    absent: dict[str, Any] = {
        'route': make_route(),
        'expected_wait_s': 0.3,
        'waited_s': 0.25,
        'left_s': 9.0,
        'returned': False,
        'announced': True,
        'excluded': False,
        'answer_started': False,
        **changes,
    }
    return decide_absent(AbsentModel(**absent))


def test_held_while_it_can_still_be_in_time() -> None:
    assert decide(expected_wait_s=0.34) == Hold(RECHECK_S, retry_excluded=False)


def test_refused_when_the_model_comes_too_late_for_the_objective() -> None:
    assert decide(expected_wait_s=0.5) == RefuseUntilReady(0.5, pytest.approx(0.55))


def test_returned_caller_is_held_as_long_as_it_waits() -> None:
    # Its patience is four seconds, of which 0.85 may pass.
    assert isinstance(decide(expected_wait_s=3.1, returned=True), Hold)
    assert isinstance(decide(expected_wait_s=3.2, returned=True), RefuseUntilReady)


def test_waits_for_the_leader_to_say_when_the_model_comes() -> None:
    late = {'expected_wait_s': 8.0, 'announced': False}
    assert isinstance(decide(waited_s=0.19, **late), Hold)
    assert isinstance(decide(waited_s=0.21, **late), RefuseUntilReady)
    patient = attrs.evolve(make_route(), objective_s=10.0)
    assert isinstance(decide(route=patient, waited_s=0.49, **late), Hold)
    assert isinstance(decide(route=patient, waited_s=0.51, **late), RefuseUntilReady)


def test_announced_load_is_waited_for_until_the_answer_would_be_late() -> None:
    patient = attrs.evolve(make_route(), objective_s=5.0)
    ordered = {'route': patient, 'waited_s': 1.0, 'announced': True}
    assert isinstance(decide(expected_wait_s=3.4, **ordered), Hold)
    assert isinstance(decide(expected_wait_s=3.6, **ordered), RefuseUntilReady)
    assumed = {**ordered, 'announced': False}
    assert isinstance(decide(expected_wait_s=2.1, **assumed), RefuseUntilReady)


def test_tries_replicas_again_that_refused_all_together() -> None:
    assert decide(expected_wait_s=0.0, excluded=True) == Hold(RECHECK_S, retry_excluded=True)
    assert decide(expected_wait_s=0.0, excluded=True, waited_s=0.6) == RefuseUntilReady(
        RECHECK_S, 0.2
    )
    assert decide(excluded=True) == Hold(RECHECK_S, retry_excluded=False)


def test_stream_that_has_begun_is_never_refused() -> None:
    assert isinstance(decide(expected_wait_s=8.0, answer_started=True), Hold)


def test_asks_again_no_later_than_the_calls_end() -> None:
    assert decide(left_s=0.04) == Hold(0.04, retry_excluded=False)
