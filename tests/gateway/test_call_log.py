"""Log lines about calls contain the inputs of the decision."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.calls.call import ModelNeed
from limeshelf.calls.wire import AnswerHead
from limeshelf.demand.waits import CallWaitEstimate
from limeshelf.gateway import call_log
from limeshelf.gateway.results import (
    AttemptResult,
    Broken,
    Delivered,
    FailureCause,
    NeverRan,
    WholeAnswer,
)
from limeshelf.gateway.state import CallState
from limeshelf.replicas.record import Holding, ReplicaRecord
from limeshelf.replicas.replica import Load, Replica
from tests.gateway.test_selection import ENGINE, state_of
from tests.support.routes import make_route

NEED = ModelNeed('m', 'a', 100, 50, 20, ())
REPLICA = Replica(
    ReplicaRecord('r0', 'lm', 'lm:0', 'z1', 4, False, None, (Holding('m'),), 1), {'m': frozenset()}
)
ANSWER = WholeAnswer(
    AnswerHead(504, 'c', True, False, False, False, None, (), None), b'', time_to_head_s=0.2
)


@pytest.fixture
def written(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    """Return the fields of the last log line, by name."""
    fields: dict[str, Any] = {}
    monkeypatch.setattr(
        call_log, 'log_request', lambda event, **given: fields.update(given, event=event)
    )
    return fields


def waiting_state(waited_s: float) -> CallState:
    """Return the state of a call that arrived *waited_s* ago; its route's objective is 2 s."""
    state = state_of(ENGINE, NEED, route=make_route(objective_s=2.0))
    call = attrs.evolve(state.call, arrived_s=state.call.arrived_s - waited_s)
    return attrs.evolve(state, call=call)


def check_wait(written: dict[str, Any], event: str) -> None:
    assert written['event'] == event
    assert (written['model'], written['adapter']) == ('m', 'a')
    assert written['objective_ms'] == 2000
    assert 500 <= written['waited_ms'] < 900


def test_refusal_for_overload_logs_the_model_and_the_bounds_of_the_wait(
    written: dict[str, Any],
) -> None:
    call_log.log_overloaded(waiting_state(0.5), 1.7, 3.2)
    check_wait(written, 'refused_overloaded')
    assert written['expected_wait_ms'] == 1700
    assert written['copy_in_ms'] == 3200


def test_refusal_for_lack_of_a_replica_logs_the_bounds_of_the_wait(
    written: dict[str, Any],
) -> None:
    wait_estimate = CallWaitEstimate(0.25, None, is_announced=False, model_held=True)
    call_log.log_no_replica(waiting_state(0.5), 0.25, wait_estimate)
    check_wait(written, 'refused_no_replica')
    assert written['expected_wait_ms'] == 250
    assert written['announced_in_ms'] is None
    assert written['model_held'] is True
    assert written['returned'] is False


def test_refusal_logs_the_time_until_an_announced_load(written: dict[str, Any]) -> None:
    wait_estimate = CallWaitEstimate(1.5, 1.5, is_announced=True, model_held=False)
    call_log.log_no_replica(waiting_state(0.5), 1.5, wait_estimate)
    assert written['announced_in_ms'] == 1500


def test_failure_logs_its_status(written: dict[str, Any]) -> None:
    call_log.log_failed(waiting_state(0.5).call, 502, 3)
    assert (written['event'], written['request'], written['status']) == ('failed', 'c', 502)


@pytest.mark.parametrize(
    ('result', 'status'),
    [
        (ANSWER, 504),
        (Delivered(200, 0.1), 200),
        (NeverRan(True, status=503), 503),
        (NeverRan(False), 0),
        (Broken(FailureCause.TIME_OVER), 0),
    ],
)
def test_attempt_logs_status_duration_and_whether_the_answer_has_started(
    written: dict[str, Any], result: AttemptResult, status: int
) -> None:
    state = attrs.evolve(waiting_state(0.5), waited_s=0.1)
    state.config_version, state.config_age_s = 3, 0.25
    call_log.log_attempt(state, REPLICA, Load(), result, False)
    assert written['status'] == status
    assert 400 <= written['took_ms'] < 800
    assert written['answer_started'] is False
    assert (written['objective_ms'], written['service']) == (2000, 'lm')
    assert (written['config'], written['config_age_ms']) == (3, 250)
