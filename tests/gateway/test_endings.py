"""How calls end: what is sent again, and which status promises what."""

from __future__ import annotations

from typing import Any

import pytest

from limeshelf.calls.call import CallKind
from limeshelf.calls.wire import AnswerFacts
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.endings import (
    Answered,
    BreakOff,
    GatewayFailure,
    PassOn,
    Progress,
    Refuse,
    SendAgain,
    give_up,
    settle,
)
from limeshelf.gateway.exchange import (
    Broken,
    BrokenBy,
    Delivered,
    NeverRan,
    NotSent,
    Result,
    WholeAnswer,
)
from tests.support.routes import make_route

BROKEN = Broken(BrokenBy.CUT_SHORT)
REFUSED = NeverRan(reached=True)
NOT_SENT = NotSent(BrokenBy.TIME_OVER)


def whole(status: int) -> WholeAnswer:
    facts = AnswerFacts(status, 'c', True, False, False, False, None, (), None)
    return WholeAnswer(facts, b'', 0.1)


def progress(last: Result | None, **changes: Any) -> Progress:
    fields: dict[str, Any] = {
        'route': make_route(),
        'runs': 0 if last is None or isinstance(last, NeverRan | NotSent) else 1,
        'last': last,
        'left_s': 5.0,
        'answer_started': False,
        **changes,
    }
    return Progress(**fields)


@pytest.mark.parametrize('last', [REFUSED, NOT_SENT, BROKEN, whole(500)])
def test_safe_call_goes_to_another_replica(last: Result) -> None:
    assert settle(progress(last)) == SendAgain()


def test_unsafe_call_goes_on_only_after_a_refusal() -> None:
    unsafe = make_route(kind=CallKind.UNSAFE)
    assert settle(progress(REFUSED, route=unsafe)) == SendAgain()
    assert settle(progress(NOT_SENT, route=unsafe)) == SendAgain()
    assert settle(progress(BROKEN, route=unsafe)) == GatewayFailure(502)
    assert settle(progress(whole(500), route=unsafe)) == PassOn(whole(500))


def test_answer_reaches_the_caller_as_it_is() -> None:
    assert settle(progress(Delivered(200, 0.1))) == Answered()
    assert settle(progress(whole(404))) == PassOn(whole(404))
    assert settle(progress(whole(500), runs=2)) == PassOn(whole(500))


def test_broken_call_whose_time_is_over_ends_with_504() -> None:
    assert settle(progress(BROKEN, left_s=0.03)) == GatewayFailure(504)
    assert settle(progress(BROKEN, runs=2)) == GatewayFailure(502)


def test_stream_that_has_begun_is_broken_off() -> None:
    once = make_route(kind=CallKind.STREAM)
    assert settle(progress(BROKEN, route=once, answer_started=True)) == BreakOff()
    given_up = give_up(progress(BROKEN, answer_started=True), RefusalReason.STOPPING)
    assert given_up == BreakOff()


def test_promise_is_given_only_to_what_never_ran() -> None:
    refusal = give_up(progress(REFUSED), RefusalReason.OVERLOADED, 1.5)
    assert refusal == Refuse(503, NotRun(RefusalReason.OVERLOADED, 1.5))
    not_sent = give_up(progress(NOT_SENT, left_s=0.0), RefusalReason.DEADLINE_TOO_SHORT, 0.3)
    assert not_sent == Refuse(503, NotRun(RefusalReason.DEADLINE_TOO_SHORT, 0.3))
    ran_before = give_up(progress(NOT_SENT, runs=1), RefusalReason.DEADLINE_TOO_SHORT)
    assert ran_before == GatewayFailure(504)
    assert give_up(progress(BROKEN), RefusalReason.OVERLOADED, 1.5) == GatewayFailure(502)
    too_late = give_up(progress(BROKEN), RefusalReason.DEADLINE_TOO_SHORT)
    assert too_late == GatewayFailure(504)
    assert give_up(progress(whole(500)), RefusalReason.OVERLOADED) == PassOn(whole(500))


def test_refusal_without_a_known_wait_comes_back_in_time() -> None:
    refusal = give_up(progress(None), RefusalReason.UPSTREAM_REFUSED)
    assert refusal == Refuse(503, NotRun(RefusalReason.UPSTREAM_REFUSED, pytest.approx(0.3)))


def test_no_second_answer_follows_a_stream_that_has_begun() -> None:
    resumable = make_route(kind=CallKind.STREAM, resumable=True)
    ended = settle(progress(whole(500), route=resumable, runs=2, answer_started=True))
    assert ended == BreakOff()
