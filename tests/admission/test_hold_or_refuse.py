"""Calls without an available replica: held or refused, and the delay for the retry."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.admission.hold_or_refuse import (
    RECHECK_INTERVAL_S,
    CallWithoutReplica,
    Hold,
    RefuseUntilReady,
    hold_or_refuse,
)
from tests.support.routes import make_route


def decide(**changes: Any) -> Hold | RefuseUntilReady:
    call: dict[str, Any] = {
        'route': make_route(),
        'expected_wait_s': 0.3,
        'waited_s': 0.25,
        'left_s': 9.0,
        'is_caller_retry': False,
        'announced': True,
        'excluded': False,
        'answer_started': False,
        **changes,
    }
    return hold_or_refuse(CallWithoutReplica(**call))


def test_held_while_it_can_still_be_in_time() -> None:
    assert decide(expected_wait_s=0.34) == Hold(RECHECK_INTERVAL_S, retry_excluded=False)


def test_refused_if_the_model_is_loaded_too_late_for_the_objective() -> None:
    assert decide(expected_wait_s=0.5) == RefuseUntilReady(0.5, pytest.approx(0.55))


def test_retrying_caller_is_held_until_its_time_out() -> None:
    # A held call is refused after 85 % of the caller's time-out of four seconds.
    assert isinstance(decide(expected_wait_s=3.1, is_caller_retry=True), Hold)
    assert isinstance(decide(expected_wait_s=3.2, is_caller_retry=True), RefuseUntilReady)


def test_held_until_the_leader_announces_the_load() -> None:
    late = {'expected_wait_s': 8.0, 'announced': False}
    assert isinstance(decide(waited_s=0.19, **late), Hold)
    assert isinstance(decide(waited_s=0.21, **late), RefuseUntilReady)
    patient = attrs.evolve(make_route(), objective_s=10.0)
    assert isinstance(decide(route=patient, waited_s=0.49, **late), Hold)
    assert isinstance(decide(route=patient, waited_s=0.51, **late), RefuseUntilReady)


def test_held_for_an_announced_load_until_the_answer_would_be_late() -> None:
    patient = attrs.evolve(make_route(), objective_s=5.0)
    ordered = {'route': patient, 'waited_s': 1.0, 'announced': True}
    assert isinstance(decide(expected_wait_s=3.4, **ordered), Hold)
    assert isinstance(decide(expected_wait_s=3.6, **ordered), RefuseUntilReady)
    assumed = {**ordered, 'announced': False}
    assert isinstance(decide(expected_wait_s=2.1, **assumed), RefuseUntilReady)


def test_replicas_are_tried_again_if_all_refused() -> None:
    assert decide(expected_wait_s=0.0, excluded=True) == Hold(
        RECHECK_INTERVAL_S, retry_excluded=True
    )
    assert decide(expected_wait_s=0.0, excluded=True, waited_s=0.6) == RefuseUntilReady(
        RECHECK_INTERVAL_S, 0.2
    )
    assert decide(excluded=True) == Hold(RECHECK_INTERVAL_S, retry_excluded=False)


def test_stream_that_has_begun_is_never_refused() -> None:
    assert isinstance(decide(expected_wait_s=8.0, answer_started=True), Hold)


def test_recheck_is_not_later_than_the_end_of_the_call() -> None:
    assert decide(left_s=0.04) == Hold(0.04, retry_excluded=False)
