"""Limits this gateway's retries to its share of the retries allowed to all gateways.

Owns one budget per service. Each call earns a fraction of a retry; in addition, all gateways
together have an allowance per window, which they share equally.
"""

from __future__ import annotations

import attrs

from limeshelf.util.clock import boottime_s

#: Share of the allowance that is used; the rest covers clock differences and gateways that notice
#: a change of the number of gateways late.
USED_SHARE = 0.7


@attrs.frozen
class RetryRule:
    """Limit on the retries of all gateways together, from the settings.

    :param ratio: retries per call.
    :param slack: additional retries per window.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@attrs.define
class RetryBudget:
    """This gateway's share of the retries of one service.

    It is empty when the process starts, since the process before may just have spent the share:
    however often gateways restart, together they get what is added over time.

    :param gateways: number of gateways that share the allowance, this one included; ``None`` while
        unknown. In that case the allowance is not used: a starting gateway does not know the
        others, and neither do those that start at the same time.
    :param updated_s: since when the share is added; the start of the process.
    """

    rule: RetryRule
    gateways: int | None = None
    _updated_s: float = attrs.field(factory=boottime_s)
    _balance: float = 0.0

    def record_call(self) -> None:
        """Count a call, which earns a fraction of a retry."""
        self._refill()
        self._balance = min(self._limit(), self._balance + self.rule.ratio * USED_SHARE)

    def try_retry(self) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        self._refill()
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _half_share(self) -> float:
        """Return half of this gateway's share of the allowance of a window.

        Half may accumulate and the other half is added during a window, so no window exceeds the
        whole share.
        """
        if self.gateways is None:
            return 0.0
        return USED_SHARE * self.rule.slack / self.gateways / 2

    def _limit(self) -> float:
        return max(1.0, self._half_share())

    def _refill(self) -> None:
        now_s = boottime_s()
        per_s = self._half_share() / self.rule.window_s
        self._balance = min(self._limit(), self._balance + (now_s - self._updated_s) * per_s)
        self._updated_s = now_s


class RetryBudgets:
    """The budgets of all services, under the current rule.

    :ivar gateways: number of gateways that share each allowance, this one included; ``None`` while
        unknown.
    :ivar since_s: since when retries have been counted under the current rule, on the clock of
        :func:`~limeshelf.util.clock.boottime_s`.
    """

    def __init__(self, rule: RetryRule) -> None:
        self.gateways: int | None = None
        self.since_s = boottime_s()
        self._rule = rule
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = RetryBudget(
                self._rule, self.gateways, self.since_s
            )
        budget.gateways = self.gateways
        return budget

    def change_rule(self, rule: RetryRule) -> None:
        """Apply another rule from now on; budgets are reset if it differs."""
        if rule != self._rule:
            self._rule = rule
            self.since_s = boottime_s()
            self._by_service.clear()
