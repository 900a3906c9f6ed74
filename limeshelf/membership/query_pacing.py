"""When a gateway may query another one for rows.

An answer may be large and take a while on the way. Whoever asked on meanwhile would receive the
same rows several times, and its link, and those of the gateways that answer, would be full of
them. So there is one query at a time, and the next one after a time-out that grows while no answer
comes.
"""

from __future__ import annotations

import attrs

from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s

#: Time-out for the first answer...
BASE_TIMEOUT_S = 0.25
#: ...and for later ones, at most: the gateway that was asked may have failed.
MAX_TIMEOUT_S = 1.0


@attrs.define
class QueryPacing:
    """Allows one query for rows at a time."""

    _due_s: float = 0.0
    _unanswered: int = 0

    def may_query(self) -> bool:
        """Return whether no answer is awaited."""
        return boottime_s() >= self._due_s

    def record_query(self) -> None:
        """Record that a query is sent."""
        timeout_s = min(MAX_TIMEOUT_S, BASE_TIMEOUT_S * 2.0**self._unanswered)
        self._unanswered += 1
        self._due_s = boottime_s() + jittered_s(timeout_s)

    def record_answer(self) -> None:
        """Record that an answer came, whatever it contained."""
        self._unanswered = 0
        self._due_s = 0.0
