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
    from limeshelf.gateway.exchange import Result

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
class PassOn:
    """The caller gets a replica's answer as it is."""

    answer: WholeAnswer


@dataclass(frozen=True)
class BreakOff:
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


Ending = Answered | PassOn | BreakOff | GatewayFailure | Refuse


@dataclass(frozen=True)
class SendAgain:
    """The call goes to another replica, if there is one."""


@dataclass(frozen=True)
class Progress:
    """What of a call decides how it ends.

    :param runs: replicas that ran it or may have run it.
    :param last: what the latest attempt gave; ``None`` before any.
    :param left_s: until the call's time is over, in seconds.
    :param answer_started: a part of the answer is with the caller already.
    """

    route: Route
    runs: int
    last: Result | None
    left_s: float
    answer_started: bool


def settle(progress: Progress) -> Ending | SendAgain:
    """Return how a call goes on after its latest attempt."""
    last = progress.last
    if isinstance(last, Delivered):
        return Answered()
    if isinstance(last, NeverRan | NotSent):
        return SendAgain()
    failed = not isinstance(last, WholeAnswer) or last.facts.status >= STATUS_SERVER_ERROR
    if failed and may_run_again(progress.route, progress.runs, progress.left_s):
        return SendAgain()
    if isinstance(last, WholeAnswer) and not progress.answer_started:
        return PassOn(last)
    return _end_broken(progress, is_too_late(progress.left_s))


def give_up(
    progress: Progress, reason: RefusalReason, retry_after_s: float | None = None
) -> Ending:
    """Return how a call ends that is sent to no further replica.

    :param retry_after_s: when to come back, in seconds; ``None`` where nothing says
        when a replica will take the call.
    """
    if retry_after_s is None:
        retry_after_s = come_back.after_refusals_s(progress.route)
    return refuse(progress, Refuse(STATUS_UNAVAILABLE, NotRun(reason, retry_after_s)))


def refuse_too_late(route: Route) -> Refuse:
    """Return the refusal of a call whose time is over before it was sent."""
    outcome = NotRun(RefusalReason.DEADLINE_TOO_SHORT, come_back.after_refusals_s(route))
    return Refuse(STATUS_UNAVAILABLE, outcome)


def refuse(progress: Progress, refusal: Refuse) -> Ending:
    """Return how a call ends that is to be refused, if it can still be told that it never ran."""
    if progress.answer_started:
        return BreakOff()
    if isinstance(progress.last, WholeAnswer):
        return PassOn(progress.last)
    if progress.runs:
        too_late = refusal.outcome.reason is RefusalReason.DEADLINE_TOO_SHORT
        return _end_broken(progress, too_late)
    return refusal


def _end_broken(progress: Progress, too_late: bool) -> BreakOff | GatewayFailure:
    if progress.answer_started:
        return BreakOff()
    return GatewayFailure(STATUS_GATEWAY_TIMEOUT if too_late else STATUS_BAD_GATEWAY)
