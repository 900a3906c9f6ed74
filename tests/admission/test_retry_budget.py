"""Retries of one gateway stay within its share of the retries allowed to all gateways."""

from __future__ import annotations

from limeshelf.admission.retry_budget import RetryBudget, RetryBudgets, RetryRule
from limeshelf.util.clock import virtual_clock

RULE = RetryRule(ratio=0.2, slack=50.0, window_s=10.0)


def retries(budget: RetryBudget, tries: int = 100) -> int:
    return sum(budget.try_retry() for _ in range(tries))


def test_retries_in_a_window_stay_within_this_gateways_share() -> None:
    with virtual_clock() as clock:
        budget = RetryBudget(RULE, gateways=5)
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
    with virtual_clock():
        budgets = RetryBudgets(RULE)
        budgets.gateways = 1
        assert retries(budgets.of('a')) == 17
        assert retries(budgets.of('a')) == 0
        assert retries(budgets.of('b')) == 17
        budgets.change_rule(RULE)
        assert retries(budgets.of('a')) == 0
        budgets.change_rule(RetryRule(0.2, 100.0, 10.0))
        assert retries(budgets.of('a')) == 35


def test_share_shrinks_with_more_gateways() -> None:
    with virtual_clock():
        budgets = RetryBudgets(RULE)
        budgets.gateways = 1
        budgets.of('a')
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
