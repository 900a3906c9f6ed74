"""Stand-in for a replica of the users' platform: calls, streams, orders and reports."""

from __future__ import annotations

import asyncio
import enum
import re
import socket
import struct
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

#: Valid names of adapters; an order with another name is refused, and its fence ignored.
VALID_ADAPTER = re.compile(r'a\d+')
#: Size of the unterminated event that ``ENDLESS_EVENT`` sends before the stream stalls.
ENDLESS_EVENT_BYTES = 2 << 20
#: Status with which a replica without capacity refuses a call.
STATUS_FULL = 503


#: Time from the answer to an order until its load begins.
LOAD_START_DELAY_S = 0.05


class Fault(enum.StrEnum):
    """Faults that a replica injects into its answers to calls."""

    NONE = 'none'
    FULL = 'full'
    FOREIGN = 'foreign'
    UNSIGNED = 'unsigned'
    ENCODED = 'encoded'
    RESET_MIDWAY = 'reset_midway'
    RESET_UNFRAMED = 'reset_unframed'
    RESET_AT_ONCE = 'reset_at_once'
    RESET_FIRST = 'reset_first'
    SILENT = 'silent'
    ERROR = 'error'
    HALF_EVENT = 'half_event'
    ENDLESS_EVENT = 'endless_event'


@attrs.define
class ReceivedCall:
    """A call as it was received.

    :ivar at_s: time of arrival on the clock of the event loop.
    """

    call_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float = attrs.field(factory=lambda: asyncio.get_running_loop().time())


@attrs.define
class ReceivedOrder:
    """An order as it was received, with the status of its answer."""

    op: str
    model: str
    adapter: str
    expected: int | None
    fence: int
    status: int
    holder: str = ''


@attrs.define
class ReplicaNotices:
    """Notices that a replica sends in the headers of its answers.

    :ivar rate_per_s: calls a second that it accepts from all gateways together, as text.
    :ivar leaving: whether it asks for no further calls.
    :ivar retry_after_s: seconds for which a gateway that it refused must send no calls, as text.
    :ivar rejections_per_s: rejections a second beyond which it falls over, as text.
    :ivar call_answers_only: whether reports and answers to orders carry no notices.
    """

    rate_per_s: str | None = None
    leaving: bool = False
    retry_after_s: str | None = None
    call_answers_only: bool = False
    rejections_per_s: str | None = None

    def headers(self, status: int) -> dict[str, str]:
        """Return the headers with these notices for an answer with *status*."""
        headers = {}
        if self.rate_per_s is not None:
            headers['Server-Limit'] = self.rate_per_s
        if self.rejections_per_s is not None:
            headers['Server-Brittle'] = self.rejections_per_s
        if self.leaving:
            headers['Server-Leaving'] = '1'
        if self.retry_after_s is not None and status == STATUS_FULL:
            headers['Retry-After'] = self.retry_after_s
        return headers


@attrs.define
class SentNotices:
    """Notices that a replica sent with its answer to a call.

    :ivar at_s: time at which the answer began, on the clock of the event loop.
    """

    call_id: str
    notices: ReplicaNotices
    status: int
    at_s: float = attrs.field(factory=lambda: asyncio.get_running_loop().time())


#: Interval between the events of an answer that ends with a crash.
CRASHING_EVENT_INTERVAL_S = 0.02


def _reset(transport: asyncio.Transport) -> None:
    """Close a connection with a TCP reset, as a crash does."""
    raw = transport.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    transport.abort()


def _answer_headers(call_id: str, fault: Fault) -> dict[str, str]:
    """Return the headers of an answer, with the error that *fault* injects."""
    headers = {'Limeshelf-Attempt-Id': call_id, 'Limeshelf-Server-Stamp': f's.{call_id}'}
    if fault is Fault.FOREIGN:
        headers['Limeshelf-Attempt-Id'] = 'another'
    if fault is Fault.UNSIGNED:
        del headers['Limeshelf-Server-Stamp']
    if fault is Fault.ENCODED:
        headers['Content-Encoding'] = 'x-odd'
    return headers


