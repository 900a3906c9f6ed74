"""Delays that refusals state for the retry (Retry-After), in seconds.

Owns the rules only: one function for each kind of refusal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: Callers respect a delay of up to this share of the time that they have left (a third, according
#: to the platform's page on requests).
MAX_RETRY_AFTER_SHARE = 0.33
#: After a shorter delay, a caller retries before anything has changed.
MIN_RETRY_AFTER_S = 0.2
#: Share of the objective used as the delay if no better estimate is known, so that the next
#: attempt can still be in time.
REFUSED_OBJECTIVE_SHARE = 0.3
#: Factor on the estimated load time: callers that retried before the model was loaded were refused
#: again.
LOAD_TIME_MARGIN = 1.1
#: Another gateway accepts the call at once.
STOPPING_RETRY_AFTER_S = 0.05
#: Replicas that cannot be connected to are probed again within this time while calls need them.
UNREACHABLE_RETRY_AFTER_S = 0.45
#: The configuration and the replicas are received within about a second of the start.
NOT_READY_RETRY_AFTER_S = 0.5

#: An isolated gateway cannot estimate when its connection is restored; another gateway
#: accepts the call sooner.
CONFIG_TOO_OLD_RETRY_AFTER_S = 0.3

#: A relay that stopped responding is replaced within 1.2 s, and another gateway may reach one.
LIMIT_UNKNOWN_RETRY_AFTER_S = 0.3


def for_wait_s(expected_wait_s: float, left_s: float) -> float:
    """Return the delay if a replica has capacity after *expected_wait_s*.

    :param left_s: time that the caller has left, in seconds.
    """
    return min(max(MIN_RETRY_AFTER_S, expected_wait_s), left_s * MAX_RETRY_AFTER_SHARE)


def for_overload_s(queue_wait_s: float, copy_in_s: float | None, left_s: float) -> float:
    """Return the delay if the replicas that hold the model are overloaded.

    They remain overloaded until another copy is loaded, so a caller that retries earlier would
    only be refused again.

    :param queue_wait_s: time until the queue has capacity by itself, in seconds.
    :param copy_in_s: time until a copy being loaded is ready, in seconds; ``None`` without one.
    :param left_s: time that the caller has left, in seconds.
    """
    ready_s = max(0.0, copy_in_s or 0.0) * LOAD_TIME_MARGIN
    return for_wait_s(max(queue_wait_s, ready_s), left_s)


def for_load_s(expected_wait_s: float, left_s: float) -> float:
    """Return the delay if the model is loaded after *expected_wait_s*.

    :param left_s: time that the caller has left, in seconds.
    """
    return for_wait_s(expected_wait_s * LOAD_TIME_MARGIN, left_s)


def for_refusals_s(route: Route) -> float:
    """Return the delay if it is not known how long replicas will keep refusing."""
    return route.objective_s * REFUSED_OBJECTIVE_SHARE
