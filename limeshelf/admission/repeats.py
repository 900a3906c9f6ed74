"""What may be sent again, how often, and how long one attempt may take.

A replica that said it did not run the call costs a refusal; one that ran it or may have
run it costs a run. The budget of retries over all gateways is in
:mod:`limeshelf.admission.retry_budget`. Owns the rules alone; relies on the route, which
says whether a call may run twice (:attr:`limeshelf.calls.routes.Route.repeatable`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.calls.call import CallKind
from limeshelf.errors import RefusalReason

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: A call with less time than this left is not sent any more.
LEAST_SEND_S = 0.03
#: Refusals by replicas after which a call is not sent again.
MAX_REFUSALS = 4
#: Share of the time left within which the head of a repeatable call's answer must come, so that
#: another replica can still be tried.
FIRST_TRY_SHARE = 0.35
#: The head of a repeatable stream must come within this many objectives.
FIRST_TRY_OBJECTIVES = 2
#: No attempt gets less time than this for its head.
LEAST_TRY_S = 0.25


def is_too_late(left_s: float) -> bool:
    """Return whether the time left, in seconds, is too short to send a call."""
    return left_s <= LEAST_SEND_S


def reason_not_to_send(refusals: int, left_s: float) -> RefusalReason | None:
    """Return why a call is not sent to any further replica, or ``None`` if it is.

    :param refusals: replicas that did not run it: they said so, or were not reached in time.
    :param left_s: until the call's time is over, in seconds.
    """
    if is_too_late(left_s):
        return RefusalReason.DEADLINE_TOO_SHORT
    if refusals > MAX_REFUSALS:
        return RefusalReason.UPSTREAM_REFUSED
    return None


def may_run_again(route: Route, runs: int, left_s: float) -> bool:
    """Return whether a call may run at another replica.

    :param runs: replicas that ran it or may have run it.
    :param left_s: until the call's time is over, in seconds.
    """
    return route.repeatable and runs < route.max_attempts and not is_too_late(left_s)


def head_limit_s(route: Route, runs: int, left_s: float) -> float:
    """Return how long an attempt may take to the head of its answer, in seconds.

    :param runs: replicas that ran the call before or may have run it.
    :param left_s: until the call's time is over, in seconds.
    """
    if not route.repeatable or runs + 1 >= route.max_attempts:
        return left_s
    if route.kind is CallKind.STREAM:
        return max(LEAST_TRY_S, min(left_s, FIRST_TRY_OBJECTIVES * route.objective_s))
    return max(LEAST_TRY_S, left_s * FIRST_TRY_SHARE)