class ReplicaStandIn:
    """A replica that can crash and restart under the same id.

    :param replica_id: calls that expect another id are answered with 421.
    :param events: number of events in a complete stream.
    :ivar version: version of its software, in its row.
    :ivar born_ms: start time in its row and reports; ``None`` leaves it out.
    :ivar restarts: number of restarts.
    :ivar restart_times_s: times of the restarts on the clock of the event loop.
    :ivar crash_text: the replica crashes when it runs a call whose body contains this.
    :ivar crash_delay_s: time from running that call to the crash, in seconds.
    :ivar crash_after_answer_s: if set, the replica streams events for this long before the crash.
    :ivar crash_model: the replica crashes when it begins to load this model.
    :ivar on_crash: called after either of these crashes.
    :ivar notices: notices that it sends with its answers.
    :ivar sent_notices: notices that it has sent with answers to calls.
    """

    def __init__(self, replica_id: str, models: list[str] | None = None, events: int = 5) -> None:
        self.replica_id = replica_id
        self.fault = Fault.NONE
        #: Number of following calls that the fault affects; ``None`` for all.
        self.fault_calls: int | None = None
        self.models: dict[str, list[str]] = {name: [] for name in models or []}
        self.events = events
        self.event_s = 0.0
        #: Size to which plain answers are padded.
        self.answer_bytes = 0
        self.received_calls: list[ReceivedCall] = []
        self.runs: list[str] = []
        self.orders: list[ReceivedOrder] = []
        self.order_number = 0
        self.highest_fence = 0
        self.load_s = 0.0
        self.order_fault = Fault.NONE
        self.order_delay_s = 0.0
        self.abandoned = 0
        #: Highest number of models and adapters held or being loaded at the same time.
        self.peak_models = len(self.models)
        self.peak_adapters = 0
        self.address = ''
        self.version = 'v1'
        self.born_ms: int | None = None
        self.restarts = 0
        self.restart_times_s: list[float] = []
        self.crash_text: bytes | None = None
        self.crash_delay_s = 0.0
        self.crash_after_answer_s: float | None = None
        self.crash_model = ''
        self._crash_tasks: set[asyncio.Task[None]] = set()
        self.on_crash: Callable[[ReplicaStandIn], None] = lambda replica: None
        self.notices = ReplicaNotices()
        #: Calls that it takes at a time; it rejects any more. ``None`` for no limit.
        self.room: int | None = None
        self.work_s = 0.0
        self.running = 0
        #: Times of its rejections on the clock of the event loop.
        self.rejected_s: list[float] = []
        self.sent_notices: list[SentNotices] = []
        self._first_beat = 0
        self._has_crashed = False
        self._busy = False
        self._runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Start listening on the loopback interface and return the address."""
        server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        self.address = f'127.0.0.1:{self._runner.addresses[0][1]}'
        return self.address

    async def close(self) -> None:
        """Stop listening."""
        for crash_task in self._crash_tasks:
            crash_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def crash(self) -> None:
        """Crash: reset all connections, and refuse new ones from now on."""
        assert self._runner is not None
        for site in list(self._runner.sites):
            await site.stop()
        self._reset_all()

    async def _crash_while_loading(self) -> None:
        await asyncio.sleep(LOAD_START_DELAY_S)
        await self.crash()
        self.on_crash(self)

    def _reset_all(self) -> None:
        assert self._runner is not None and self._runner.server is not None
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                _reset(connection.transport)

    async def restart(self, born_ms: int | None, beat: int) -> None:
        """Crash, and restart without models under the same id and address.

        :param born_ms: start time to report from now on.
        :param beat: number of heartbeats so far; the count restarts from here.
        """
        self._reset_all()
        self.models = {}
        self.notices = ReplicaNotices()
        self.order_number = self.highest_fence = 0
        self._busy = False
        self._first_beat = beat
        self.born_ms = born_ms
        self.restarts += 1
        self.restart_times_s.append(asyncio.get_running_loop().time())

    def next_restart_s(self, at_s: float) -> float:
        """Return the time of the first restart after *at_s*; infinity if there is none."""
        return next((one for one in self.restart_times_s if one > at_s), float('inf'))

    def row(self, service: str, state: str = 'ready', beat: int = 1) -> dict[str, Any]:
        """Return the row of the replica in the store."""
        return {
            'Service': service,
            'Address': self.address,
            'Zone': 'z1',
            'Version': self.version,
            'Slots': 8,
            'State': state,
            'SeqNo': beat - self._first_beat,
            'Models': self._models(),
            **self._start_fields(),
        }

    def _start_fields(self) -> dict[str, Any]:
        return {} if self.born_ms is None else {'born': self.born_ms}

    def _models(self) -> list[dict[str, Any]]:
        return [
            {'Name': name, 'Version': 1, 'Adapters': adapters}
            for name, adapters in self.models.items()
        ]

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get('Limeshelf-Expect-Instance', self.replica_id)
        call_id = request.headers.get('Limeshelf-Attempt-Id', '')
        if expected != self.replica_id:
            return self._refusal(421, call_id)
        if request.path == '/report':
            return self._report()
        if request.path == '/order':
            return await self._order(request)
        return await self._call(request, call_id)

    def _report(self) -> web.Response:
        return web.json_response(
            {
                'Models': self._models(),
                'IsBusy': self._busy,
                'SeqNo': self.order_number,
                **self._start_fields(),
            },
            headers=self._order_headers(200),
        )

    def _order_headers(self, status: int) -> dict[str, str]:
        return {} if self.notices.call_answers_only else self.notices.headers(status)

    async def _order(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        if self.order_fault is Fault.SILENT:
            loop = asyncio.get_running_loop()
            loop.call_later(self.order_delay_s, self._carry_out, body)
            await asyncio.sleep(3600)
        status = self._carry_out(body)
        return web.Response(status=status, headers=self._order_headers(status))

    def _carry_out(self, body: dict[str, Any]) -> int:
        status = self._apply_order(body)
        self.orders.append(
            ReceivedOrder(
                body['Op'],
                body['Model'],
                body.get('Adapter', ''),
                body.get('ExpectedRevision'),
                body['FencingToken'],
                status,
                body.get('Holder', ''),
            )
        )
        return status

    def _apply_order(self, body: dict[str, Any]) -> int:
        if not VALID_ADAPTER.fullmatch(body.get('Adapter') or 'a1'):
            return 400
        if body['FencingToken'] < self.highest_fence:
            return 412
        self.highest_fence = body['FencingToken']
        expected = body.get('ExpectedRevision')
        if self._busy or (expected is not None and expected != self.order_number):
            return 409
        model, adapter = body['Model'], body.get('Adapter', '')
        if body['Op'] == 'unload':
            return self._unload(model, adapter)
        if model in self.models and (not adapter or adapter in self.models[model]):
            return 200
        if adapter and model not in self.models:
            return 400
        self.order_number += 1
        if model == self.crash_model and not adapter:
            self._crash_tasks.add(
                asyncio.get_running_loop().create_task(self._crash_while_loading())
            )
            return 202
        if adapter:
            self.models[model].append(adapter)
            held = sum(map(len, self.models.values()))
            self.peak_adapters = max(self.peak_adapters, held)
            return 202
        self.peak_models = max(self.peak_models, len({*self.models, model}))
        if self.load_s:
            self._busy = True
            asyncio.get_running_loop().call_later(
                self.load_s, self._finish_load, model, self.restarts
            )
        else:
            self.models[model] = []
        return 202

    def _finish_load(self, model: str, start: int) -> None:
        if start != self.restarts:
            return
        self._busy = False
        self.models[model] = []

    def _unload(self, model: str, adapter: str) -> int:
        if adapter:
            if adapter in self.models.get(model, []):
                self.models[model].remove(adapter)
                self.order_number += 1
            return 200
        if model not in self.models:
            return 200
        del self.models[model]
        self.order_number += 1
        return 202

    def _refusal(self, status: int, call_id: str) -> web.Response:
        headers = {
            'Limeshelf-Not-Executed': '1',
            'Limeshelf-Attempt-Id': call_id,
            **self._notice_headers(call_id, status),
        }
        return web.Response(status=status, headers=headers)

    def _notice_headers(self, call_id: str, status: int) -> dict[str, str]:
        """Return the headers with the notices for an answer to a call, and record the notices."""
        headers = self.notices.headers(status)
        if headers:
            self.sent_notices.append(SentNotices(call_id, attrs.evolve(self.notices), status))
        return headers

    def _next_fault(self) -> Fault:
        if self.fault_calls is None:
            return self.fault
        if self.fault_calls <= 0:
            return Fault.NONE
        self.fault_calls -= 1
        return self.fault

    async def _call(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        body = await request.read()
        self.received_calls.append(
            ReceivedCall(call_id, request.method, request.raw_path, dict(request.headers), body)
        )
        model, _, adapter = request.headers.get('Limeshelf-Model', '').partition('/')
        missing = model and (
            model not in self.models or (adapter and adapter not in self.models[model])
        )
        if missing:
            return self._refusal(421, call_id)
        fault = self._next_fault()
        if fault is Fault.FULL or (self.room is not None and self.running >= self.room):
            self.rejected_s.append(asyncio.get_running_loop().time())
            return self._refusal(503, call_id)
        self.runs.append(call_id)
        if self.crash_text is not None and self.crash_text in body:
            return await self._run_into_crash(request, call_id)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            return await self._run(request, call_id, fault, bool(model))
        except asyncio.CancelledError:
            self.abandoned += 1
            raise
        finally:
            self.running -= 1

    async def _run_into_crash(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        # Shielded: it crashes also if the connection of the call is closed before.
        return await asyncio.shield(self._crash_later(request, call_id))

    async def _crash_later(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        await asyncio.sleep(self.crash_delay_s)
        response = web.StreamResponse()
        if self.crash_after_answer_s is not None:
            response = await self._begin_answer(request, call_id, self.crash_after_answer_s)
        if not self._has_crashed:
            self._has_crashed = True
            await self.crash()
            self.on_crash(self)
        return response

    async def _begin_answer(
        self, request: web.BaseRequest, call_id: str, for_s: float
    ) -> web.StreamResponse:
        """Stream events at a steady pace for a time, without ending the answer."""
        headers = {**_answer_headers(call_id, Fault.NONE), **self._notice_headers(call_id, 200)}
        response = web.StreamResponse(headers={**headers, 'Content-Type': 'text/event-stream'})
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, int(for_s / CRASHING_EVENT_INTERVAL_S) + 2):
            await response.write(f'id: {number}\ndata: token {number}\n\n'.encode())
            await asyncio.sleep(CRASHING_EVENT_INTERVAL_S)
        return response

    async def _run(
        self, request: web.BaseRequest, call_id: str, fault: Fault, streams: bool
    ) -> web.StreamResponse:
        assert request.transport is not None
        if fault is Fault.SILENT:
            await asyncio.sleep(3600)
        if fault is Fault.RESET_FIRST:
            _reset(request.transport)
            return web.Response()
        headers = {**_answer_headers(call_id, fault), **self._notice_headers(call_id, 200)}
        if fault is Fault.ERROR:
            return web.Response(status=500, headers=headers, body=b'failed')
        if fault is Fault.RESET_UNFRAMED:
            return await self._unframed(request, headers, 0.05)
        if fault is Fault.RESET_AT_ONCE:
            return await self._unframed(request, headers, 0.0)
        if streams:
            return await self._stream(request, headers, fault)
        body = b'answer of ' + call_id.encode()
        return web.Response(headers=headers, body=body.ljust(self.answer_bytes))

    async def _unframed(
        self, request: web.BaseRequest, headers: dict[str, str], pause_s: float
    ) -> web.StreamResponse:
        assert request.transport is not None
        lines = ['HTTP/1.1 200 OK', *(f'{name}: {value}' for name, value in headers.items())]
        head = '\r\n'.join([*lines, 'Connection: close', '', '']).encode()
        request.transport.write(head + b'half an ans')
        if pause_s:
            await asyncio.sleep(pause_s)
        _reset(request.transport)
        return web.Response()

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str], fault: Fault
    ) -> web.StreamResponse:
        assert request.transport is not None
        response = web.StreamResponse(headers={**headers, 'Content-Type': 'text/event-stream'})
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get('Last-Event-Id', '0')) + 1
        for number in range(first, self.events + 1):
            if fault is Fault.RESET_MIDWAY and number > first + 1:
                await response.write(f'id: {number}\nda'.encode())
                await asyncio.sleep(0.05)
                _reset(request.transport)
                return response
            await response.write(f'id: {number}\ndata: token {number}\n\n'.encode())
            if self.event_s:
                await asyncio.sleep(self.event_s)
        if fault is Fault.ENDLESS_EVENT:
            await response.write(b'data: ' + b'x' * ENDLESS_EVENT_BYTES)
            await asyncio.sleep(60)
        if fault is Fault.HALF_EVENT:
            await response.write(b'id: 99\nda')
        await response.write_eof()
        return response
