"""What a limiter lets through: what it knows, and what counts as used where it knows nothing."""

from __future__ import annotations

import pytest

from limeshelf.organisations.limiter import (
    SECOND_SHARE,
    Decision,
    Limiter,
    LimitQuestion,
    Ruling,
)
from limeshelf.organisations.limits import OWN_SHARE, USED_SHARE, LimitRule
from limeshelf.organisations.organisation import UsageLimit

RULE = LimitRule(window_s=8.0, overrun=0.0, slack=0.0, centres=1)
LIMIT = UsageLimit(per_s=1000.0, burst=0.0, in_tokens=True)
#: What the data centre may use in a window, by the first limiter.
PART = USED_SHARE * 8000.0 * (1 - SECOND_SHARE)
LONG_S = 100.0


def limiter(*gateways: str, since_s: float = 0.0, now_s: float = LONG_S) -> Limiter:
    """Return a limiter to which gateways have reported that they use nothing."""
    made = Limiter(RULE, since_s)
    for gateway in gateways:
        made.take_report(gateway, 1, LONG_S, {}, now_s)
    return made


def ask(
    one: Limiter, gateway: str, amount: int, gateways: int = 4, now_s: float = LONG_S
) -> Decision:
    return one.decide(LimitQuestion(gateway, 'acme', LIMIT, amount, gateways), now_s)


def granted(one: Limiter, gateway: str, amount: int = 100, now_s: float = LONG_S) -> int:
    """Return how much a gateway is granted, call by call, until one is refused."""
    total = 0
    while ask(one, gateway, amount, now_s=now_s).ruling is Ruling.WITHIN:
        total += amount
    return total


def test_part_of_a_centre_is_of_what_is_tolerated() -> None:
    rule = LimitRule(window_s=8.0, overrun=0.1, slack=11_000.0, centres=3)
    limit = UsageLimit(per_s=2700.0, burst=2700.0, in_tokens=True)
    tolerated = (2700.0 * 8.0 + 2700.0) * 1.1 + 11_000.0
    assert rule.of_centre(limit) == pytest.approx(USED_SHARE * tolerated / 3)
    assert rule.of_gateway(limit, 20) == pytest.approx(OWN_SHARE * rule.of_centre(limit) / 20)


def test_all_but_the_own_parts_of_others_is_granted() -> None:
    one = limiter('a', 'b', 'c', 'd')
    others = 3 * RULE.of_gateway(LIMIT, 4)
    assert granted(one, 'a') == pytest.approx(PART - others, abs=100)
    assert ask(one, 'b', 100).ruling is Ruling.WITHIN


def test_refusal_says_when_there_is_likely_room() -> None:
    one = limiter('a', 'b', 'c', 'd')
    granted(one, 'a')
    few = ask(one, 'a', 200)
    many = ask(one, 'a', 2000)
    assert few.ruling is many.ruling is Ruling.OVER
    assert 0.0 < few.wait_s < many.wait_s <= RULE.window_s


def test_report_takes_the_place_of_what_was_granted_before_it() -> None:
    one = limiter('a', 'b', 'c', 'd')
    granted(one, 'a')
    one.take_report('a', 1, LONG_S, {'acme': 500}, LONG_S)
    assert granted(one, 'a') > PART / 2


def test_second_limiter_knows_from_the_reports_what_the_first_granted() -> None:
    second = limiter('a', 'b', 'c', 'd')
    for gateway in ('a', 'b'):
        second.take_report(gateway, 1, LONG_S, {'acme': int(0.45 * PART)}, LONG_S)
    assert ask(second, 'c', int(0.1 * PART)).ruling is Ruling.OVER


def test_gateway_that_fell_silent_counts_until_the_window_has_passed() -> None:
    one = limiter('a', 'b', 'c', 'd')
    one.take_report('a', 1, LONG_S, {'acme': int(PART)}, LONG_S)
    for later_s, ruling in ((7.0, Ruling.OVER), (8.5, Ruling.WITHIN)):
        for gateway in ('b', 'c', 'd'):
            one.take_report(gateway, 1, LONG_S, {}, LONG_S + later_s)
        assert ask(one, 'b', 1000, now_s=LONG_S + later_s).ruling is ruling


