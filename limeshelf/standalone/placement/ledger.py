"""Counts the bytes of an engine's memory that may be in use.

Owns the engine's last report and the orders that may still take effect; decides whether
a load fits (docs/design/memory.rst).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.upstreams.messages import ItemState, OrderAction

if TYPE_CHECKING:
    from limeshelf.standalone.upstreams.messages import EngineReport, Order


@attrs.frozen
class OpenOrder:
    """An order that may still take effect.

    :param resolved_after_s: boot clock time after which the order can no longer take
        effect, so that a report shows its outcome; used if the engine checks no fence.
    """

    order: Order
    resolved_after_s: float


class Ledger:
    """Upper bound of the memory in use on one engine.

    The bound is the last report plus all open loads. If the engine checks the fence, an
    open order is resolved once a report covers its number: from then on the engine refuses
    lower numbers and lower epochs. If it does not, an order is resolved only by its expiry.

    :param checks_fence: whether the engine refuses old epochs and numbers.
    """

    def __init__(self, checks_fence: bool) -> None:
        self.checks_fence = checks_fence
        self.report: EngineReport | None = None
        self.open_orders: list[OpenOrder] = []

    def record_report(self, report: EngineReport, now_s: float) -> bool:
        """Record *report* if it is newer than the last one; return whether it is."""
        known = self.report
        same_boot = known is not None and known.boot_id == report.boot_id
        if same_boot and known is not None and report.sequence <= known.sequence:
            return False
        self.report = report
        self.open_orders = [o for o in self.open_orders if not self._is_resolved(o, now_s)]
        return True

    def add_order(self, order: Order, resolved_after_s: float) -> None:
        """Count *order* as open; must be called before the order is sent."""
        self.open_orders.append(OpenOrder(order, resolved_after_s))

    def remove_order(self, order: Order) -> None:
        """Stop counting *order*, which was certainly never sent."""
        self.open_orders = [o for o in self.open_orders if o.order is not order]

    def _is_resolved(self, entry: OpenOrder, now_s: float) -> bool:
        assert self.report is not None
        if not self.checks_fence:
            return now_s > entry.resolved_after_s
        order = entry.order
        # The engine refuses an order that names another boot, so a restart resolves it.
        if order.boot_id != self.report.boot_id:
            return True
        covered = (self.report.last_epoch, self.report.last_order)
        return (order.epoch, order.number) <= covered

    @property
    def possible_bytes(self) -> int:
        """Return the bytes that may be in use."""
        return sum(self._possible_items().values())

    @property
    def free_bytes(self) -> int:
        """Return the bytes that are certainly free; 0 before the first report."""
        if self.report is None:
            return 0
        return max(0, self.report.capacity_bytes - self.possible_bytes)

    def may_load(self, item_id: str, total_bytes: int) -> bool:
        """Return whether the item fits beside all items that may be in memory."""
        if self.report is None:
            return False
        extra_bytes = max(0, total_bytes - self._possible_items().get(item_id, 0))
        return self.possible_bytes + extra_bytes <= self.report.capacity_bytes

    def possible_ids(self) -> set[str]:
        """Return the items that may be in memory."""
        return set(self._possible_items())

    def sure_ids(self) -> set[str]:
        """Return the items that are ready and that no open order unloads."""
        if self.report is None:
            return set()
        unloading = {
            entry.order.item_id
            for entry in self.open_orders
            if entry.order.action is OrderAction.UNLOAD
        }
        ready = {i.item_id for i in self.report.items if i.state is ItemState.READY}
        return ready - unloading

    def held_bytes(self) -> dict[str, int]:
        """Return the bytes of each item in memory, as last reported."""
        held = self.report.items if self.report else []
        return {item.item_id: item.total_bytes for item in held}

    def open_ids(self, action: OrderAction) -> set[str]:
        """Return the items that open orders of this kind name."""
        return {o.order.item_id for o in self.open_orders if o.order.action is action}

    def loading_count(self) -> int:
        """Return the number of loads that may be running."""
        reported = self.report.items if self.report else []
        loading = {i.item_id for i in reported if i.state is ItemState.LOADING}
        held = {i.item_id for i in reported}
        return len(loading | (self.open_ids(OrderAction.LOAD) - held))

    def _possible_items(self) -> dict[str, int]:
        items: dict[str, int] = {}
        if self.report is not None:
            for held in self.report.items:
                items[held.item_id] = held.total_bytes
        for entry in self.open_orders:
            order = entry.order
            if order.action is OrderAction.LOAD:
                items[order.item_id] = max(items.get(order.item_id, 0), order.total_bytes)
        return items
