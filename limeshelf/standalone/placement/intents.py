"""Write-ahead log of orders for an engine that does not check the fence.

An intent is an order written to the table before it is sent. Owns the row of one engine;
each write is conditional on the epoch of the lease (docs/design/memory.rst).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from absl import logging

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.services.outages import OUTAGE_LOG_S
from limeshelf.standalone.services.table import Committed, Condition, Write
from limeshelf.standalone.upstreams.messages import Order
from limeshelf.util.clock import wall_s

if TYPE_CHECKING:
    from limeshelf.standalone.lease.keeper import LeaderLease
    from limeshelf.standalone.services.table import TableClient

INTENT_PREFIX = 'intent/'


class IntentLog:
    """The table row with the open intents of one engine.

    A new leader reads the row after it has acquired its epoch. From then on a former leader
    can add no intents, since each write is conditional on the epoch row.
    """

    def __init__(self, table: TableClient, lease: LeaderLease, upstream_id: str) -> None:
        self._table = table
        self._lease = lease
        self._key = f'{INTENT_PREFIX}{upstream_id}'
        self._orders: list[Order] = []

    async def read(self) -> list[Order] | None:
        """Return all intents written, or ``None`` when the table did not answer."""
        try:
            row = await self._table.read(self._key)
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The worker sends the engine no order until a later read succeeds.
            logging.log_every_n_seconds(
                logging.WARNING, '%s state=not_read error=%r', OUTAGE_LOG_S, self._key, error
            )
            return None
        self._orders = msgspec.convert((row.value or {}).get('orders', []), list[Order])
        return list(self._orders)

    async def add(self, order: Order, keep_s: float) -> bool:
        """Write an intent; return whether the write was committed.

        :param keep_s: intents that expired longer ago are removed from the row.
        """
        limit_s = wall_s() - keep_s
        orders = [kept for kept in self._orders if kept.expires_unix_s > limit_s]
        orders.append(order)
        epoch_condition = Condition(self._lease.epoch_key, self._lease.epoch_version)
        value = {'orders': msgspec.to_builtins(orders)}
        try:
            outcome = await self._table.transact([epoch_condition], [Write(self._key, value)])
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The order is not sent. If the intent was written after all, the next leader
            # counts memory for an order that was never sent, which is safe.
            logging.warning('%s state=not_added item=%s error=%r', self._key, order.item_id, error)
            return False
        if not isinstance(outcome, Committed):
            self._lease.supersede()
            return False
        self._orders = orders
        return True