def test_process_that_started_again_does_not_hide_what_the_one_before_used() -> None:
    one = limiter('a', 'b', 'c', 'd')
    one.take_report('a', 1, LONG_S, {'acme': int(0.8 * PART)}, LONG_S)
    one.take_report('a', 2, 0.1, {}, LONG_S + 1.0)
    assert ask(one, 'b', int(0.3 * PART), now_s=LONG_S + 1.0).ruling is Ruling.OVER
    one.take_report('a', 2, 7.5, {}, LONG_S + 8.5)
    one.take_report('b', 1, LONG_S, {}, LONG_S + 8.5)
    assert ask(one, 'b', int(0.3 * PART), now_s=LONG_S + 8.5).ruling is Ruling.WITHIN


def test_after_a_start_of_all_the_limit_opens_as_the_window_passes() -> None:
    """Nobody knows what was used before, so all of it counts as used, evenly."""
    one = limiter(since_s=LONG_S)
    for gateway in 'abcd':
        one.take_report(gateway, 1, 0.0, {}, LONG_S)
    assert ask(one, 'a', int(0.2 * PART)).ruling is Ruling.OVER
    for gateway in 'abcd':
        one.take_report(gateway, 1, 4.0, {}, LONG_S + 4.0)
    total = sum(granted(one, gateway, now_s=LONG_S + 4.0) for gateway in 'abcd')
    assert total == pytest.approx(PART - 0.5 * RULE.of_centre(LIMIT), abs=400)


def test_calls_at_the_usual_rate_are_served_a_second_after_a_start_of_all() -> None:
    one = limiter(since_s=LONG_S)
    refused = 0
    for tenth in range(10, 80):
        now_s = LONG_S + tenth / 10
        for gateway in 'abcd':
            one.take_report(gateway, 1, tenth / 10, {'acme': 13 * (tenth - 1)}, now_s)
            # 520 a second of 1,000, in calls of 13.
            refused += ask(one, gateway, 13, now_s=now_s).ruling is not Ruling.WITHIN
    assert refused == 0


def test_gateway_that_is_cut_off_does_not_decide_for_the_others() -> None:
    one = limiter('a', 'b', 'c', 'd')
    later_s = LONG_S + 3.0
    one.take_report('a', 1, LONG_S, {}, later_s)
    assert ask(one, 'a', 10, gateways=8, now_s=later_s).ruling is Ruling.UNKNOWN
    one.take_report('b', 1, LONG_S, {}, later_s)
    assert ask(one, 'a', 10, gateways=8, now_s=later_s).ruling is Ruling.WITHIN


def test_second_limiter_grants_a_little_between_two_reports() -> None:
    """Neither sees at once what the other grants."""
    first, second = limiter('a', 'b', 'c', 'd'), limiter('a', 'b', 'c', 'd')
    by_first = granted(first, 'a')
    by_second = 0
    question = LimitQuestion('b', 'acme', LIMIT, 100, 4)
    while second.decide(question, LONG_S, is_first=False).ruling is Ruling.WITHIN:
        by_second += 100
    assert by_second == pytest.approx(SECOND_SHARE * RULE.of_centre(LIMIT), abs=100)
    assert by_first + by_second <= RULE.of_centre(LIMIT)
    second.take_report('b', 1, LONG_S, {'acme': by_second}, LONG_S)
    assert second.decide(question, LONG_S, is_first=False).ruling is Ruling.WITHIN


def test_lowered_limit_lets_through_what_it_allows_while_the_window_holds_more() -> None:
    """Before, nothing was let through until the earlier use had left the window."""
    one = limiter('a', 'b', 'c', 'd')
    granted(one, 'a', 500)
    lowered = UsageLimit(per_s=400.0, burst=0.0, in_tokens=True)
    for later_s, ruling in ((0.5, Ruling.WITHIN), (8.6, Ruling.OVER)):
        now_s = LONG_S + later_s
        for gateway in ('b', 'c', 'd'):
            one.take_report(gateway, 1, LONG_S, {}, now_s)
        used = 5000 if later_s < 8.0 else 3000
        one.take_report('a', 1, LONG_S, {'acme': used}, now_s)
        question = LimitQuestion('b', 'acme', lowered, 300, 4)
        assert one.decide(question, now_s).ruling is ruling
