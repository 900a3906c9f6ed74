"""Rules for retries: which calls may be sent again, how often, and with what time limit.

If a replica states that it did not run a call, the attempt counts as a refusal; if it ran it or
may have run it, as a run. :mod:`limeshelf.admission.retry_budget` limits the retries of all
gateways together.

Owns the rules only. The route defines whether a call may run twice
(:attr:`limeshelf.calls.routes.Route.repeatable`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.calls.call import CallKind
from limeshelf.errors import RefusalReason

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: A call with less time left than this is not sent any more.
MIN_SEND_TIME_S = 0.03
#: Refusals by replicas after which a call is not sent again.
MAX_REFUSALS = 4
#: Share of the time left within which the response head of a repeatable call must arrive, so that
#: another replica can still be tried.
FIRST_ATTEMPT_SHARE = 0.35
#: The response head of a repeatable stream must arrive within this multiple of the objective.
FIRST_ATTEMPT_OBJECTIVES = 2
#: Shortest time limit of an attempt for its response head.
MIN_ATTEMPT_TIME_S = 0.25


def is_too_late(left_s: float) -> bool:
    """Return whether the time left, in seconds, is too short to send a call."""
    return left_s <= MIN_SEND_TIME_S


def reason_not_to_send(refusals: int, left_s: float) -> RefusalReason | None:
    """Return why a call is not sent to another replica, or ``None`` if it may be sent.

    :param refusals: replicas that did not run it: they said so, or were not reached in time.
    :param left_s: time left for the call, in seconds.
    """
    if is_too_late(left_s):
        return RefusalReason.DEADLINE_TOO_SHORT
    if refusals > MAX_REFUSALS:
        return RefusalReason.UPSTREAM_REFUSED
    return None


def may_run_again(route: Route, runs: int, left_s: float) -> bool:
    """Return whether a call may run at another replica.

    :param runs: replicas that ran it or may have run it.
    :param left_s: time left for the call, in seconds.
    """
    return route.repeatable and runs < route.max_attempts and not is_too_late(left_s)


def head_limit_s(route: Route, runs: int, left_s: float) -> float:
    """Return the time limit of an attempt for the response head, in seconds.

    :param runs: replicas that ran the call before or may have run it.
    :param left_s: time left for the call, in seconds.
    """
    if not route.repeatable or runs + 1 >= route.max_attempts:
        return left_s
    if route.kind is CallKind.STREAM:
        return max(MIN_ATTEMPT_TIME_S, min(left_s, FIRST_ATTEMPT_OBJECTIVES * route.objective_s))
    return max(MIN_ATTEMPT_TIME_S, left_s * FIRST_ATTEMPT_SHARE)
