"""Stand-in for a model engine: memory, fenced orders, reports and the HTTP handlers.

:mod:`standins.slots` limits concurrent requests, :mod:`standins.answers` builds answers.
"""

from __future__ import annotations

import asyncio
import secrets
import time

import attrs
import msgspec
from aiohttp import web

from limeshelf.standalone.upstreams.messages import (
    EngineReport,
    GenerateRequest,
    HeldItem,
    ItemState,
    Order,
    OrderAction,
    OrderAnswer,
    OrderRefusal,
)
from standins.answers import StreamFaults, answer_lines, last_line
from standins.faults import add_faults, drop, refuse, set_switches
from standins.slots import Slots

#: The newest requests that the record holds.
MAX_RECORDED_RUNS = 50_000


@attrs.define
class EngineModel:
    """Speed and capacity of the engine.

    :param slots: requests that are generated at the same time.
    :param first_token_s: time from being granted a slot to the first token.
    :param token_s: time between tokens; 0 sends them in batches.
    :param load_s: duration of a load.
    :param lag_s: age of the reports.
    """

    capacity_bytes: int = 80 << 30
    slots: int = 16
    first_token_s: float = 0.005
    token_s: float = 0.001
    load_s: float = 0.05
    lag_s: float = 0.1
    checks_fence: bool = True
    tokens_per_write: int = 1


@attrs.define
class OrderFaults:
    """Fault switches: for each fault, the number of following orders that it affects.

    :param lost: the order has no effect and gets no answer.
    :param late: the order takes effect after *late_s* and gets no answer.
    :param doubled: the order takes effect again after *late_s*.
    """

    lost: int = 0
    late: int = 0
    doubled: int = 0
    late_s: float = 1.0


