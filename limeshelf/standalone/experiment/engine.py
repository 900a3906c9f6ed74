"""A model of an engine: continuous batching, prefix cache, memory and load times.

Owns what the engine holds and the requests in it. Stands where a placer has the client of
an engine; relies on the virtual clock.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import UpstreamUnreachable
from limeshelf.standalone.upstreams.messages import (
    EngineReport,
    HeldItem,
    ItemState,
    Order,
    OrderAction,
    OrderAnswer,
    OrderRefusal,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.standalone.config.items import Item
    from limeshelf.util.clock import VirtualClock


@attrs.frozen
class EngineSpeed:
    """Parameters of the engine model, stated in every report of an experiment.

    :param slots: requests that the engine works on at one time.
    :param step_s: time of a batch step that generates a token for each request.
    :param step_each_s: added for each request in the batch.
    :param prefill_each_s: added to a step for each prompt token that joins.
    :param prefix_share_ratio: share of a prompt that its cached prefix saves.
    :param cache_entries: prefixes that the cache holds.
    :param load_each_s: time to load one unit of memory.
    :param report_lag_s: age of reports.

    docs/design/experiments.rst states the defaults.
    """

    slots: int = 32
    step_s: float = 0.014
    step_each_s: float = 0.0004
    prefill_each_s: float = 0.00008
    prefix_share_ratio: float = 0.5
    cache_entries: int = 60
    load_each_s: float = 0.1
    report_lag_s: float = 0.5


@attrs.define
class Work:
    """A request in an engine."""

    item_id: str
    priority: int
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str
    arrived_s: float
    first_s: float = 0.0
    done: Callable[[Work, float], None] | None = None
    first: Callable[[Work, float], None] | None = None


class SimulatedEngine:
    """One engine; :meth:`step` runs a batch step and says when the next is due."""

    def __init__(
        self, name: str, capacity_bytes: int, speed: EngineSpeed, clock: VirtualClock
    ) -> None:
        self.upstream_id = name
        self.capacity_bytes = capacity_bytes
        self.alive = True
        self.moves = {OrderAction.LOAD: 0, OrderAction.UNLOAD: 0}
        self.loaded_bytes = 0
        self.max_used_bytes = 0
        self._speed = speed
        self._clock = clock
        self._items: dict[str, HeldItem] = {}
        self._ready_at_s: dict[str, float] = {}
        self._last = (0, 0)
        self._sequence = 0
        self._reports: list[tuple[float, EngineReport]] = []
        self._steps = 0
        self._numbers = 0
        self._waiting: list[tuple[int, int, Work]] = []
        self._running: list[tuple[int, int, Work]] = []
        self._cache: OrderedDict[str, None] = OrderedDict()

    # What a placer sees.

    async def report(self, timeout_s: float) -> EngineReport:
        """Return a report as old as the lag says."""
        if not self.alive:
            raise UpstreamUnreachable(self.upstream_id)
        return self.lagged_report()

    async def order(self, order: Order, timeout_s: float) -> OrderAnswer:
        """Take an order of the current fence."""
        if not self.alive:
            raise UpstreamUnreachable(self.upstream_id)
        self._last = (order.epoch, order.number)
        if order.action is OrderAction.LOAD:
            self._load(order)
        elif order.action is OrderAction.UNLOAD and order.item_id in self._items:
            del self._items[order.item_id]
            self.moves[OrderAction.UNLOAD] += 1
        return OrderAnswer(OrderRefusal.NONE, self._report())

    def _load(self, order: Order) -> None:
        self._items[order.item_id] = HeldItem(order.item_id, ItemState.LOADING, order.total_bytes)
        delay_s = order.total_bytes * self._speed.load_each_s
        self._ready_at_s[order.item_id] = self._clock.now_s + delay_s
        self.moves[OrderAction.LOAD] += 1
        self.loaded_bytes += order.total_bytes
        used_bytes = sum(item.total_bytes for item in self._items.values())
        self.max_used_bytes = max(self.max_used_bytes, used_bytes)

    def hold_all(self, items: Iterable[Item]) -> None:
        """Hold these items from the start."""
        for item in items:
            self._items[item.item_id] = HeldItem(item.item_id, ItemState.READY, item.total_bytes)

    def lagged_report(self) -> EngineReport:
        """Return the latest report older than the lag."""
        now_s = self._clock.now_s
        self._reports.append((now_s, self._report()))
        old = [r for r in self._reports if r[0] <= now_s - self._speed.report_lag_s]
        if old:
            self._reports = self._reports[len(old) - 1 :]
        return self._reports[0][1]

    def _report(self) -> EngineReport:
        self._sequence += 1
        self._finish_loads()
        used_bytes = sum(item.total_bytes for item in self._items.values())
        return EngineReport(
            f'{self.upstream_id}-boot',
            self._sequence,
            self.capacity_bytes,
            used_bytes,
            len(self._running),
            len(self._waiting),
            False,
            *self._last,
            list(self._items.values()),
        )

    def _finish_loads(self) -> None:
        for item_id, ready_at_s in list(self._ready_at_s.items()):
            if ready_at_s <= self._clock.now_s:
                del self._ready_at_s[item_id]
                held = self._items.get(item_id)
                if held is not None:
                    self._items[item_id] = attrs.evolve(held, state=ItemState.READY)

    # What requests see.

    def holds(self, item_id: str) -> bool:
        """Return whether the item is ready at this moment."""
        self._finish_loads()
        held = self._items.get(item_id)
        return self.alive and held is not None and held.state is ItemState.READY

    def add(self, work: Work) -> None:
        """Queue a request by its priority."""
        self._numbers += 1
        heapq.heappush(self._waiting, (work.priority, self._numbers, work))

    @property
    def is_busy(self) -> bool:
        """Return whether a step would do anything."""
        return self.alive and bool(self._waiting or self._running)

    def step(self) -> float:
        """Run one batch step from now on; return when it ends."""
        joined: list[Work] = []
        while self._waiting and len(self._running) + len(joined) < self._speed.slots:
            joined.append(heapq.heappop(self._waiting)[2])
        prefill = sum(self._prefill_tokens(work) for work in joined)
        batch = len(self._running) + len(joined)
        speed = self._speed
        took_s = speed.step_s + speed.step_each_s * batch + speed.prefill_each_s * prefill
        end_s = self._clock.now_s + took_s
        self._steps += 1
        for work in joined:
            work.first_s = end_s
            if work.first is not None:
                work.first(work, end_s)
            self._numbers += 1
            last_step = self._steps + work.answer_tokens - 1
            heapq.heappush(self._running, (last_step, self._numbers, work))
        while self._running and self._running[0][0] <= self._steps:
            finished = heapq.heappop(self._running)[2]
            if finished.done is not None:
                finished.done(finished, end_s)
        return end_s

    def _prefill_tokens(self, work: Work) -> float:
        if work.prefix_key in self._cache:
            self._cache.move_to_end(work.prefix_key)
            return work.prompt_tokens * (1.0 - self._speed.prefix_share_ratio)
        self._cache[work.prefix_key] = None
        if len(self._cache) > self._speed.cache_entries:
            self._cache.popitem(last=False)
        return float(work.prompt_tokens)

    def die(self) -> list[Work]:
        """Lose everything; return the requests that were cut."""
        self.alive = False
        cut = [entry[2] for entry in (*self._running, *self._waiting)]
        self._running.clear()
        self._waiting.clear()
        self._items.clear()
        return cut
