"""Which gateways poll the store, and how long the others wait."""

from __future__ import annotations

import pytest

from limeshelf.membership.store_polling import (
    OVERDUE_STEP_S,
    PollingDelays,
    overdue_limit_s,
    polling_order,
    polls_store,
    retry_spread_s,
)

DELAYS = PollingDelays(turn_limit_s=0.3, retry_spread_s=1.5)


@pytest.mark.parametrize(
    ('order', 'overdue_s', 'expected'),
    [
        (0, -1.0, True),
        (2, -1.0, False),
        (2, 2 * OVERDUE_STEP_S, False),
        (2, 2 * OVERDUE_STEP_S + 0.01, True),
    ],
)
def test_store_is_polled_by_the_first_or_when_copies_are_overdue(
    order: int, overdue_s: float, expected: bool
) -> None:
    assert polls_store(order=order, overdue_s=overdue_s, delays=DELAYS) is expected


def test_first_relays_of_all_centres_come_before_the_second_ones() -> None:
    orders = [
        polling_order(rank, centre_index, 3) for rank in range(3) for centre_index in range(3)
    ]
    assert orders == list(range(9))


def test_gateways_that_are_not_relays_retry_less_often() -> None:
    assert retry_spread_s(5, 3, DELAYS) == overdue_limit_s(5, DELAYS)
    assert retry_spread_s(6, 3, DELAYS) == DELAYS.retry_spread_s


def test_overdue_limit_rises_with_the_order_up_to_a_limit() -> None:
    assert overdue_limit_s(0, DELAYS) == 0.0
    assert overdue_limit_s(1, DELAYS) < overdue_limit_s(2, DELAYS)
    assert overdue_limit_s(1000, DELAYS) == DELAYS.turn_limit_s


def test_isolated_gateway_polls_without_delay() -> None:
    assert overdue_limit_s(1000, DELAYS, is_isolated=True) == 0.0
    assert retry_spread_s(1000, 3, DELAYS, is_isolated=True) == 0.0
    assert polls_store(order=1000, overdue_s=0.01, delays=DELAYS, is_isolated=True)
    assert not polls_store(order=1000, overdue_s=-0.01, delays=DELAYS, is_isolated=True)
