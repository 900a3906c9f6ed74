"""How a call ends: after an attempt, or without a further one.

A refusal (503) promises that the call never ran, so it is given only to calls that no
replica may have run. What may have run ends with 502, or with 504 if its time is over;
an answer that has begun is broken off, so that it is never taken for whole.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from limeshelf.admission import come_back
from limeshelf.admission.repeats import is_too_late, may_run_again
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.exchange import Delivered, NeverRan, NotSent, WholeAnswer
from limeshelf.gateway.result_rules import STATUS_SERVER_ERROR

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route
    from limeshelf.gateway.exchange import AttemptResult

STATUS_UNAUTHORISED = 401
STATUS_UNKNOWN_ROUTE = 404
STATUS_OVER_LIMIT = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True)
class Answered:
    """The whole answer is with the caller."""


@dataclass(frozen=True)
class ForwardAnswer:
    """The caller gets a replica's answer as it is."""

    answer: WholeAnswer


@dataclass(frozen=True)
class AbortAnswer:
    """A part of the answer is with the caller, and the rest will not come."""


@dataclass(frozen=True)
class GatewayFailure:
    """The caller gets a status that promises nothing."""

    status: int


@dataclass(frozen=True)
class Refuse:
    """The caller gets a status that promises that the call never ran."""

    status: int
    outcome: NotRun


Ending = Answered | ForwardAnswer | AbortAnswer | GatewayFailure | Refuse


@dataclass(frozen=True)
class Retry:
    """The call goes to another replica, if there is one."""


@dataclass(frozen=True)
class CallProgress:
    """What of a call decides how it ends.

    :param runs: replicas that ran it or may have run it.
    :param last_result: what the latest attempt gave; ``None`` before any.
    :param left_s: until the call's time is over, in seconds.
    :param answer_started: a part of the answer is with the caller already.
    """

    route: Route
    runs: int
    last_result: AttemptResult | None
    left_s: float
    answer_started: bool


def decide_after_attempt(progress: CallProgress) -> Ending | Retry:
    """Return how a call goes on after its latest attempt."""
    last = progress.last_result
    if isinstance(last, Delivered):
        return Answered()
    if isinstance(last, NeverRan | NotSent):
        return Retry()
    failed = not isinstance(last, WholeAnswer) or last.head.status >= STATUS_SERVER_ERROR
    if failed and may_run_again(progress.route, progress.runs, progress.left_s):
        return Retry()
    if isinstance(last, WholeAnswer) and not progress.answer_started:
        return ForwardAnswer(last)
    return _incomplete_ending(progress, is_too_late(progress.left_s))


def refuse_unavailable(
    progress: CallProgress, reason: RefusalReason, retry_after_s: float | None = None
) -> Ending:
    """Return how a call ends that is sent to no further replica.

    :param retry_after_s: when to come back, in seconds; ``None`` where nothing says
        when a replica will take the call.
    """
    if retry_after_s is None:
        retry_after_s = come_back.after_refusals_s(progress.route)
    return refuse(progress, Refuse(STATUS_UNAVAILABLE, NotRun(reason, retry_after_s)))


def deadline_refusal(route: Route) -> Refuse:
    """Return the refusal of a call whose time is over before it was sent."""
    outcome = NotRun(RefusalReason.DEADLINE_TOO_SHORT, come_back.after_refusals_s(route))
    return Refuse(STATUS_UNAVAILABLE, outcome)


def refuse(progress: CallProgress, refusal: Refuse) -> Ending:
    """Return how a call ends that is to be refused, if it can still be told that it never ran."""
    if progress.answer_started:
        return AbortAnswer()
    if isinstance(progress.last_result, WholeAnswer):
        return ForwardAnswer(progress.last_result)
    if progress.runs:
        too_late = refusal.outcome.reason is RefusalReason.DEADLINE_TOO_SHORT
        return _incomplete_ending(progress, too_late)
    return refusal


def _incomplete_ending(
    progress: CallProgress, deadline_passed: bool
) -> AbortAnswer | GatewayFailure:
    if progress.answer_started:
        return AbortAnswer()
    return GatewayFailure(STATUS_GATEWAY_TIMEOUT if deadline_passed else STATUS_BAD_GATEWAY)
