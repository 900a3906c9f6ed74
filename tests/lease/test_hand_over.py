"""A lease that is handed over while orders are on their way."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limeshelf.lease.leadership import Leadership
from limeshelf.orders.order import ReplicaUnresponsive
from limeshelf.util.clock import virtual_clock
from tests.lease.test_order_time import LEASE_S, LeaseStore

#: Time that an order takes to be answered, or to be given up.
ORDER_S = 0.1


async def order(leadership: Leadership, is_answered: bool) -> None:
    """Send an order that takes a while."""
    with leadership.orders.sending():
        await asyncio.sleep(ORDER_S)
        if not is_answered:
            raise ReplicaUnresponsive('r-1')


async def hand_over_during_an_order(
    first: Leadership, second: Leadership, is_answered: bool
) -> tuple[int, int]:
    """Return the successor's fence before the order has ended, and after the hand-over."""
    await first.renew_or_acquire()
    ordering = asyncio.create_task(order(first, is_answered))
    await asyncio.sleep(0)
    handing_over = asyncio.create_task(first.hand_over('test'))
    await asyncio.sleep(ORDER_S / 2)
    await second.renew_or_acquire()
    during = second.fence
    await asyncio.gather(ordering, handing_over, return_exceptions=True)
    await second.renew_or_acquire()
    return during, second.fence


@pytest.mark.parametrize(
    ('checked', 'is_answered', 'fences'),
    [(False, True, (0, 2)), (False, False, (0, 0)), (True, True, (2, 2)), (True, False, (2, 2))],
)
def test_lease_is_not_freed_while_an_order_may_still_arrive(
    checked: bool, is_answered: bool, fences: tuple[int, int]
) -> None:
    # Guards against a successor whose orders are overtaken by late ones of the former holder.
    with virtual_clock() as clock:
        store: Any = LeaseStore(clock)
        first, second = (Leadership(store, name, LEASE_S, checked) for name in ('a', 'b'))
        found = asyncio.run(hand_over_during_an_order(first, second, is_answered))
        assert found == fences
        clock.advance(LEASE_S)
        asyncio.run(second.renew_or_acquire())
        assert second.fence == 2
