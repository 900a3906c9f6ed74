"""How calls end: which are retried, and which status each gets otherwise."""

from __future__ import annotations

from typing import Any

import pytest

from limeshelf.calls.call import CallKind
from limeshelf.calls.wire import AnswerHead
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.endings import (
    AbortAnswer,
    Answered,
    CallProgress,
    ForwardAnswer,
    GatewayFailure,
    Refuse,
    Retry,
    decide_after_attempt,
    refuse_unavailable,
)
from limeshelf.gateway.results import (
    AttemptResult,
    Broken,
    Delivered,
    FailureCause,
    NeverRan,
    NotSent,
    WholeAnswer,
)
from tests.support.routes import make_route

BROKEN = Broken(FailureCause.CUT_SHORT)
REFUSED = NeverRan(reached=True)
NOT_SENT = NotSent(FailureCause.TIME_OVER)


def whole_answer(status: int) -> WholeAnswer:
    head = AnswerHead(status, 'c', True, False, False, False, None, (), None)
    return WholeAnswer(head, b'', 0.1)


def progress(last_result: AttemptResult | None, **changes: Any) -> CallProgress:
    fields: dict[str, Any] = {
        'route': make_route(),
        'runs': 0 if last_result is None or isinstance(last_result, NeverRan | NotSent) else 1,
        'last_result': last_result,
        'left_s': 5.0,
        'answer_started': False,
        **changes,
    }
    return CallProgress(**fields)


@pytest.mark.parametrize('last_result', [REFUSED, NOT_SENT, BROKEN, whole_answer(500)])
def test_safe_call_goes_to_another_replica(last_result: AttemptResult) -> None:
    assert decide_after_attempt(progress(last_result)) == Retry()


def test_unsafe_call_is_retried_only_after_a_refusal() -> None:
    unsafe = make_route(kind=CallKind.UNSAFE)
    assert decide_after_attempt(progress(REFUSED, route=unsafe)) == Retry()
    assert decide_after_attempt(progress(NOT_SENT, route=unsafe)) == Retry()
    assert decide_after_attempt(progress(BROKEN, route=unsafe)) == GatewayFailure(502)
    assert decide_after_attempt(progress(whole_answer(500), route=unsafe)) == ForwardAnswer(
        whole_answer(500)
    )


def test_answer_is_forwarded_unchanged() -> None:
    assert decide_after_attempt(progress(Delivered(200, 0.1))) == Answered()
    assert decide_after_attempt(progress(whole_answer(404))) == ForwardAnswer(whole_answer(404))
    assert decide_after_attempt(progress(whole_answer(500), runs=2)) == ForwardAnswer(
        whole_answer(500)
    )


def test_broken_call_past_its_deadline_ends_with_504() -> None:
    assert decide_after_attempt(progress(BROKEN, left_s=0.03)) == GatewayFailure(504)
    assert decide_after_attempt(progress(BROKEN, runs=2)) == GatewayFailure(502)


def test_started_stream_is_aborted() -> None:
    once = make_route(kind=CallKind.STREAM)
    assert decide_after_attempt(progress(BROKEN, route=once, answer_started=True)) == AbortAnswer()
    ending = refuse_unavailable(progress(BROKEN, answer_started=True), RefusalReason.STOPPING)
    assert ending == AbortAnswer()


def test_only_calls_that_never_ran_are_refused() -> None:
    refusal = refuse_unavailable(progress(REFUSED), RefusalReason.OVERLOADED, 1.5)
    assert refusal == Refuse(503, NotRun(RefusalReason.OVERLOADED, 1.5))
    not_sent = refuse_unavailable(
        progress(NOT_SENT, left_s=0.0), RefusalReason.DEADLINE_TOO_SHORT, 0.3
    )
    assert not_sent == Refuse(503, NotRun(RefusalReason.DEADLINE_TOO_SHORT, 0.3))
    ran_before = refuse_unavailable(progress(NOT_SENT, runs=1), RefusalReason.DEADLINE_TOO_SHORT)
    assert ran_before == GatewayFailure(504)
    assert refuse_unavailable(progress(BROKEN), RefusalReason.OVERLOADED, 1.5) == GatewayFailure(
        502
    )
    too_late = refuse_unavailable(progress(BROKEN), RefusalReason.DEADLINE_TOO_SHORT)
    assert too_late == GatewayFailure(504)
    assert refuse_unavailable(
        progress(whole_answer(500)), RefusalReason.OVERLOADED
    ) == ForwardAnswer(whole_answer(500))


def test_refusal_without_a_known_wait_has_a_short_retry_after() -> None:
    refusal = refuse_unavailable(progress(None), RefusalReason.UPSTREAM_REFUSED)
    assert refusal == Refuse(503, NotRun(RefusalReason.UPSTREAM_REFUSED, pytest.approx(0.3)))


def test_no_second_answer_follows_a_started_stream() -> None:
    resumable = make_route(kind=CallKind.STREAM, resumable=True)
    ended = decide_after_attempt(
        progress(whole_answer(500), route=resumable, runs=2, answer_started=True)
    )
    assert ended == AbortAnswer()


@pytest.mark.parametrize('status', [408, 429, 503])
def test_status_of_a_call_that_may_have_run_promises_nothing_to_its_caller(status: int) -> None:
    # A replica's 503 without a statement that the call did not run was passed on.
    unsafe = make_route(kind=CallKind.UNSAFE)
    ending = decide_after_attempt(progress(whole_answer(status), route=unsafe))
    assert ending == GatewayFailure(502)
    late = refuse_unavailable(
        progress(whole_answer(status), route=unsafe), RefusalReason.DEADLINE_TOO_SHORT
    )
    assert late == GatewayFailure(502)


@pytest.mark.parametrize('status', [400, 404, 500, 502, 504])
def test_other_statuses_of_a_replica_are_passed_on(status: int) -> None:
    unsafe = make_route(kind=CallKind.UNSAFE)
    answer = whole_answer(status)
    assert decide_after_attempt(progress(answer, route=unsafe)) == ForwardAnswer(answer)
