"""Retries of one service: a share of the calls and a part of a common allowance."""

from __future__ import annotations

import attrs

from limeshelf.util.clock import boottime_s

#: Part of the allowance that is used; the rest covers clocks and late peers.
USED_SHARE = 0.7


@attrs.frozen
class RetryRule:
    """What all entry instances together may repeat.

    :param ratio: retries for each call.
    :param slack: retries beyond that in a window.
    """

    ratio: float
    slack: float
    window_s: float


@attrs.define
class RetryBudget:
    """Allows this process's part of the retries of one service.

    :param sharers: entry instances that share the allowance.
    """

    rule: RetryRule
    sharers: int = 1
    _saved: float = 0.0
    _updated_s: float = attrs.field(factory=boottime_s)

    def __attrs_post_init__(self) -> None:
        self._saved = self._limit()

    def _limit(self) -> float:
        return max(1.0, USED_SHARE * self.rule.slack / max(1, self.sharers) / 2)

    def note_call(self) -> None:
        """Count a call, which earns a part of a retry."""
        self._refill()
        self._saved = min(self._limit(), self._saved + self.rule.ratio * USED_SHARE)

    def try_retry(self) -> bool:
        """Take one retry if the budget holds one."""
        self._refill()
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _refill(self) -> None:
        now_s = boottime_s()
        per_s = USED_SHARE * self.rule.slack / max(1, self.sharers) / 2 / self.rule.window_s
        self._saved = min(self._limit(), self._saved + (now_s - self._updated_s) * per_s)
        self._updated_s = now_s
