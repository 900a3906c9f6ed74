"""The listeners: one for calls, one on which the balancer asks whether we are ready.

Reads each request whole within the limits in force, hands it to the pipeline as a call,
and answers by itself what is no call. Owns the phase of the process and the count of
requests under way; relies on the pipeline for everything that a call needs.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

from aiohttp import web

from limeshelf.admission import come_back
from limeshelf.errors import InvalidRequest
from limeshelf.gateway.answer import CallerDisconnected, HttpAnswer
from limeshelf.gateway.body import TooLarge, read_body
from limeshelf.gateway.connection import CallerServer
from limeshelf.gateway.endings import STATUS_BAD_GATEWAY, STATUS_UNAVAILABLE
from limeshelf.metrics.event_log import log_change, log_request
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.routes import ClientLimits
    from limeshelf.calls.wire import CallWire
    from limeshelf.gateway.pipeline import Pipeline
    from limeshelf.metrics.prometheus import GatewayMetrics

#: Connections that may wait to be accepted.
BACKLOG_CONNECTIONS = 1024
#: Longest request line or header field, whatever the configuration allows for the whole head.
MAX_FIELD_BYTES = 1 << 16
#: How long the rest of a request is read whose answer went out before its end, and how long a
#: closing listener waits for its connections.
LINGER_TIMEOUT_S = 1.0
SHUTDOWN_TIMEOUT_S = 0.2
STATUS_READY = 200
#: Nobody is there to read it; other servers use the same number for their logs.
STATUS_CLIENT_CLOSED_REQUEST = 499


class GatewayPhase(enum.StrEnum):
    """Phases of a gateway's life, in their order; none comes back."""

    #: It listens, but lacks a configuration or replicas.
    STARTING = 'starting'
    SERVING = 'serving'
    #: It serves on while the balancer notices that it is no longer ready.
    NOTICE = 'notice'
    #: Calls under way end; new ones are refused.
    DRAINING = 'draining'


class Edge:
    """Takes callers' requests and hands them to the pipeline as calls.

    :ivar phase: of this process.
    :ivar running: requests under way.
    """

    def __init__(self, pipeline: Pipeline, wire: CallWire, metrics: GatewayMetrics) -> None:
        self.phase = GatewayPhase.STARTING
        self.running = 0
        self._pipeline = pipeline
        self._wire = wire
        self._metrics = metrics
        self._servers: list[web.Server] = []
        self._runners: list[web.ServerRunner] = []
        self._active_connections: set[object] = set()

    async def start(self, calls_address: str, readiness_address: str) -> None:
        """Listen for callers and for the balancer."""
        await self._listen(readiness_address, self._readiness)
        await self._listen(calls_address, self._handle)

    async def _listen(self, address: str, handler: Any) -> None:
        server = CallerServer(
            handler,
            self._limits,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            lingering_time=LINGER_TIMEOUT_S,
        )
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG_CONNECTIONS).start()
        self._servers.append(server)
        self._runners.append(runner)

    def _limits(self) -> ClientLimits | None:
        config = self._pipeline.config
        return config.limits if config is not None else None

    def enter(self, phase: GatewayPhase) -> None:
        """Go on to *phase*."""
        self.phase = phase
        log_change('phase', phase=phase, running=self.running)

    async def _readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = self.phase is GatewayPhase.SERVING
        return web.Response(status=STATUS_READY if ready else STATUS_UNAVAILABLE)

    @property
    def _closes_connections(self) -> bool:
        return self.phase in (GatewayPhase.NOTICE, GatewayPhase.DRAINING)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.running += 1
        self._active_connections.add(request.protocol)
        try:
            return await self._serve_request(request, boottime_s())
        except CallerDisconnected:
            # No line: the caller chose to go, which says nothing about a replica or us.
            return web.Response(status=STATUS_CLIENT_CLOSED_REQUEST)
        finally:
            self.running -= 1
            self._active_connections.discard(request.protocol)

    async def _serve_request(
        self, request: web.BaseRequest, arrived_s: float
    ) -> web.StreamResponse:
        answer = HttpAnswer(request, self._closes_connections)
        body = await read_body(request, self._limits())
        if isinstance(body, TooLarge):
            return self._status_response(None, body.status)
        try:
            call = self._wire.read_call(
                request.method, request.raw_path, request.headers, body, arrived_s
            )
        except InvalidRequest as error:
            log_request('invalid', field=error.field_name, problem=error.problem)
            return self._status_response(None, error.status)
        if self.phase is GatewayPhase.DRAINING:
            return self._status_response(
                call.call_id, STATUS_UNAVAILABLE, come_back.STOPPING_COME_BACK_S
            )
        await self._pipeline.serve(call, answer)
        response = answer.response
        if response is None:
            return self._status_response(call.call_id, STATUS_BAD_GATEWAY)
        self._metrics.observe_call(response.status, boottime_s() - arrived_s)
        return response

    def _status_response(
        self, call_id: str | None, status: int, retry_after_s: float | None = None
    ) -> web.Response:
        headers = self._wire.refusal_headers(call_id, retry_after_s)
        response = web.Response(status=status, headers=dict(headers))
        if self._closes_connections:
            response.force_close()
        self._metrics.observe_call(status, 0.0)
        return response

    def end_idle_connections(self) -> None:
        """Close the callers' connections on which nothing is under way."""
        # The library's own pre_shutdown() leaves them open and deaf
        # (tests/gateway/test_edge.py::test_idle_connection_is_closed_at_a_stop).
        for server in self._servers[1:]:
            for connection in server.connections:
                if connection not in self._active_connections:
                    connection.force_close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for runner in self._runners:
            await runner.cleanup()
