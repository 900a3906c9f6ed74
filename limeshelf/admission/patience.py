"""How long a call may wait for its first byte.

Two times bound a wait: the route's objective, within which an answer is in time, and
the caller's patience, after which nobody listens. Relies on the route alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: Share of the objective that a call may wait for a model which no replica holds; the rest is
#: left for the answer itself.
HOLD_SHARE = 0.6
#: Where the time of a load is known, no more than this is left for the answer, however long the
#: objective is.
ANSWER_LIMIT_S = 0.5
#: Share of the caller's patience after which a waiting call is refused, so that the refusal
#: still finds it.
PATIENCE_SHARE = 0.85
#: A caller that allows less than this share of the route's time-out has spent the rest on an
#: earlier attempt.
RETURNED_SHARE = 0.97


def hold_left_s(route: Route, waited_s: float) -> float:
    """Return how much longer a call may wait and still be in time, in seconds."""
    return route.objective_s * HOLD_SHARE - waited_s


def announced_left_s(route: Route, waited_s: float) -> float:
    """Return how much longer a call may wait for a load that the leader announced, in seconds."""
    answer_s = min(ANSWER_LIMIT_S, (1.0 - HOLD_SHARE) * route.objective_s)
    return route.objective_s - answer_s - waited_s


def patience_left_s(route: Route, waited_s: float) -> float:
    """Return how much longer the caller waits for the first byte, in seconds."""
    return route.patience_s * PATIENCE_SHARE - waited_s


def has_returned(route: Route, budget_s: float | None) -> bool:
    """Return whether the caller was likely refused before and has come back.

    :param budget_s: how long the caller said it waits, in seconds; ``None`` if it said
        nothing.
    """
    return budget_s is not None and budget_s < RETURNED_SHARE * route.timeout_s
