"""Surplus answers of a faulty replica to orders and polls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.orders.order import OrderKind, OrderOutcome, ReplicaOrder
from limeshelf.platform.orders import ReplicaOrderClient
from standins.users_platform.replica import ReplicaStandIn

if TYPE_CHECKING:
    from aiohttp import web

SURPLUS = b'HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n'


class SurplusReplica(ReplicaStandIn):
    """Sends a surplus answer before the one to each further order on a connection."""

    def __init__(self) -> None:
        super().__init__('e-1', [])
        self._used: set[object] = set()

    async def _order(self, request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport is not None
        if request.transport in self._used:
            request.transport.write(SURPLUS)
        self._used.add(request.transport)
        return await super()._order(request)


def test_surplus_answer_does_not_pass_for_the_answer_to_the_next_order() -> None:
    # A leader took it for the refusal of its order, which the replica carried out.
    async def scenario() -> None:
        replica, client = SurplusReplica(), ReplicaOrderClient()
        address = await replica.start()
        outcomes = []
        for number, model in enumerate(('m1', 'm2', 'm3')):
            order = ReplicaOrder(OrderKind.LOAD, model, '', number, 'g-1', 7)
            outcomes.append((await client.order(address, 'e-1', order)).outcome)
        assert outcomes == [OrderOutcome.TAKEN] * 3
        assert [order.status for order in replica.orders] == [202] * 3
        await client.close()
        await replica.close()

    asyncio.run(scenario())
