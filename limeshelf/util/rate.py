"""A token bucket, which limits the rate of actions."""

from __future__ import annotations

import attrs

from limeshelf.util.clock import boottime_s

#: The capacity of a bucket is its rate times this duration.
BURST_S = 1.0


@attrs.define
class TokenBucket:
    """Limits the rate of actions; its capacity allows the actions of one second at once.

    :param rate_per_s: actions a second. Below 1, the capacity is one action.
    """

    rate_per_s: float
    _tokens: float = 1.0
    _updated_s: float = attrs.field(factory=boottime_s)

    def try_take(self) -> bool:
        """Take one token and return whether one was available."""
        now_s = boottime_s()
        self._tokens += (now_s - self._updated_s) * self.rate_per_s
        self._tokens = min(self._tokens, max(1.0, self.rate_per_s * BURST_S))
        self._updated_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
