"""The time to come back that a refusal states, in seconds from now.

Owns the rules alone: one function for each kind of refusal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.admission.patience import HOLD_SHARE

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: Callers heed a time to come back up to this share of the time that they have left
#: (the platform's page on requests: a third).
COME_BACK_SHARE = 0.33
#: Sooner than this a caller comes back before anything has changed. Chosen in 07266d4,
#: not measured.
LEAST_COME_BACK_S = 0.2
#: Part of the longest hold after which a caller comes back where no time is known, so
#: that the next attempt can still be in time. Chosen in a904fff, not measured.
REFUSED_HOLD_SHARE = 0.5
#: Callers come back a little later than the model is expected: those that came back
#: before were refused again (f5a28b7; the factor is chosen, not measured).
READY_MARGIN = 1.1
#: Another gateway takes the call at once. Chosen in a904fff, not measured.
STOPPING_COME_BACK_S = 0.05
#: The configuration and the replicas come within about a second of the start. Chosen in
#: a904fff, not measured.
NOT_READY_COME_BACK_S = 0.5


def after_wait_s(expected_wait_s: float, left_s: float) -> float:
    """Return when to come back where a replica has room after *expected_wait_s*.

    :param left_s: time that the caller has left, in seconds.
    """
    return min(max(LEAST_COME_BACK_S, expected_wait_s), left_s * COME_BACK_SHARE)


def when_ready_s(expected_wait_s: float, left_s: float) -> float:
    """Return when to come back where the model is there after *expected_wait_s*.

    :param left_s: time that the caller has left, in seconds.
    """
    return after_wait_s(expected_wait_s * READY_MARGIN, left_s)


def after_refusals_s(route: Route) -> float:
    """Return when to come back where it is not known how long replicas go on refusing."""
    return route.objective_s * HOLD_SHARE * REFUSED_HOLD_SHARE
