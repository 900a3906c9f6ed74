"""The listeners: callers' calls, and the balancer's question whether we are ready."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

from aiohttp import web

from limeshelf.errors import InvalidRequest
from limeshelf.gateway.answer import CallerGone, HttpAnswer
from limeshelf.metrics.event_log import log_change, log_request
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.wire import CallWire
    from limeshelf.gateway.pipeline import Pipeline
    from limeshelf.metrics.prometheus import GatewayMetrics

BACKLOG = 1024
#: Largest head of a request before a configuration says less, in bytes.
MAX_HEAD_BYTES = 1 << 16
MAX_BODY_BYTES = 8 << 20
IDLE_S = 60.0
STOPPING_RETRY_S = 0.05


class Phase(enum.StrEnum):
    """Phases in their order; none comes back."""

    STARTING = 'starting'
    SERVING = 'serving'
    NOTICE = 'notice'
    DRAINING = 'draining'


class Edge:
    """Takes callers' requests and hands them to the pipeline as calls."""

    def __init__(self, pipeline: Pipeline, wire: CallWire, figures: GatewayMetrics) -> None:
        self.phase = Phase.STARTING
        self.running = 0
        self._pipeline = pipeline
        self._wire = wire
        self._figures = figures
        self._servers: list[web.Server] = []
        self._runners: list[web.ServerRunner] = []
        self._busy: set[object] = set()

    async def start(self, calls_address: str, readiness_address: str) -> None:
        """Listen for callers and for the balancer."""
        await self._listen(readiness_address, self._readiness)
        await self._listen(calls_address, self._handle)

    async def _listen(self, address: str, handler: Any) -> None:
        server = web.Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            lingering_time=1.0,
        )
        runner = web.ServerRunner(server, shutdown_timeout=0.2)
        await runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
        self._servers.append(server)
        self._runners.append(runner)

    def enter(self, phase: Phase) -> None:
        """Go on to *phase*."""
        self.phase = phase
        log_change('phase', phase=phase, running=self.running)

    async def _readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self.phase is Phase.SERVING else 503)

    @property
    def _closing(self) -> bool:
        return self.phase in (Phase.NOTICE, Phase.DRAINING)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.running += 1
        self._busy.add(request.protocol)
        try:
            return await self._serve(request, boottime_s())
        except CallerGone:
            return web.Response(status=499)
        finally:
            self.running -= 1
            self._busy.discard(request.protocol)

    async def _serve(self, request: web.BaseRequest, arrived_s: float) -> web.StreamResponse:
        answer = HttpAnswer(request, self._closing)
        too_large = self._check_head(request)
        if too_large is not None:
            return self._own(None, too_large)
        body = await self._read_body(request)
        if body is None:
            return self._own(None, 413)
        try:
            call = self._wire.read_call(
                request.method, request.raw_path, request.headers, body, arrived_s
            )
        except InvalidRequest as error:
            log_request('invalid', field=error.field_name, problem=error.problem)
            return self._own(None, error.status)
        if self.phase is Phase.DRAINING:
            return self._own(call.call_id, 503, STOPPING_RETRY_S)
        await self._pipeline.serve(call, answer)
        response = answer.response
        if response is None:
            return self._own(call.call_id, 502)
        self._figures.observe_call(response.status, boottime_s() - arrived_s)
        return response

    def _own(
        self, call_id: str | None, status: int, retry_after_s: float | None = None
    ) -> web.Response:
        headers = self._wire.refusal_headers(call_id, retry_after_s)
        response = web.Response(status=status, headers=dict(headers))
        if self._closing:
            response.force_close()
        self._figures.observe_call(status, 0.0)
        return response

    def _check_head(self, request: web.BaseRequest) -> int | None:
        config = self._pipeline.config
        if config is None:
            return None
        size = len(request.raw_path) + sum(
            len(name) + len(value) + 4 for name, value in request.raw_headers
        )
        if size > config.limits.header_bytes:
            return 431
        if (request.content_length or 0) > config.limits.body_bytes:
            return 413
        return None

    async def _read_body(self, request: web.BaseRequest) -> bytes | None:
        if not request.can_read_body:
            return b''
        config = self._pipeline.config
        limit = config.limits.body_bytes if config else MAX_BODY_BYTES
        parts = []
        size = 0
        async for chunk in request.content.iter_any():
            parts.append(chunk)
            size += len(chunk)
            if size > limit:
                return None
        return b''.join(parts)

    def end_idle_connections(self) -> None:
        """Close the callers' connections on which nothing is under way."""
        # The library's own pre_shutdown() leaves them open and deaf
        # (tests/gateway/test_edge.py::test_idle_connection_is_closed_at_a_stop).
        for server in self._servers[1:]:
            for connection in server.connections:
                if connection not in self._busy:
                    connection.force_close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for runner in self._runners:
            await runner.cleanup()
