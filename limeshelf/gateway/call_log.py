"""The log lines of a call: each decision with the inputs that it rested on.

``docs/OPERATIONS.md`` shows how to read them; an event is renamed there too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.gateway.exchange import Broken, Delivered, NeverRan, NotSent, WholeAnswer
from limeshelf.metrics.event_log import log_request
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.call import Call
    from limeshelf.demand.waits import CallOutlook
    from limeshelf.gateway.endings import Refuse
    from limeshelf.gateway.exchange import AttemptResult
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.replica import Load, Replica


def log_attempt(
    state: CallState,
    replica: Replica,
    load: Load,
    result: AttemptResult,
    suspended: bool,
    config_version: int | None,
) -> None:
    """Log how one attempt ended.

    :param load: what all gateways together have under way at the replica.
    :param suspended: the replica is left alone for a while because of it.
    """
    need = state.call.model_need
    first_s = result.time_to_head_s if isinstance(result, Delivered | WholeAnswer) else 0.0
    pause_s = result.longest_pause_s if isinstance(result, Delivered) else 0.0
    log_request(
        'attempt',
        request=state.call.call_id,
        route=state.route.name,
        service=state.service.name,
        organisation=state.organisation.name if state.organisation else '',
        replica=replica.replica_id,
        result=type(result).__name__,
        detail=_detail(result),
        left_ms=int(state.left_s * 1000),
        waited_ms=int(state.waited_s * 1000),
        first_ms=int(first_s * 1000),
        pause_ms=int(pause_s * 1000),
        objective_ms=int(state.route.objective_s * 1000),
        pause_limit_ms=int(state.route.pause_s * 1000) if need else 0,
        returned=state.is_caller_retry,
        model=need.model if need else '',
        adapter=need.adapter if need else '',
        tokens=need.prompt_tokens if need else 0,
        calls_there=load.calls,
        tokens_there=load.tokens,
        report_age_ms=int((boottime_s() - replica.reported_s) * 1000),
        config=config_version or 0,
        suspended=suspended,
        status=_status(result),
        took_ms=int((state.since_arrival_s - state.waited_s) * 1000),
        answer_started=state.answer.started,
        content=state.fingerprint,
    )


def _detail(result: AttemptResult) -> str:
    if isinstance(result, Broken | NotSent):
        return str(result.cause)
    return str(result.status) if isinstance(result, Delivered | NeverRan) else ''


def _status(result: AttemptResult) -> int:
    """Return the status of the replica's answer; 0 if there is none."""
    if isinstance(result, WholeAnswer):
        return result.head.status
    return result.status if isinstance(result, Delivered | NeverRan) else 0


def log_overloaded(state: CallState, expected_wait_s: float, copy_in_s: float | None) -> None:
    """Log that replicas hold what the call needs, but have no room for it in time.

    :param expected_wait_s: until the queue has room, in seconds.
    :param copy_in_s: until a further copy is there, in seconds; ``None`` if none is on its way.
    """
    need = state.call.model_need
    log_request(
        'refused_overloaded',
        request=state.call.call_id,
        route=state.route.name,
        expected_wait_ms=int(expected_wait_s * 1000),
        left_ms=int(state.left_s * 1000),
        copy_in_ms=None if copy_in_s is None else int(copy_in_s * 1000),
        returned=state.is_caller_retry,
        model=need.model if need else '',
        adapter=need.adapter if need else '',
        waited_ms=int(state.since_arrival_s * 1000),
        objective_ms=int(state.route.objective_s * 1000),
    )


def log_no_replica(state: CallState, expected_wait_s: float, outlook: CallOutlook) -> None:
    """Log that no replica holds what the call needs, nor will in time.

    :param outlook: what this gateway sees of the model; whether a load is on its way tells a time
        that somebody keeps from one that is assumed.
    """
    announced_in_s = outlook.announced_in_s
    need = state.call.model_need
    log_request(
        'refused_no_replica',
        request=state.call.call_id,
        route=state.route.name,
        model=need.model if need else '',
        adapter=need.adapter if need else '',
        expected_wait_ms=int(expected_wait_s * 1000),
        left_ms=int(state.left_s * 1000),
        waited_ms=int(state.since_arrival_s * 1000),
        objective_ms=int(state.route.objective_s * 1000),
        announced_in_ms=None if announced_in_s is None else int(announced_in_s * 1000),
        model_held=outlook.model_held,
        returned=state.is_caller_retry,
    )


def log_failed(call: Call, status: int, config_version: int | None) -> None:
    """Log that a call ends without a promise.

    :param status: of the caller's answer; 0 where one that had begun is broken off.
    """
    log_request('failed', request=call.call_id, status=status, config=config_version)


def log_refused(
    call: Call, refusal: Refuse, config_version: int | None, organisation: str = ''
) -> None:
    """Log the status and the promise with which a call ends.

    :param organisation: that holds the call's key; empty where none is known.
    """
    outcome = refusal.outcome
    log_request(
        'refused',
        request=call.call_id,
        status=refusal.status,
        reason=outcome.reason,
        retry_after_s=outcome.retry_after_s,
        config=config_version,
        organisation=organisation,
    )
