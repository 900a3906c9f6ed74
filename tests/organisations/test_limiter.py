"""Decisions of a limiter, from reports and from the usage assumed where reports are missing."""

from __future__ import annotations

import pytest

from limeshelf.organisations.limiter import (
    SECOND_SHARE,
    Decision,
    Limiter,
    LimitRequest,
    Ruling,
)
from limeshelf.organisations.limits import OWN_SHARE, USED_SHARE, LimitRule
from limeshelf.organisations.organisation import UsageLimit

RULE = LimitRule(window_s=8.0, overrun=0.0, slack=0.0, centres=1)
LIMIT = UsageLimit(per_s=1000.0, burst=0.0, in_tokens=True)
#: Units that the first limiter may grant in a window.
QUOTA = USED_SHARE * 8000.0 * (1 - SECOND_SHARE)
LONG_S = 100.0


def limiter_with_reports(*gateways: str, since_s: float = 0.0, now_s: float = LONG_S) -> Limiter:
    """Return a limiter to which *gateways* have reported no usage."""
    made = Limiter(RULE, since_s)
    for gateway in gateways:
        made.record_report(gateway, 1, LONG_S, {}, now_s)
    return made


def ask(
    limiter: Limiter, gateway: str, amount: int, gateways: int = 4, now_s: float = LONG_S
) -> Decision:
    return limiter.decide(LimitRequest(gateway, 'acme', LIMIT, amount, gateways), now_s)


def grant_until_refused(
    limiter: Limiter, gateway: str, amount: int = 100, now_s: float = LONG_S
) -> int:
    """Return the units that a gateway is granted, call by call, until one is refused."""
    total = 0
    while ask(limiter, gateway, amount, now_s=now_s).ruling is Ruling.WITHIN:
        total += amount
    return total


def test_quota_of_a_centre_includes_the_tolerance() -> None:
    rule = LimitRule(window_s=8.0, overrun=0.1, slack=11_000.0, centres=3)
    limit = UsageLimit(per_s=2700.0, burst=2700.0, in_tokens=True)
    tolerated = (2700.0 * 8.0 + 2700.0) * 1.1 + 11_000.0
    assert rule.centre_quota(limit) == pytest.approx(USED_SHARE * tolerated / 3)
    assert rule.gateway_quota(limit, 20) == pytest.approx(
        OWN_SHARE * rule.centre_quota(limit) / 20
    )


def test_gateway_is_granted_all_but_the_own_quotas_of_the_others() -> None:
    limiter = limiter_with_reports('a', 'b', 'c', 'd')
    others = 3 * RULE.gateway_quota(LIMIT, 4)
    assert grant_until_refused(limiter, 'a') == pytest.approx(QUOTA - others, abs=100)
    assert ask(limiter, 'b', 100).ruling is Ruling.WITHIN


def test_refusal_states_the_expected_wait() -> None:
    limiter = limiter_with_reports('a', 'b', 'c', 'd')
    grant_until_refused(limiter, 'a')
    few = ask(limiter, 'a', 200)
    many = ask(limiter, 'a', 2000)
    assert few.ruling is many.ruling is Ruling.OVER
    assert 0.0 < few.wait_s < many.wait_s <= RULE.window_s


def test_report_replaces_the_grants_before_it() -> None:
    limiter = limiter_with_reports('a', 'b', 'c', 'd')
    grant_until_refused(limiter, 'a')
    limiter.record_report('a', 1, LONG_S, {'acme': 500}, LONG_S)
    assert grant_until_refused(limiter, 'a') > QUOTA / 2


def test_second_limiter_counts_reported_grants_of_the_first() -> None:
    second = limiter_with_reports('a', 'b', 'c', 'd')
    for gateway in ('a', 'b'):
        second.record_report(gateway, 1, LONG_S, {'acme': int(0.45 * QUOTA)}, LONG_S)
    assert ask(second, 'c', int(0.1 * QUOTA)).ruling is Ruling.OVER


def test_usage_of_a_silent_gateway_counts_until_the_window_has_passed() -> None:
    limiter = limiter_with_reports('a', 'b', 'c', 'd')
    limiter.record_report('a', 1, LONG_S, {'acme': int(QUOTA)}, LONG_S)
    for later_s, ruling in ((7.0, Ruling.OVER), (8.5, Ruling.WITHIN)):
        for gateway in ('b', 'c', 'd'):
            limiter.record_report(gateway, 1, LONG_S, {}, LONG_S + later_s)
        assert ask(limiter, 'b', 1000, now_s=LONG_S + later_s).ruling is ruling


