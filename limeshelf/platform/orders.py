"""HTTP client for orders to replicas and for their status reports.

Owns its own connections, separate from those of calls, so that an order never queues
behind a call. Each order has a connection of its own. Relies on
:mod:`limeshelf.platform.replicas` to decode reports. Retries nothing:
:mod:`limeshelf.orders.attempts` decides how to continue after a failure.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from limeshelf.errors import InvalidDocument
from limeshelf.metrics.event_log import log_change
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

#: Timeout for opening a connection.
CONNECT_TIMEOUT_S = 0.4
#: Timeout of an order from connecting to the end of the response.
ORDER_TIMEOUT_S = 0.8
#: Timeout of a report. Reports need no slot and take only milliseconds, so a shorter timeout
#: detects an unreachable replica sooner.
REPORT_TIMEOUT_S = 0.5
#: An idle connection is closed after this time.
KEEPALIVE_S = 3.0
#: Connections to one replica for concurrent reports, and as many for concurrent orders.
CONNECTIONS_PER_REPLICA = 2

STATUS_OK = 200
#: Outcome of an order by the status of the response.
_OUTCOME_BY_STATUS = {
    STATUS_OK: OrderOutcome.HOLDS_ALREADY,
    202: OrderOutcome.TAKEN,
    # Another order is in progress, or the replica has accepted a different number of orders.
    409: OrderOutcome.BUSY_OR_STALE,
    412: OrderOutcome.FENCED_OFF,
    STATUS_MISDIRECTED: OrderOutcome.GONE,
}
#: Other statuses with which a replica rejects an order: those of an order that is wrong, and 503.
_REJECTION_STATUSES = frozenset({*range(400, 500), 503})


class _Order(msgspec.Struct, rename='pascal', omit_defaults=True):
    """The body of an order; its fields are encoded in this order."""

    op: str
    model: str
    #: Not a revision: the number of orders that the replica must have accepted so far.
    expected_revision: int
    #: Instance that holds the lease and sends the order.
    holder: str
    #: Increases with each term of the lease.
    fencing_token: int
    adapter: str = ''


class ReplicaOrderClient:
    """Implements :class:`limeshelf.orders.order.OrderTransport`.

    :param on_notice: called with the id of a replica and the notice in the headers of any
        response, except a misdirected one, which may come from another replica.
    """

    def __init__(
        self, on_notice: Callable[[str, ReplicaNotice], None] = lambda replica_id, notice: None
    ) -> None:
        self._on_notice = on_notice
        self._report_session: aiohttp.ClientSession | None = None
        self._order_session: aiohttp.ClientSession | None = None

    async def report(self, address: str, replica_id: str) -> ReplicaReport:
        """Return a replica's report.

        :raises ReplicaUnresponsive: no valid report arrived before the timeout.
        """
        if self._report_session is None:
            self._report_session = _open_replica_session()
        status, body = await self._call(
            self._report_session, 'GET', address, '/report', replica_id, None, REPORT_TIMEOUT_S
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

        :raises ReplicaUnresponsive: no response arrived before the timeout, or none that says
            what became of the order; the replica may have accepted it.
        """
        body = _Order(
            op=order.kind.value,
            model=order.model,
            expected_revision=order.expected_number,
            holder=order.holder,
            fencing_token=order.fence,
            adapter=order.adapter,
        )
        if self._order_session is None:
            # Answers to orders name no order, so only a connection of its own shows that one is
            # not a surplus answer to an earlier order.
            self._order_session = _open_replica_session(reuses_connections=False)
        status, _ = await self._call(
            self._order_session, 'POST', address, '/order', replica_id, body, ORDER_TIMEOUT_S
        )
        outcome = _OUTCOME_BY_STATUS.get(status)
        if outcome is None and status in _REJECTION_STATUSES:
            outcome = OrderOutcome.REJECTED
        if outcome is None:
            log_change('order_status_unknown', replica=replica_id, status=status)
            raise ReplicaUnresponsive(replica_id)
        return ReplicaOrderAnswer(outcome, status)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        address: str,
        path: str,
        replica_id: str,
        body: _Order | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        headers = {EXPECT_INSTANCE: replica_id}
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers['Content-Type'] = 'application/json'
        try:
            async with asyncio.timeout(timeout_s):
                async with session.request(
                    method, f'http://{address}{path}', data=data, headers=headers
                ) as response:
                    if response.status != STATUS_MISDIRECTED:
                        self._on_notice(replica_id, read_notice(response.status, response.headers))
                    return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            raise ReplicaUnresponsive(replica_id) from None

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._report_session, self._order_session):
            if session is not None:
                await session.close()


def _open_replica_session(*, reuses_connections: bool = True) -> aiohttp.ClientSession:
    return open_session(
        CONNECT_TIMEOUT_S,
        KEEPALIVE_S,
        reset_on_close_socket,
        CONNECTIONS_PER_REPLICA,
        reuses_connections=reuses_connections,
    )
