"""Stand-in for a model engine: memory, fenced orders, batching, streams."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import secrets
import time
import zlib

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
from standins.faults import add_faults, drop, refuse, set_switches

KEPT_RUNS = 50_000


@attrs.define
class EngineModel:
    """How fast and how large the engine is.

    :param slots: requests that generate at one time.
    :param first_token_s: time from a slot to the first token.
    :param token_s: time between tokens; 0 sends them in batches.
    :param load_s: time that a load takes.
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
    """What goes wrong with orders at present, by number of next orders.

    :param lost: have no effect and no answer.
    :param late: take effect after *late_s*, without an answer.
    :param doubled: take effect once more after *late_s*.
    """

    lost: int = 0
    late: int = 0
    doubled: int = 0
    late_s: float = 1.0


@attrs.define
class StreamFaults:
    """What goes wrong with answers at present, by number of next answers.

    :param cut: end without their last lines.
    :param foreign: carry another request's exchange id from the second line on.
    :param skipped: leave out a token.
    :param doubled: send a token twice.
    """

    cut: int = 0
    foreign: int = 0
    skipped: int = 0
    doubled: int = 0


def token_text(caller: str, prompt: str, index: int) -> str:
    """Return the token that every engine gives at *index*: an oracle's answer."""
    return f'{caller}.{zlib.crc32(prompt.encode()):08x}.{index} '


