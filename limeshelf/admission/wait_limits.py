"""Limits on how long a call may wait for its first byte.

A wait is limited by the objective of the route, after which the answer would be late, and by the
time-out of the caller for the first event, after which it gives up. Depends on the route only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: Share of the objective that a call may wait for a model that no replica holds; the rest is left
#: for the answer itself.
HOLD_SHARE = 0.6
#: If the load time is known, at most this much time is reserved for the answer, however long the
#: objective is.
MAX_ANSWER_RESERVE_S = 0.5
#: Share of that time-out after which a held call is refused, so that the refusal arrives
#: before the caller gives up.
FIRST_EVENT_TIMEOUT_SHARE = 0.85
#: A caller that allows less than this share of the route's time-out has spent the rest on an
#: earlier attempt.
FULL_TIMEOUT_SHARE = 0.97


def hold_left_s(route: Route, waited_s: float) -> float:
    """Return how much longer a call may wait and still be in time, in seconds."""
    return route.objective_s * HOLD_SHARE - waited_s


def announced_left_s(route: Route, waited_s: float) -> float:
    """Return how much longer a call may wait for an announced load, in seconds."""
    answer_s = min(MAX_ANSWER_RESERVE_S, (1.0 - HOLD_SHARE) * route.objective_s)
    return route.objective_s - answer_s - waited_s


def first_event_timeout_left_s(route: Route, waited_s: float) -> float:
    """Return how much longer the caller waits for the first byte, in seconds."""
    return route.first_event_timeout_s * FIRST_EVENT_TIMEOUT_SHARE - waited_s


def is_retry(route: Route, caller_timeout_s: float | None) -> bool:
    """Return whether the call is probably a retry after a refusal.

    :param caller_timeout_s: time-out that the caller stated, in seconds; ``None`` without one.
    """
    return caller_timeout_s is not None and caller_timeout_s < FULL_TIMEOUT_SHARE * route.timeout_s
