"""Orders to replicas, and the reports that replicas give when asked.

Owns the connections that carry them, apart from those of calls, so that an
order never waits behind a call. Relies on :mod:`limeshelf.platform.replicas` to
read a report. Retries nothing: :mod:`limeshelf.orders.attempts` decides what follows.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from limeshelf.errors import InvalidDocument
from limeshelf.orders.order import (
    OrderOutcome,
    ReplicaOrder,
    ReplicaOrderAnswer,
    ReplicaUnresponsive,
)
from limeshelf.platform.headers import EXPECT_INSTANCE, STATUS_MISDIRECTED, read_notice
from limeshelf.platform.replicas import read_report
from limeshelf.platform.sessions import open_session
from limeshelf.replicas.record import ReplicaReport
from limeshelf.util.sockets import reset_on_close_socket

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.notice import ReplicaNotice

#: Longest time for a new connection.
CONNECT_S = 0.4
#: Longest wait for the whole answer to an order, the connection included.
ANSWER_S = 0.8
#: The same for a report, which needs no slot and comes within milliseconds: a replica that is
#: cut off is known sooner.
REPORT_ANSWER_S = 0.5
#: An unused connection is closed after this time.
IDLE_S = 3.0
#: Connections to one replica: one for an order, one for a report beside it.
CONNECTIONS_PER_REPLICA = 2

STATUS_OK = 200
#: What a replica's answer to an order means; any other status rejects the order.
_OUTCOMES = {
    STATUS_OK: OrderOutcome.HOLDS_ALREADY,
    202: OrderOutcome.TAKEN,
    # Another order is under way, or the replica has taken another number of orders.
    409: OrderOutcome.BUSY_OR_STALE,
    412: OrderOutcome.FENCED_OFF,
    STATUS_MISDIRECTED: OrderOutcome.GONE,
}


class _Order(msgspec.Struct, rename='pascal', omit_defaults=True):
    """The body of an order; its fields are encoded in this sequence."""

    op: str
    model: str
    #: No revision: the number of orders that the replica must have taken so far.
    expected_revision: int
    #: Who orders: the instance that has the lease.
    holder: str
    #: Rises with each term of the lease.
    fencing_token: int
    adapter: str = ''


class ReplicaOrderClient:
    """Implements :class:`limeshelf.orders.order.OrderTransport`.

    :param on_notice: called with the id of a replica and what it asks for in the head of any
        answer. Another replica may have given a misdirected one, which is not heard.
    """

    def __init__(
        self, on_notice: Callable[[str, ReplicaNotice], None] = lambda replica_id, notice: None
    ) -> None:
        self._on_notice = on_notice
        self._session: aiohttp.ClientSession | None = None

    async def report(self, address: str, replica_id: str) -> ReplicaReport:
        """Return a replica's report.

        :raises ReplicaUnresponsive: no usable report came in time.
        """
        status, body = await self._call(
            'GET', address, '/report', replica_id, None, REPORT_ANSWER_S
        )
        if status != STATUS_OK:
            raise ReplicaUnresponsive(replica_id)
        try:
            return read_report(body)
        except InvalidDocument:
            raise ReplicaUnresponsive(replica_id) from None

    async def order(
        self, address: str, replica_id: str, order: ReplicaOrder
    ) -> ReplicaOrderAnswer:
        """Send an order.

        :raises ReplicaUnresponsive: no answer came in time; the order may have been taken.
        """
        body = _Order(
            op=order.kind.value,
            model=order.model,
            expected_revision=order.expected_number,
            holder=order.holder,
            fencing_token=order.fence,
            adapter=order.adapter,
        )
        status, _ = await self._call('POST', address, '/order', replica_id, body, ANSWER_S)
        return ReplicaOrderAnswer(_OUTCOMES.get(status, OrderOutcome.REJECTED), status)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        replica_id: str,
        body: _Order | None,
        limit_s: float,
    ) -> tuple[int, bytes]:
        headers = {EXPECT_INSTANCE: replica_id}
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers['Content-Type'] = 'application/json'
        try:
            async with asyncio.timeout(limit_s):
                async with self._open().request(
                    method, f'http://{address}{path}', data=data, headers=headers
                ) as answer:
                    if answer.status != STATUS_MISDIRECTED:
                        self._on_notice(replica_id, read_notice(answer.status, answer.headers))
                    return answer.status, await answer.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            raise ReplicaUnresponsive(replica_id) from None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(
                CONNECT_S, IDLE_S, reset_on_close_socket, CONNECTIONS_PER_REPLICA
            )
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