def test_usage_of_the_previous_process_counts_after_a_restart() -> None:
    limiter = limiter_with_reports('a', 'b', 'c', 'd')
    limiter.record_report('a', 1, LONG_S, {'acme': int(0.8 * QUOTA)}, LONG_S)
    limiter.record_report('a', 2, 0.1, {}, LONG_S + 1.0)
    assert ask(limiter, 'b', int(0.3 * QUOTA), now_s=LONG_S + 1.0).ruling is Ruling.OVER
    limiter.record_report('a', 2, 7.5, {}, LONG_S + 8.5)
    limiter.record_report('b', 1, LONG_S, {}, LONG_S + 8.5)
    assert ask(limiter, 'b', int(0.3 * QUOTA), now_s=LONG_S + 8.5).ruling is Ruling.WITHIN


def test_quota_becomes_available_over_a_window_after_a_start_of_all() -> None:
    """Earlier usage is unknown, so the whole quota counts as used and is released evenly."""
    limiter = limiter_with_reports(since_s=LONG_S)
    for gateway in 'abcd':
        limiter.record_report(gateway, 1, 0.0, {}, LONG_S)
    assert ask(limiter, 'a', int(0.2 * QUOTA)).ruling is Ruling.OVER
    for gateway in 'abcd':
        limiter.record_report(gateway, 1, 4.0, {}, LONG_S + 4.0)
    total = sum(grant_until_refused(limiter, gateway, now_s=LONG_S + 4.0) for gateway in 'abcd')
    assert total == pytest.approx(QUOTA - 0.5 * RULE.centre_quota(LIMIT), abs=400)


def test_calls_at_the_usual_rate_are_served_a_second_after_a_start_of_all() -> None:
    limiter = limiter_with_reports(since_s=LONG_S)
    refused = 0
    for tenth in range(10, 80):
        now_s = LONG_S + tenth / 10
        for gateway in 'abcd':
            limiter.record_report(gateway, 1, tenth / 10, {'acme': 13 * (tenth - 1)}, now_s)
            # 520 units a second, of a limit of 1,000, in calls of 13.
            refused += ask(limiter, gateway, 13, now_s=now_s).ruling is not Ruling.WITHIN
    assert refused == 0


def test_gateway_that_is_cut_off_does_not_decide_for_the_others() -> None:
    limiter = limiter_with_reports('a', 'b', 'c', 'd')
    later_s = LONG_S + 3.0
    limiter.record_report('a', 1, LONG_S, {}, later_s)
    assert ask(limiter, 'a', 10, gateways=8, now_s=later_s).ruling is Ruling.UNKNOWN
    limiter.record_report('b', 1, LONG_S, {}, later_s)
    assert ask(limiter, 'a', 10, gateways=8, now_s=later_s).ruling is Ruling.WITHIN


def test_second_limiter_grants_a_small_share_between_two_reports() -> None:
    """Neither limiter sees the grants of the other before the next report."""
    first, second = (
        limiter_with_reports('a', 'b', 'c', 'd'),
        limiter_with_reports('a', 'b', 'c', 'd'),
    )
    by_first = grant_until_refused(first, 'a')
    by_second = 0
    request = LimitRequest('b', 'acme', LIMIT, 100, 4)
    while second.decide(request, LONG_S, is_first=False).ruling is Ruling.WITHIN:
        by_second += 100
    assert by_second == pytest.approx(SECOND_SHARE * RULE.centre_quota(LIMIT), abs=100)
    assert by_first + by_second <= RULE.centre_quota(LIMIT)
    second.record_report('b', 1, LONG_S, {'acme': by_second}, LONG_S)
    assert second.decide(request, LONG_S, is_first=False).ruling is Ruling.WITHIN


def test_lowered_limit_admits_calls_while_the_window_contains_earlier_usage() -> None:
    """Guards against refusing all calls until the usage from before has left the window."""
    limiter = limiter_with_reports('a', 'b', 'c', 'd')
    grant_until_refused(limiter, 'a', 500)
    lowered = UsageLimit(per_s=400.0, burst=0.0, in_tokens=True)
    for later_s, ruling in ((0.5, Ruling.WITHIN), (8.6, Ruling.OVER)):
        now_s = LONG_S + later_s
        for gateway in ('b', 'c', 'd'):
            limiter.record_report(gateway, 1, LONG_S, {}, now_s)
        used = 5000 if later_s < 8.0 else 3000
        limiter.record_report('a', 1, LONG_S, {'acme': used}, now_s)
        request = LimitRequest('b', 'acme', lowered, 300, 4)
        assert limiter.decide(request, now_s).ruling is ruling
