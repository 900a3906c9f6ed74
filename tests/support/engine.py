"""A model of an engine, independent of limeshelf's logic, to check placement against."""

from __future__ import annotations

import attrs

from limeshelf.errors import ExchangeBroken, MayHaveRunReason, UpstreamUnreachable
from limeshelf.standalone.upstreams.messages import (
    EngineReport,
    HeldItem,
    ItemState,
    Order,
    OrderAction,
    OrderAnswer,
    OrderRefusal,
)
from tests.support.clock import wall_time_s


class OracleEngine:
    """Models an engine's memory, its fencing and the orders still in transit.

    :ivar transit: orders that were sent but may not have arrived: each may arrive at any time,
        more than once, or never.
    """

    def __init__(self, name: str, capacity_bytes: int, checks_fence: bool, clock) -> None:
        self.name = name
        self.capacity_bytes = capacity_bytes
        self.checks_fence = checks_fence
        self.clock = clock
        self.boots = 0
        self.alive = True
        self.transit: list[Order] = []
        self.next_order = ''
        self.restart()

    def restart(self) -> None:
        self.boots += 1
        self.sequence = 0
        self.items: dict[str, HeldItem] = {}
        self.last = (0, 0)
        self.old_reports: list[EngineReport] = []

    @property
    def used_bytes(self) -> int:
        return sum(item.total_bytes for item in self.items.values())

    def ready(self) -> set[str]:
        return {i.item_id for i in self.items.values() if i.state is ItemState.READY}

    def make_report(self) -> EngineReport:
        self.sequence += 1
        report = EngineReport(
            f'{self.name}-boot{self.boots}',
            self.sequence,
            self.capacity_bytes,
            self.used_bytes,
            0,
            0,
            False,
            *self.last,
            list(self.items.values()),
        )
        self.old_reports.append(report)
        return report

    def take(self, order: Order) -> OrderRefusal:
        if wall_time_s(self.clock) > order.expires_unix_s:
            return OrderRefusal.EXPIRED
        if self.checks_fence:
            if order.boot_id != f'{self.name}-boot{self.boots}':
                return OrderRefusal.OTHER_BOOT
            if order.epoch < self.last[0]:
                return OrderRefusal.OLD_EPOCH
            if (order.epoch, order.number) <= self.last:
                return OrderRefusal.OLD_NUMBER
        self.last = (order.epoch, order.number)
        item = self.items.get(order.item_id)
        if order.action is OrderAction.LOAD and item is None:
            self.items[order.item_id] = HeldItem(
                order.item_id, ItemState.LOADING, order.total_bytes
            )
        elif order.action is OrderAction.UNLOAD and item is not None:
            self.items[order.item_id] = attrs.evolve(item, state=ItemState.UNLOADING)
        return OrderRefusal.NONE

    def finish(self) -> None:
        """Complete all loads and unloads in progress."""
        for item_id, item in list(self.items.items()):
            if item.state is ItemState.LOADING:
                self.items[item_id] = attrs.evolve(item, state=ItemState.READY)
            elif item.state is ItemState.UNLOADING:
                del self.items[item_id]


class OracleClient:
    """The engine client of a placer's worker, backed by an :class:`OracleEngine`."""

    def __init__(self, engine: OracleEngine) -> None:
        self.engine = engine
        self.upstream_id = engine.name
        self.lag = 0

    async def report(self, timeout_s: float) -> EngineReport:
        if not self.engine.alive:
            raise UpstreamUnreachable(self.upstream_id)
        newest = self.engine.make_report()
        old = self.engine.old_reports
        return old[max(0, len(old) - 1 - self.lag)] if self.lag else newest

    async def order(self, order: Order, timeout_s: float) -> OrderAnswer:
        engine = self.engine
        if not engine.alive:
            raise UpstreamUnreachable(self.upstream_id)
        fault, engine.next_order = engine.next_order, ''
        if fault == 'lost':
            raise ExchangeBroken(self.upstream_id, MayHaveRunReason.ANSWER_TIMEOUT)
        if fault == 'transit':
            engine.transit.append(order)
            raise ExchangeBroken(self.upstream_id, MayHaveRunReason.ANSWER_TIMEOUT)
        refusal = engine.take(order)
        if fault == 'doubled':
            engine.transit.append(order)
        if fault == 'answer lost':
            raise ExchangeBroken(self.upstream_id, MayHaveRunReason.CONNECTION_LOST)
        return OrderAnswer(refusal, engine.make_report())


class OraclePool:
    """An upstream pool whose engine clients are backed by oracle engines."""

    def __init__(self, engines: dict[str, OracleEngine]) -> None:
        self.clients = {name: OracleClient(engine) for name, engine in engines.items()}

    def engine(self, upstream) -> OracleClient:
        return self.clients[upstream.listed.instance_id]
