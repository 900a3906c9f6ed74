"""Writes the log lines of calls: each decision with its inputs.

``docs/OPERATIONS.md`` documents the events; rename an event there too.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from limeshelf.gateway.results import Broken, Delivered, NeverRan, NotCarried, NotSent, WholeAnswer
from limeshelf.metrics.event_log import log_request
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.call import Call
    from limeshelf.demand.waits import CallWaitEstimate
    from limeshelf.errors import NotRun
    from limeshelf.gateway.endings import Refuse
    from limeshelf.gateway.results import AttemptResult
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.replica import Load, Replica


def log_attempt(
    state: CallState,
    replica: Replica,
    load: Load,
    result: AttemptResult,
    suspended: bool,
) -> None:
    """Log how one attempt ended.

    :param load: calls and tokens in flight at the replica, from all gateways.
    :param suspended: whether this result suspended the replica.
    """
    need = state.call.model_need
    time_to_head_s = result.time_to_head_s if isinstance(result, Delivered | WholeAnswer) else 0.0
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
        version=replica.record.version,
        bound_version=state.version,
        answer_id=result.answer_id if isinstance(result, Broken) else None,
        left_ms=int(state.left_s * 1000),
        waited_ms=int(state.waited_s * 1000),
        first_ms=int(time_to_head_s * 1000),
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
        config=state.config_version,
        config_age_ms=_milliseconds(state.config_age_s),
        suspended=suspended,
        status=_status(result),
        took_ms=int((state.since_arrival_s - state.waited_s) * 1000),
        answer_started=state.answer.started,
        content=state.fingerprint,
    )


def log_abandoned(state: CallState, replica: Replica) -> None:
    """Log that an attempt ended before its result was known, because the caller left."""
    log_request(
        'abandoned',
        request=state.call.call_id,
        replica=replica.replica_id,
        answer_started=state.answer.started,
        content=state.fingerprint,
    )


def log_forwarded(state: CallState, gateway: str, result: AttemptResult) -> None:
    """Log how another gateway carried a call.

    :param gateway: its peer address.
    """
    log_request(
        'forwarded',
        request=state.call.call_id,
        route=state.route.name,
        service=state.service.name,
        gateway=gateway,
        result=type(result).__name__,
        detail=_detail(result),
        left_ms=int(state.left_s * 1000),
        waited_ms=int(state.waited_s * 1000),
        took_ms=int((state.since_arrival_s - state.waited_s) * 1000),
        answer_started=state.answer.started,
    )


def log_not_carried(call: Call, outcome: NotRun) -> None:
    """Log that a call which another gateway forwarded did not run here."""
    log_request(
        'not_carried',
        request=call.call_id,
        reason=outcome.reason,
        retry_after_s=outcome.retry_after_s,
    )


def _milliseconds(age_s: float) -> int | None:
    """Return an age in milliseconds; ``None`` if it is not known."""
    return int(age_s * MS_PER_S) if math.isfinite(age_s) else None


def _detail(result: AttemptResult) -> str:
    if isinstance(result, NotCarried):
        return str(result.outcome.reason)
    if isinstance(result, Broken | NotSent):
        return str(result.cause)
    return str(result.status) if isinstance(result, Delivered | NeverRan) else ''


def _status(result: AttemptResult) -> int:
    """Return the HTTP status of the replica's answer; 0 without an answer."""
    if isinstance(result, WholeAnswer):
        return result.head.status
    return result.status if isinstance(result, Delivered | NeverRan | Broken) else 0


def log_overloaded(state: CallState, expected_wait_s: float, copy_in_s: float | None) -> None:
    """Log that replicas hold the model or adapter, but have no room for the call in time.

    :param expected_wait_s: expected time until the queue has room, in seconds.
    :param copy_in_s: time until a further replica has loaded it, in seconds; ``None`` if no load
        was announced.
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


def log_no_replica(
    state: CallState, expected_wait_s: float, wait_estimate: CallWaitEstimate
) -> None:
    """Log that no replica holds the model or adapter, or will in time.

    :param wait_estimate: what this gateway knows of the model. The expected wait is a commitment
        of the leader where a load was announced, and an estimate otherwise.
    """
    announced_in_s = wait_estimate.announced_in_s
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
        model_held=wait_estimate.model_held,
        returned=state.is_caller_retry,
    )


def log_failed(call: Call, status: int, config_version: int | None) -> None:
    """Log that a call failed and may have run.

    :param status: HTTP status of the caller's answer; 0 where a started answer was aborted.
    """
    log_request('failed', request=call.call_id, status=status, config=config_version)


def log_refused(
    call: Call,
    refusal: Refuse,
    config_version: int | None,
    config_age_s: float,
    organisation: str = '',
) -> None:
    """Log the refusal of a call that did not run.

    :param config_age_s: time for which the configuration may have been outdated, in seconds;
        infinite where not known.
    :param organisation: holder of the call's key; empty where not known.
    """
    outcome = refusal.outcome
    log_request(
        'refused',
        request=call.call_id,
        status=refusal.status,
        reason=outcome.reason,
        retry_after_s=outcome.retry_after_s,
        config=config_version,
        config_age_ms=_milliseconds(config_age_s),
        organisation=organisation,
    )
