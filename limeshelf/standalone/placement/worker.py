"""Sends the orders of the leading placer to one engine and reads its reports.

Owns the queue of orders, their numbers and the epoch to which the engine's fence was raised.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import attrs
from absl import logging

from limeshelf.errors import ExchangeBroken, UpstreamRefused, UpstreamUnreachable
from limeshelf.standalone.placement.order_check import OrderCheck, check_order
from limeshelf.standalone.upstreams.messages import EngineReport, Order, OrderAction, OrderRefusal
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s, wall_s

if TYPE_CHECKING:
    from limeshelf.metrics.statsd import Metrics
    from limeshelf.settings.model import PlacerSettings
    from limeshelf.standalone.lease.keeper import LeaderLease
    from limeshelf.standalone.membership.upstreams import Upstream
    from limeshelf.standalone.placement.intents import IntentLog
    from limeshelf.standalone.placement.ledger import Ledger
    from limeshelf.standalone.upstreams.pool import UpstreamPool

#: Timeout of one order or report: two rounds at the default of placer.round_s.
EXCHANGE_TIMEOUT_S = 1.0


@attrs.frozen
class UnnumberedOrder:
    """An order before the worker assigns its number, epoch and expiry."""

    action: OrderAction
    item_id: str
    base_id: str
    total_bytes: int


class EngineWorker:
    """Sends orders to one engine, in one task.

    Before the first order of an epoch the worker raises the engine's fence to that epoch, after
    which the engine refuses all orders of earlier leaders. If the engine checks no fence, the
    worker counts the intents of earlier leaders as open orders instead.
    """

    def __init__(
        self,
        upstream: Upstream,
        pool: UpstreamPool,
        ledger: Ledger,
        lease: LeaderLease,
        intents: IntentLog,
        settings: PlacerSettings,
        metrics: Metrics,
    ) -> None:
        self.upstream = upstream
        self.ledger = ledger
        self.reported_s = float('-inf')
        self._pool = pool
        self._lease = lease
        self._intents = intents
        self._settings = settings
        self._metrics = metrics
        self._queue: deque[Order] = deque()
        self._arrived = asyncio.Event()
        self._ready_for: tuple[int, str] | None = None
        self._number = 0

    @property
    def is_ready(self) -> bool:
        """Return whether the ledger counts all earlier orders, so that new ones may be sent."""
        if self.ledger.report is None or self._lease.epoch is None:
            return False
        # A restarted engine has lost its fence, which must be raised again.
        return self._ready_for == (self._lease.epoch, self.ledger.report.boot_id)

    @property
    def _order_resolution_s(self) -> float:
        """Return how long after its creation an order may still take effect."""
        return self._settings.order_life_s + self._settings.clock_margin_s

    def submit(self, draft: UnnumberedOrder) -> None:
        """Number *draft*, count it in the ledger and queue it for sending."""
        order = self._numbered(draft)
        self.ledger.add_order(order, boottime_s() + self._order_resolution_s)
        self._queue.append(order)
        self._arrived.set()

    async def run(self) -> None:
        """Read reports and send orders until cancelled."""
        while True:
            try:
                await self.step()
            except UpstreamRefused:
                self._metrics.count('placement.exchange_refused')
            except (UpstreamUnreachable, ExchangeBroken):
                self._metrics.count('placement.exchange_failed')
            await self._pause()

    async def _pause(self) -> None:
        if self._queue:
            return
        self._arrived.clear()
        try:
            await asyncio.wait_for(self._arrived.wait(), jittered_s(self._settings.round_s / 2))
        except TimeoutError:
            return

    async def step(self) -> None:
        """Prepare the engine for a new epoch if needed, send queued orders and read a report."""
        if self._lease.epoch is None:
            self._discard_epoch()
        elif not self.is_ready:
            await self._take_over(self._lease.epoch)
        while self._queue:
            await self._send(self._queue.popleft())
        self._fence_lost_orders()
        report = await self._pool.engine(self.upstream).report(EXCHANGE_TIMEOUT_S)
        self._record_report(report)

    def _discard_epoch(self) -> None:
        self._ready_for = None
        for order in self._queue:
            self.ledger.remove_order(order)
        self._queue.clear()

    async def _take_over(self, epoch: int) -> None:
        self._discard_epoch()
        self._number = 0
        report = await self._pool.engine(self.upstream).report(EXCHANGE_TIMEOUT_S)
        self._record_report(report)
        if not self.ledger.checks_fence:
            await self._count_intents(epoch)
            return
        fence = self._numbered(UnnumberedOrder(OrderAction.FENCE, '', '', 0), epoch)
        answer = await self._pool.engine(self.upstream).order(fence, EXCHANGE_TIMEOUT_S)
        self._record_report(answer.report)
        if answer.refusal is OrderRefusal.NONE:
            self._ready_for = (epoch, answer.report.boot_id)
            logging.info('upstream=%s fence=%d', self.upstream.upstream_id, epoch)
        elif answer.refusal is OrderRefusal.OLD_EPOCH:
            self._lease.supersede()

    async def _count_intents(self, epoch: int) -> None:
        orders = await self._intents.read()
        if orders is None:
            return
        # The expiry on the wall clock is not used: however the clocks of both leaders differ,
        # no order takes effect after this time.
        for order in orders:
            self.ledger.add_order(order, boottime_s() + self._order_resolution_s)
        self._ready_for = (epoch, self.ledger.report.boot_id if self.ledger.report else '')

    def _numbered(self, draft: UnnumberedOrder, epoch: int | None = None) -> Order:
        self._number += 1
        report = self.ledger.report
        return Order(
            epoch=epoch if epoch is not None else self._lease.epoch or 0,
            number=self._number,
            boot_id=report.boot_id if report else '',
            action=draft.action,
            item_id=draft.item_id,
            base_id=draft.base_id,
            total_bytes=draft.total_bytes,
            expires_unix_s=wall_s() + self._settings.order_life_s,
        )

    async def _send(self, order: Order) -> None:
        check = await self._check(order)
        if check is not OrderCheck.ALLOWED:
            self.ledger.remove_order(order)
            self._log_unsent(order, check)
            return
        self._metrics.count(f'placement.orders.{order.action}')
        answer = await self._pool.engine(self.upstream).order(order, EXCHANGE_TIMEOUT_S)
        self._record_report(answer.report)
        if answer.refusal is OrderRefusal.NONE:
            return
        self._metrics.count(f'placement.refused.{answer.refusal}')
        logging.info(
            'upstream=%s order=%d/%d item=%s refused=%s',
            self.upstream.upstream_id,
            order.epoch,
            order.number,
            order.item_id,
            answer.refusal,
        )
        if answer.refusal is OrderRefusal.OLD_EPOCH:
            self._lease.supersede()

    def _log_unsent(self, order: Order, check: OrderCheck) -> None:
        logging.info(
            'upstream=%s order=%d/%d item=%s unsent=%s',
            self.upstream.upstream_id,
            order.epoch,
            order.number,
            order.item_id,
            check,
        )

    async def _check(self, order: Order) -> OrderCheck:
        checks_fence = self.ledger.checks_fence
        check = check_order(
            order, self._lease.epoch, wall_s(), checks_fence, self._lease.is_valid()
        )
        if check is not OrderCheck.ALLOWED or checks_fence:
            return check
        if not await self._intents.add(order, self._settings.clock_margin_s):
            return OrderCheck.INTENT_NOT_WRITTEN
        # The lease may have expired during the write.
        return OrderCheck.ALLOWED if self._lease.is_valid() else OrderCheck.LEASE_NOT_VALID

    def _fence_lost_orders(self) -> None:
        """Submit a fence order, whose report resolves open orders older than their lifetime."""
        if not self.is_ready or not self.ledger.checks_fence:
            return
        limit_s = boottime_s() - self._settings.order_life_s
        stuck = [
            o
            for o in self.ledger.open_orders
            if o.resolved_after_s - self._order_resolution_s < limit_s
        ]
        if stuck and not self._queue:
            self._metrics.count('placement.orders_lost')
            self.submit(UnnumberedOrder(OrderAction.FENCE, '', '', 0))

    def _record_report(self, report: EngineReport) -> None:
        self.ledger.record_report(report, boottime_s())
        self.reported_s = boottime_s()
