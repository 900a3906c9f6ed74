"""Retries of one gateway stay within its share of the retries allowed to all gateways."""

from __future__ import annotations

from limeshelf.admission.retry_budget import RetryBudget, RetryBudgets, RetryRule
from limeshelf.util.clock import virtual_clock

RULE = RetryRule(ratio=0.2, slack=50.0, window_s=10.0)
#: Of a site with nine gateways.
GATEWAYS = 9
SITE_RULE = RetryRule(ratio=0.2, slack=58.0, window_s=10.0)
#: Restarts of each gateway within a window.
RESTARTS = 3


def retries(budget: RetryBudget, tries: int = 100) -> int:
    return sum(budget.try_retry() for _ in range(tries))


def test_retries_in_a_window_stay_within_this_gateways_share() -> None:
    with virtual_clock() as clock:
        budget = RetryBudget(RULE, gateways=5)
        clock.advance(RULE.window_s)
        allowed = retries(budget)
        for _ in range(10):
            clock.advance(1.0)
            allowed += retries(budget)
    assert 5 <= allowed <= 0.7 * 50 / 5


def test_calls_earn_retries() -> None:
    with virtual_clock():
        budget = RetryBudget(RetryRule(0.2, 0.0, 10.0), gateways=1)
        assert retries(budget) == 0
        for _ in range(8):
            budget.record_call()
        assert retries(budget) == 1


def test_budgets_are_separate_per_service_and_reset_by_another_rule() -> None:
    with virtual_clock() as clock:
        budgets = RetryBudgets(RULE)
        budgets.gateways = 1
        clock.advance(RULE.window_s)
        assert retries(budgets.of('a')) == 17
        assert retries(budgets.of('a')) == 0
        assert retries(budgets.of('b')) == 17
        budgets.change_rule(RULE)
        assert retries(budgets.of('a')) == 0
        budgets.change_rule(RetryRule(0.2, 100.0, 10.0))
        assert retries(budgets.of('a')) == 0
        clock.advance(RULE.window_s)
        assert retries(budgets.of('a')) == 35


def test_share_shrinks_with_more_gateways() -> None:
    with virtual_clock() as clock:
        budgets = RetryBudgets(RULE)
        budgets.gateways = 1
        clock.advance(RULE.window_s)
        budgets.of('a').record_call()
        budgets.gateways = 10
        budgets.of('a').record_call()
        assert retries(budgets.of('a')) == 1


def test_allowance_is_not_used_while_the_number_of_gateways_is_unknown() -> None:
    with virtual_clock() as clock:
        budget = RetryBudgets(RULE).of('a')
        clock.advance(RULE.window_s)
        assert retries(budget) == 0
        for _ in range(8):
            budget.record_call()
        assert retries(budget) == 1


def test_gateways_that_restart_in_series_stay_within_the_limit_together() -> None:
    """Each one spends what it may, and starts again before the window is over."""
    with virtual_clock() as clock:
        fleet = [RetryBudgets(SITE_RULE) for _ in range(GATEWAYS)]
        clock.advance(SITE_RULE.window_s)
        spent = 0
        for _ in range(RESTARTS + 1):
            for budgets in fleet:
                budgets.gateways = GATEWAYS
                spent += retries(budgets.of('a'))
            fleet = [RetryBudgets(SITE_RULE) for _ in range(GATEWAYS)]
            clock.advance(SITE_RULE.window_s / (RESTARTS + 1))
        assert spent <= SITE_RULE.slack


def test_gateway_that_has_been_running_has_its_share_for_a_service_called_first() -> None:
    with virtual_clock() as clock:
        budgets = RetryBudgets(SITE_RULE)
        budgets.gateways = GATEWAYS
        clock.advance(SITE_RULE.window_s)
        assert retries(budgets.of('a')) == 2