class Engine:
    """One engine with the records that tests check."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self.order_faults = OrderFaults()
        self.stream_faults = StreamFaults()
        self.overcommits: list[dict] = []
        self.orders: list[dict] = []
        self.runs: list[dict] = []
        self.leaving = False
        self.left_at_s = 0.0
        self.slots = Slots()
        self._tasks: set[asyncio.Task] = set()
        self._boot()

    def _boot(self) -> None:
        self.boot_id = secrets.token_hex(6)
        self.items: dict[str, HeldItem] = {}
        self.in_use: dict[str, int] = {}
        self.last_epoch = 0
        self.last_order = 0
        self.sequence = 0
        self.slots.reset()
        self.reports: list[tuple[float, EngineReport]] = []

    # Reports.

    def used_bytes(self) -> int:
        """Return the memory in use."""
        return sum(item.total_bytes for item in self.items.values())

    def report(self) -> EngineReport:
        """Return a report of the current state."""
        self.sequence += 1
        return EngineReport(
            self.boot_id,
            self.sequence,
            self.model.capacity_bytes,
            self.used_bytes(),
            self.slots.running,
            len(self.slots.queue),
            self.leaving,
            self.last_epoch,
            self.last_order,
            list(self.items.values()),
        )

    def lagged_report(self) -> EngineReport:
        """Return the report from *lag_s* ago, or the oldest one there is."""
        now_s = time.monotonic()
        self.reports.append((now_s, self.report()))
        old = [entry for entry in self.reports if entry[0] <= now_s - self.model.lag_s]
        if not old:
            return self.reports[0][1]
        self.reports = self.reports[len(old) - 1 :]
        return old[-1][1]

    # Orders.

    def apply_order(self, order: Order) -> OrderAnswer:
        """Check an order, record it, and carry it out unless it is refused."""
        refusal = self._refusal(order)
        self.orders.append(
            {
                'at_s': time.monotonic(),
                'epoch': order.epoch,
                'number': order.number,
                'action': order.action,
                'item': order.item_id,
                'refusal': refusal,
            }
        )
        if refusal is OrderRefusal.NONE:
            self.last_epoch, self.last_order = order.epoch, order.number
            self._carry_out(order)
        return OrderAnswer(refusal, self.report())

    def _refusal(self, order: Order) -> OrderRefusal:
        if time.time() > order.expires_unix_s:
            return OrderRefusal.EXPIRED
        if self.model.checks_fence:
            if order.boot_id != self.boot_id:
                return OrderRefusal.OTHER_BOOT
            if order.epoch < self.last_epoch:
                return OrderRefusal.OLD_EPOCH
            if (order.epoch, order.number) <= (self.last_epoch, self.last_order):
                return OrderRefusal.OLD_NUMBER
        if order.base_id and order.action is OrderAction.LOAD:
            base = self.items.get(order.base_id)
            if base is None or base.state is not ItemState.READY:
                return OrderRefusal.BASE_MISSING
        return OrderRefusal.NONE

    def _carry_out(self, order: Order) -> None:
        held = self.items.get(order.item_id)
        if order.action is OrderAction.LOAD and held is None:
            self.items[order.item_id] = HeldItem(
                order.item_id, ItemState.LOADING, order.total_bytes
            )
            self._check_memory(order)
            self._spawn(self._finish_load(order.item_id, self.boot_id))
        elif order.action is OrderAction.UNLOAD and held is not None:
            self.items[order.item_id] = attrs.evolve(held, state=ItemState.UNLOADING)
            self._spawn(self._finish_unload(order.item_id, self.boot_id))

    def _check_memory(self, order: Order) -> None:
        used_bytes = self.used_bytes()
        if used_bytes > self.model.capacity_bytes:
            self.overcommits.append(
                {'at_s': time.monotonic(), 'used_bytes': used_bytes, 'item': order.item_id}
            )

    async def _finish_load(self, item_id: str, boot_id: str) -> None:
        await asyncio.sleep(self.model.load_s)
        held = self.items.get(item_id)
        if boot_id == self.boot_id and held is not None and held.state is ItemState.LOADING:
            self.items[item_id] = attrs.evolve(held, state=ItemState.READY)

    async def _finish_unload(self, item_id: str, boot_id: str) -> None:
        while boot_id == self.boot_id and self.in_use.get(item_id, 0) > 0:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        if boot_id == self.boot_id:
            self.items.pop(item_id, None)

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def handle_order(self, request: web.Request) -> web.Response:
        """Handle an order sent over HTTP, with injected faults."""
        order = msgspec.json.decode(await request.read(), type=Order)
        faults = self.order_faults
        if order.action is not OrderAction.FENCE:
            if faults.lost > 0:
                faults.lost -= 1
                return drop(request)
            if faults.late > 0:
                faults.late -= 1
                self._spawn(self._apply_late(order, faults.late_s))
                return drop(request)
            if faults.doubled > 0:
                faults.doubled -= 1
                self._spawn(self._apply_late(order, faults.late_s))
        answer = self.apply_order(order)
        return web.Response(body=msgspec.json.encode(answer))

    async def _apply_late(self, order: Order, late_s: float) -> None:
        await asyncio.sleep(late_s)
        self.apply_order(order)

    async def handle_report(self, request: web.Request) -> web.Response:
        """Return the report delayed by the lag."""
        return web.Response(body=msgspec.json.encode(self.lagged_report()))

    # Requests.

    async def handle_generate(self, request: web.Request) -> web.StreamResponse:
        """Stream generated tokens, one JSON line for each."""
        generation = msgspec.json.decode(await request.read(), type=GenerateRequest)
        if self.leaving:
            return refuse(leaving=True)
        held = self.items.get(generation.item_id)
        if held is None or held.state is not ItemState.READY:
            return refuse(leaving=False)
        self.in_use[generation.item_id] = self.in_use.get(generation.item_id, 0) + 1
        self._record(generation)
        try:
            await self.slots.acquire(generation.priority, self.model.slots)
            try:
                return await self._generate(request, generation)
            finally:
                self.slots.release()
        finally:
            self.in_use[generation.item_id] = max(0, self.in_use.get(generation.item_id, 0) - 1)

    def _record(self, generation: GenerateRequest) -> None:
        self.runs.append(
            {
                'at_s': time.monotonic(),
                'exchange': generation.exchange_id,
                'caller': generation.caller,
                'item': generation.item_id,
                'prompt': generation.prompt[:64],
                'start': generation.start_index,
                'priority': generation.priority,
            }
        )
        del self.runs[:-MAX_RECORDED_RUNS]

    async def _generate(
        self, request: web.Request, generation: GenerateRequest
    ) -> web.StreamResponse:
        boot_id = self.boot_id
        fault = self.stream_faults.next_fault()
        answer = web.StreamResponse()
        await answer.prepare(request)
        await asyncio.sleep(self.model.first_token_s)
        step = max(1, self.model.tokens_per_write)
        for start in range(generation.start_index, generation.max_tokens, step):
            if self.boot_id != boot_id or (fault == 'cut' and start > generation.start_index + 1):
                drop(request)
                return answer
            stop = min(start + step, generation.max_tokens)
            await answer.write(answer_lines(generation, start, stop, fault))
            if self.model.token_s:
                await asyncio.sleep(self.model.token_s)
        await answer.write(last_line(generation))
        await answer.write_eof()
        return answer

    # Control.

    async def handle_leave(self, request: web.Request) -> web.Response:
        """Start draining: refuse new requests, let running ones finish."""
        self.leaving = True
        self.left_at_s = time.monotonic()
        return web.Response()

    async def handle_restart(self, request: web.Request) -> web.Response:
        """Discard all state except the records, as a restarted engine does."""
        self._boot()
        self.leaving = False
        return web.Response()

    async def handle_order_faults(self, request: web.Request) -> web.Response:
        """Set the fault switches for orders."""
        return await set_switches(request, self.order_faults)

    async def handle_stream_faults(self, request: web.Request) -> web.Response:
        """Set the fault switches for answers."""
        return await set_switches(request, self.stream_faults)

    async def handle_model(self, request: web.Request) -> web.Response:
        """Change the speed and capacity of the engine."""
        return await set_switches(request, self.model)

    async def handle_record(self, request: web.Request) -> web.Response:
        """Return the records that tests check."""
        record = {
            'overcommits': self.overcommits,
            'items': [msgspec.to_builtins(item) for item in self.items.values()],
            'orders': self.orders,
            'runs': self.runs,
            'left_at_s': self.left_at_s,
        }
        return web.Response(body=msgspec.json.encode(record))


def engine_app(engine: Engine) -> web.Application:
    """Return the web application of one engine."""
    app = web.Application(client_max_size=64 << 20)
    add_faults(app)
    app.router.add_get('/report', engine.handle_report)
    app.router.add_post('/orders', engine.handle_order)
    app.router.add_post('/v1/generate', engine.handle_generate)
    app.router.add_post('/_leave', engine.handle_leave)
    app.router.add_post('/_restart', engine.handle_restart)
    app.router.add_post('/_order_faults', engine.handle_order_faults)
    app.router.add_post('/_stream_faults', engine.handle_stream_faults)
    app.router.add_post('/_model', engine.handle_model)
    app.router.add_get('/_record', engine.handle_record)
    return app
