"""Unit tests of the check before an order is sent."""

from __future__ import annotations

import pytest

from limeshelf.standalone.placement.order_check import OrderCheck, check_order
from limeshelf.standalone.upstreams.messages import Order, OrderAction

ORDER = Order(
    epoch=3,
    number=1,
    boot_id='b',
    action=OrderAction.LOAD,
    item_id='m@1',
    base_id='',
    total_bytes=1,
    expires_unix_s=100.0,
)


@pytest.mark.parametrize('checks_fence', [True, False])
def test_order_of_the_held_epoch_is_sent(checks_fence: bool) -> None:
    assert check_order(ORDER, 3, 99.9, checks_fence, True) is OrderCheck.ALLOWED


@pytest.mark.parametrize('epoch', [None, 2, 4])
def test_order_of_another_epoch_is_not_sent(epoch: int | None) -> None:
    assert check_order(ORDER, epoch, 99.9, True, True) is OrderCheck.OTHER_EPOCH


def test_expired_order_is_not_sent() -> None:
    assert check_order(ORDER, 3, 100.0, True, True) is OrderCheck.EXPIRED


def test_last_holder_orders_only_engines_that_check_the_fence() -> None:
    assert check_order(ORDER, 3, 99.9, True, False) is OrderCheck.ALLOWED
    assert check_order(ORDER, 3, 99.9, False, False) is OrderCheck.LEASE_NOT_VALID
