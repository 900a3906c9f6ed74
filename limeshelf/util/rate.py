"""A token bucket: allows actions at a rate, and refuses beyond it."""

from __future__ import annotations

import attrs

from limeshelf.util.clock import boottime_s

#: Tokens of this much time are saved up while none is taken.
BURST_S = 1.0


@attrs.define
class TokenBucket:
    """Allows a number of actions a second, with a burst of one second's worth.

    :param rate_per_s: actions a second. Below 1, one action is saved up at the most.
    """

    rate_per_s: float
    _saved: float = 1.0
    _updated_s: float = attrs.field(factory=boottime_s)

    def try_take(self) -> bool:
        """Take one token if the rate allows it now."""
        now_s = boottime_s()
        self._saved += (now_s - self._updated_s) * self.rate_per_s
        self._saved = min(self._saved, max(1.0, self.rate_per_s * BURST_S))
        self._updated_s = now_s
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