class Engine:
    """One engine and the records that tests read."""

    def __init__(self, name: str, model: EngineModel) -> None:
        self.name = name
        self.model = model
        self.order_faults = OrderFaults()
        self.stream_faults = StreamFaults()
        self.overcommits: list[dict] = []
        self.orders: list[dict] = []
        self.runs: list[dict] = []
        self.leaving = False
        self.left_at_s = 0.0
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        self._boot()

    def _boot(self) -> None:
        self.boot_id = secrets.token_hex(6)
        self.items: dict[str, HeldItem] = {}
        self.in_use: dict[str, int] = {}
        self.last_epoch = 0
        self.last_order = 0
        self.sequence = 0
        self.running = 0
        self.queue: list[tuple[int, int, asyncio.Future]] = []
        self.reports: list[tuple[float, EngineReport]] = []

    # Reports.

    def used_bytes(self) -> int:
        """Return the memory in use."""
        return sum(item.total_bytes for item in self.items.values())

    def report(self) -> EngineReport:
        """Return the state at this moment."""
        self.sequence += 1
        return EngineReport(
            self.boot_id,
            self.sequence,
            self.model.capacity_bytes,
            self.used_bytes(),
            self.running,
            len(self.queue),
            self.leaving,
            self.last_epoch,
            self.last_order,
            list(self.items.values()),
        )

    def lagged_report(self) -> EngineReport:
        """Return a state that is as old as the lag says."""
        now_s = time.monotonic()
        self.reports.append((now_s, self.report()))
        old = [entry for entry in self.reports if entry[0] <= now_s - self.model.lag_s]
        if not old:
            return self.reports[0][1]
        self.reports = self.reports[len(old) - 1 :]
        return old[-1][1]

    # Orders.

    def take_order(self, order: Order) -> OrderAnswer:
        """Check and carry out an order."""
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
        """Take an order over HTTP, with the faults of orders."""
        order = msgspec.json.decode(await request.read(), type=Order)
        faults = self.order_faults
        if order.action is not OrderAction.FENCE:
            if faults.lost > 0:
                faults.lost -= 1
                return drop(request)
            if faults.late > 0:
                faults.late -= 1
                self._spawn(self._late(order, faults.late_s))
                return drop(request)
            if faults.doubled > 0:
                faults.doubled -= 1
                self._spawn(self._late(order, faults.late_s))
        answer = self.take_order(order)
        return web.Response(body=msgspec.json.encode(answer))

    async def _late(self, order: Order, late_s: float) -> None:
        await asyncio.sleep(late_s)
        self.take_order(order)

    async def handle_report(self, request: web.Request) -> web.Response:
        """Return the lagged report."""
        return web.Response(body=msgspec.json.encode(self.lagged_report()))

    # Requests.

    async def handle_generate(self, request: web.Request) -> web.StreamResponse:
        """Generate tokens, each in a line of its own."""
        order = msgspec.json.decode(await request.read(), type=GenerateRequest)
        if self.leaving:
            return refuse(leaving=True)
        held = self.items.get(order.item_id)
        if held is None or held.state is not ItemState.READY:
            return refuse(leaving=False)
        self.in_use[order.item_id] = self.in_use.get(order.item_id, 0) + 1
        self._record(order)
        try:
            await self._wait_for_slot(order.priority)
            try:
                return await self._generate(request, order)
            finally:
                self._free_slot()
        finally:
            self.in_use[order.item_id] = max(0, self.in_use.get(order.item_id, 0) - 1)

    def _record(self, order: GenerateRequest) -> None:
        self.runs.append(
            {
                'at_s': time.monotonic(),
                'exchange': order.exchange_id,
                'caller': order.caller,
                'item': order.item_id,
                'prompt': order.prompt[:64],
                'start': order.start_index,
                'priority': order.priority,
            }
        )
        del self.runs[:-KEPT_RUNS]

    async def _wait_for_slot(self, priority: int) -> None:
        if self.running < self.model.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.queue, (priority, next(self._numbers), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._free_slot()
            raise

    def _free_slot(self) -> None:
        self.running = max(0, self.running - 1)
        while self.queue:
            _, _, turn = heapq.heappop(self.queue)
            if not turn.done():
                self.running += 1
                turn.set_result(None)
                return

    async def _generate(self, request: web.Request, order: GenerateRequest) -> web.StreamResponse:
        boot_id = self.boot_id
        faults = self._next_stream_faults()
        answer = web.StreamResponse()
        await answer.prepare(request)
        await asyncio.sleep(self.model.first_token_s)
        step = max(1, self.model.tokens_per_write)
        for start in range(order.start_index, order.max_tokens, step):
            if self.boot_id != boot_id or (faults == 'cut' and start > order.start_index + 1):
                drop(request)
                return answer
            stop = min(start + step, order.max_tokens)
            await answer.write(self._lines(order, start, stop, faults))
            if self.model.token_s:
                await asyncio.sleep(self.model.token_s)
        end = {'exchange_id': order.exchange_id, 'index': order.max_tokens, 'finish': 'stop'}
        await answer.write(msgspec.json.encode(end) + b'\n')
        await answer.write_eof()
        return answer

    def _next_stream_faults(self) -> str:
        for name in ('cut', 'foreign', 'skipped', 'doubled'):
            left = getattr(self.stream_faults, name)
            if left > 0:
                setattr(self.stream_faults, name, left - 1)
                return name
        return ''

    def _lines(self, order: GenerateRequest, start: int, stop: int, fault: str) -> bytes:
        parts = []
        for index in range(start, stop):
            exchange_id = order.exchange_id
            second = index > order.start_index
            if fault == 'foreign' and second:
                exchange_id = 'x-of-somebody-else'
            if fault == 'skipped' and index == order.start_index + 1:
                continue
            line = {
                'exchange_id': exchange_id,
                'index': index,
                'text': token_text(order.caller, order.prompt, index),
            }
            encoded = msgspec.json.encode(line) + b'\n'
            parts.append(encoded)
            if fault == 'doubled' and index == order.start_index + 1:
                parts.append(encoded)
        return b''.join(parts)

    # Control.

    async def handle_leave(self, request: web.Request) -> web.Response:
        """Start to leave: refuse new work, let running work end."""
        self.leaving = True
        self.left_at_s = time.monotonic()
        return web.Response()

    async def handle_restart(self, request: web.Request) -> web.Response:
        """Forget everything, as a restarted engine does."""
        self._boot()
        self.leaving = False
        return web.Response()

    async def handle_order_faults(self, request: web.Request) -> web.Response:
        """Set faults of orders."""
        return await set_switches(request, self.order_faults)

    async def handle_stream_faults(self, request: web.Request) -> web.Response:
        """Set faults of answers."""
        return await set_switches(request, self.stream_faults)

    async def handle_model(self, request: web.Request) -> web.Response:
        """Change speeds and sizes."""
        return await set_switches(request, self.model)

    async def handle_record(self, request: web.Request) -> web.Response:
        """Return what tests check."""
        record = {
            'overcommits': self.overcommits,
            'items': [msgspec.to_builtins(item) for item in self.items.values()],
            'orders': self.orders,
            'runs': self.runs,
            'left_at_s': self.left_at_s,
        }
        return web.Response(body=msgspec.json.encode(record))


def engine_app(engine: Engine) -> web.Application:
    """Return the app of one engine."""
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
