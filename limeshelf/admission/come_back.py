"""The time to come back that a refusal states, in seconds from now.

Owns the rules alone: one function for each kind of refusal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: Callers heed a time to come back up to this share of the time that they have left
#: (the platform's page on requests: a third).
COME_BACK_SHARE = 0.33
#: Sooner than this a caller comes back before anything has changed.
LEAST_COME_BACK_S = 0.2
#: Part of the objective after which a caller comes back where no time is known, so that the
#: next attempt can still be in time.
REFUSED_OBJECTIVE_SHARE = 0.3
#: Callers come back a little later than the model is expected: those that came back before were
#: refused again.
READY_MARGIN = 1.1
#: Another gateway takes the call at once.
STOPPING_COME_BACK_S = 0.05
#: The configuration and the replicas come within about a second of the start.
NOT_READY_COME_BACK_S = 0.5

#: A gateway that is cut off does not know until when; another one takes the call sooner than
#: this one would.
CONFIG_TOO_OLD_COME_BACK_S = 0.3

#: A relay that fell silent is replaced within 1.2 s, and another gateway may hear one.
LIMIT_UNKNOWN_COME_BACK_S = 0.3


def after_wait_s(expected_wait_s: float, left_s: float) -> float:
    """Return when to come back where a replica has room after *expected_wait_s*.

    :param left_s: time that the caller has left, in seconds.
    """
    return min(max(LEAST_COME_BACK_S, expected_wait_s), left_s * COME_BACK_SHARE)


def when_room_s(queue_wait_s: float, copy_in_s: float | None, left_s: float) -> float:
    """Return when to come back where the replicas that hold the model are overloaded.

    They stay so until a further copy is there, so a shorter time would only be refused again.

    :param queue_wait_s: until the queue has room by itself, in seconds.
    :param copy_in_s: until a copy on its way is there, in seconds; ``None`` without one.
    :param left_s: time that the caller has left, in seconds.
    """
    ready_s = max(0.0, copy_in_s or 0.0) * READY_MARGIN
    return after_wait_s(max(queue_wait_s, ready_s), left_s)


def when_ready_s(expected_wait_s: float, left_s: float) -> float:
    """Return when to come back where the model is there after *expected_wait_s*.

    :param left_s: time that the caller has left, in seconds.
    """
    return after_wait_s(expected_wait_s * READY_MARGIN, left_s)


def after_refusals_s(route: Route) -> float:
    """Return when to come back where it is not known how long replicas go on refusing."""
    return route.objective_s * REFUSED_OBJECTIVE_SHARE
