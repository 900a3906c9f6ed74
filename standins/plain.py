"""Stand-in for a plain service: echoes each call and records it."""

from __future__ import annotations

import asyncio
import secrets
import time

import attrs
import msgspec
from aiohttp import web

from standins.faults import add_faults, consume_fault, drop, refuse, set_switches


@attrs.define
class CallFaults:
    """Fault switches: for each fault, the number of following calls that it affects.

    :param die_before: the connection is dropped before the call runs.
    :param die_after: the connection is dropped after the call has run.
    :param cut: only the first half of the answer's body is sent.
    :param busy: the call is refused as not run.
    :param call_s: duration of each call.
    """

    die_before: int = 0
    die_after: int = 0
    cut: int = 0
    busy: int = 0
    call_s: float = 0.001


class PlainService:
    """One replica of a plain service."""

    def __init__(self, name: str, call_s: float) -> None:
        self.name = name
        self.faults = CallFaults(call_s=call_s)
        self.runs: list[dict] = []
        self.leaving = False
        self.left_at_s = 0.0
        self.boot_id = secrets.token_hex(6)
        self.sequence = 0
        self.running = 0

    async def handle_report(self, request: web.Request) -> web.Response:
        """Return a report of the current state."""
        self.sequence += 1
        return web.json_response(
            {
                'boot_id': self.boot_id,
                'sequence': self.sequence,
                'running': self.running,
                'leaving': self.leaving,
            }
        )

    async def handle_call(self, request: web.Request) -> web.StreamResponse:
        """Run a call and answer with an echo of it."""
        body = await request.read()
        if self.leaving or consume_fault(self.faults, 'busy'):
            return refuse(self.leaving)
        if consume_fault(self.faults, 'die_before'):
            return drop(request)
        self.running += 1
        try:
            self._record(request, body)
            await asyncio.sleep(self.faults.call_s)
        finally:
            self.running -= 1
        if consume_fault(self.faults, 'die_after'):
            return drop(request)
        answer = {
            'service': self.name,
            'run': len(self.runs),
            'method': request.method,
            'path': request.path_qs,
            'caller': request.headers.get('X-Caller', ''),
            'echo': body.decode(errors='replace'),
        }
        if consume_fault(self.faults, 'cut'):
            return await self._cut(request, msgspec.json.encode(answer))
        return web.json_response(answer)

    def _record(self, request: web.Request, body: bytes) -> None:
        self.runs.append(
            {
                'at_s': time.monotonic(),
                'method': request.method,
                'path': request.path_qs,
                'caller': request.headers.get('X-Caller', ''),
                'key': request.headers.get('Idempotency-Key', ''),
                'body': body.decode(errors='replace')[:200],
            }
        )

    async def _cut(self, request: web.Request, data: bytes) -> web.StreamResponse:
        answer = web.StreamResponse()
        answer.content_length = len(data)
        await answer.prepare(request)
        await answer.write(data[: len(data) // 2])
        drop(request)
        return answer

    async def handle_leave(self, request: web.Request) -> web.Response:
        """Start draining: refuse new calls."""
        self.leaving = True
        self.left_at_s = time.monotonic()
        return web.Response()

    async def handle_restart(self, request: web.Request) -> web.Response:
        """Simulate a restart: serve again under a new boot id."""
        self.leaving = False
        self.boot_id = secrets.token_hex(6)
        self.sequence = 0
        return web.Response()

    async def handle_faults(self, request: web.Request) -> web.Response:
        """Set the fault switches for calls."""
        return await set_switches(request, self.faults)

    async def handle_record(self, request: web.Request) -> web.Response:
        """Return the records that tests check."""
        record = {'runs': self.runs, 'left_at_s': self.left_at_s}
        return web.Response(body=msgspec.json.encode(record))


def plain_app(service: PlainService) -> web.Application:
    """Return the web application of one replica."""
    app = web.Application(client_max_size=64 << 20)
    add_faults(app)
    app.router.add_get('/report', service.handle_report)
    app.router.add_post('/_leave', service.handle_leave)
    app.router.add_post('/_restart', service.handle_restart)
    app.router.add_post('/_call_faults', service.handle_faults)
    app.router.add_get('/_record', service.handle_record)
    app.router.add_route('*', '/{path:.*}', service.handle_call)
    return app
