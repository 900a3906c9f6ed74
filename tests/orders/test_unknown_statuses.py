"""Answers to orders whose status does not say what became of the order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from limeshelf.orders.order import OrderKind, OrderOutcome, ReplicaOrder, ReplicaUnresponsive
from limeshelf.platform.orders import ReplicaOrderClient
from standins.users_platform.replica import ReplicaStandIn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ORDER = ReplicaOrder(OrderKind.LOAD, 'm1', '', 0, 'g-1', 7)


class OddReplica(ReplicaStandIn):
    """Carries out each order, and answers with a status of its own."""

    def __init__(self, status: int) -> None:
        super().__init__('e-1', [])
        self._status = status

    async def _order(self, request: web.BaseRequest) -> web.StreamResponse:
        await super()._order(request)
        return web.Response(status=self._status)


def run(status: int, scenario: Callable[[ReplicaOrderClient, str], Awaitable[None]]) -> None:
    async def run_scenario() -> None:
        replica, client = OddReplica(status), ReplicaOrderClient()
        await scenario(client, await replica.start())
        await client.close()
        await replica.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize('status', [0, 204, 299, 302, 500, 502, 504])
def test_order_with_an_odd_status_does_not_count_as_without_effect(status: int) -> None:
    async def scenario(client: ReplicaOrderClient, address: str) -> None:
        with pytest.raises(ReplicaUnresponsive):
            await client.order(address, 'e-1', ORDER)

    run(status, scenario)


@pytest.mark.parametrize('status', [400, 429, 503])
def test_refused_order_is_rejected(status: int) -> None:
    async def scenario(client: ReplicaOrderClient, address: str) -> None:
        assert (await client.order(address, 'e-1', ORDER)).outcome is OrderOutcome.REJECTED

    run(status, scenario)
