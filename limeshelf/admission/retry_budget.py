"""How many retries of a service this gateway may make, of those allowed to all gateways.

Owns one budget a service. A call earns a share of a retry; beside that, all gateways
together have an allowance a window, of which each takes an equal part.
"""

from __future__ import annotations

import attrs

from limeshelf.util.clock import boottime_s

#: Share of the allowance that is used; the rest covers clocks and gateways that count one
#: another late.
USED_SHARE = 0.7


@attrs.frozen
class RetryRule:
    """What all gateways together may repeat, from the settings.

    :param ratio: retries for each call.
    :param slack: retries beyond that in a window.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@attrs.define
class RetryBudget:
    """This gateway's part of the retries of one service.

    :param gateways: gateways that share the allowance, this one among them; ``None`` while that
        is not known. Then nothing of it is used: a gateway that starts knows nobody, and so do
        all that start with it.
    """

    rule: RetryRule
    gateways: int | None = None
    _saved: float = 0.0
    _updated_s: float = attrs.field(factory=boottime_s)

    def __attrs_post_init__(self) -> None:
        self._saved = self._half_part()

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

    def _half_part(self) -> float:
        """Return half of this gateway's part of a window's allowance.

        One half may be saved up and the other flows in during a window, so no window
        sees more than the whole part.
        """
        if self.gateways is None:
            return 0.0
        return USED_SHARE * self.rule.slack / self.gateways / 2

    def _limit(self) -> float:
        return max(1.0, self._half_part())

    def _refill(self) -> None:
        now_s = boottime_s()
        per_s = self._half_part() / self.rule.window_s
        self._saved = min(self._limit(), self._saved + (now_s - self._updated_s) * per_s)
        self._updated_s = now_s


class RetryBudgets:
    """The budgets of all services, under the rule in force.

    :ivar gateways: gateways that share each allowance, this one among them; ``None`` while that
        is not known.
    """

    def __init__(self, rule: RetryRule) -> None:
        self.gateways: int | None = None
        self._rule = rule
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = RetryBudget(self._rule, self.gateways)
        budget.gateways = self.gateways
        return budget

    def change_rule(self, rule: RetryRule) -> None:
        """Let another rule bound the retries from now on; budgets begin anew."""
        if rule != self._rule:
            self._rule = rule
            self._by_service.clear()
