"""Decides whether a call is retried, and how it ends otherwise.

A refusal (503) guarantees that the call never ran, so only calls that no replica may have
run are refused. Calls that may have run end with 502, or with 504 after their deadline. An
answer that has started is aborted, so that the caller does not take it for complete.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from limeshelf.admission import retry_after
from limeshelf.admission.retry_rules import is_too_late, may_run_again
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.result_rules import STATUS_SERVER_ERROR
from limeshelf.gateway.results import (
    CarriedAnswer,
    Delivered,
    FailedElsewhere,
    NeverRan,
    NotCarried,
    NotSent,
    WholeAnswer,
)

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route
    from limeshelf.gateway.results import AttemptResult

STATUS_UNAUTHORISED = 401
STATUS_UNKNOWN_ROUTE = 404
STATUS_OVER_LIMIT = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
#: Statuses that a caller takes for a promise that the call has not run and never will.
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Answered:
    """The caller has received the complete answer."""


@dataclass(frozen=True)
class ForwardAnswer:
    """The caller gets the replica's answer unchanged."""

    answer: WholeAnswer


@dataclass(frozen=True)
class AbortAnswer:
    """A part of the answer was sent, and the rest cannot be; the connection is reset."""


@dataclass(frozen=True)
class GatewayFailure:
    """The caller gets an error status; the call may have run."""

    status: int


@dataclass(frozen=True)
class Refuse:
    """The caller gets an error status that guarantees that the call never ran."""

    status: int
    outcome: NotRun


Ending = Answered | ForwardAnswer | AbortAnswer | GatewayFailure | Refuse


@dataclass(frozen=True)
class Retry:
    """The call is sent to another replica, if there is one."""


@dataclass(frozen=True)
class CallProgress:
    """The state of a call on which its ending depends.

    :param runs: number of replicas that ran it or may have run it.
    :param last_result: result of the latest attempt; ``None`` before the first.
    :param left_s: time until the call's deadline, in seconds.
    :param answer_started: whether a part of the answer was sent to the caller.
    """

    route: Route
    runs: int
    last_result: AttemptResult | None
    left_s: float
    answer_started: bool


def decide_after_attempt(progress: CallProgress) -> Ending | Retry:
    """Return how a call ends after its latest attempt, or that it is retried."""
    last = progress.last_result
    if isinstance(last, Delivered):
        return Answered()
    if isinstance(last, NotCarried) and last.is_final:
        return refuse(progress, Refuse(STATUS_UNAVAILABLE, last.outcome))
    if isinstance(last, NeverRan | NotSent | NotCarried):
        return Retry()
    if isinstance(last, CarriedAnswer):
        return _forward(progress, last.answer)
    if isinstance(last, FailedElsewhere):
        return _incomplete_ending(progress, is_too_late(progress.left_s))
    failed = not isinstance(last, WholeAnswer) or last.head.status >= STATUS_SERVER_ERROR
    if failed and may_run_again(progress.route, progress.runs, progress.left_s):
        return Retry()
    if isinstance(last, WholeAnswer) and not progress.answer_started:
        return _forward(progress, last)
    return _incomplete_ending(progress, is_too_late(progress.left_s))


def refuse_unavailable(
    progress: CallProgress, reason: RefusalReason, retry_after_s: float | None = None
) -> Ending:
    """Return the ending of a call that is not sent to a further replica.

    :param retry_after_s: when the caller should retry, in seconds; ``None`` where it is not known
        when a replica will accept the call.
    """
    if retry_after_s is None:
        retry_after_s = retry_after.for_refusals_s(progress.route)
    return refuse(progress, Refuse(STATUS_UNAVAILABLE, NotRun(reason, retry_after_s)))


def deadline_refusal(route: Route) -> Refuse:
    """Return the refusal of a call whose deadline passed before it was sent."""
    outcome = NotRun(RefusalReason.DEADLINE_TOO_SHORT, retry_after.for_refusals_s(route))
    return Refuse(STATUS_UNAVAILABLE, outcome)


def refuse(progress: CallProgress, refusal: Refuse) -> Ending:
    """Return *refusal* if the call surely never ran, and another ending otherwise."""
    if progress.answer_started:
        return AbortAnswer()
    if isinstance(progress.last_result, WholeAnswer):
        return _forward(progress, progress.last_result)
    if progress.runs:
        deadline_passed = refusal.outcome.reason is RefusalReason.DEADLINE_TOO_SHORT
        return _incomplete_ending(progress, deadline_passed)
    return refusal


def _forward(progress: CallProgress, answer: WholeAnswer) -> ForwardAnswer | GatewayFailure:
    """Return the ending of a call to which a replica gave a whole answer.

    The replica did not state that the call has not run, so a status that promises it is replaced.
    """
    if answer.head.status in PROMISES_NOT_RUN and not progress.route.repeatable:
        return GatewayFailure(STATUS_BAD_GATEWAY)
    return ForwardAnswer(answer)


def _incomplete_ending(
    progress: CallProgress, deadline_passed: bool
) -> AbortAnswer | GatewayFailure:
    if progress.answer_started:
        return AbortAnswer()
    return GatewayFailure(STATUS_GATEWAY_TIMEOUT if deadline_passed else STATUS_BAD_GATEWAY)
