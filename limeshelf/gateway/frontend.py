"""HTTP listeners of the gateway: for calls, for readiness checks, and for forwarded calls.

Reads each request within the current limits and passes it to the pipeline as a call;
answers malformed requests itself. Owns the phase of the process and the count of requests
in flight.
"""

from __future__ import annotations

import enum
import sys
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

from limeshelf.admission import retry_after
from limeshelf.errors import InvalidRequest, NotRun, RefusalReason
from limeshelf.forwarding.messages import ForwardOutcome
from limeshelf.forwarding.wire import outcome_field, read_forwarded_call
from limeshelf.gateway.answer import CallerDisconnected, HttpAnswer
from limeshelf.gateway.body import LIMIT_STATUSES, RejectedRequest, check_head, read_body
from limeshelf.gateway.caller_server import CallerServer
from limeshelf.gateway.endings import STATUS_BAD_GATEWAY, STATUS_UNAVAILABLE
from limeshelf.metrics.event_log import log_change, log_request
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from limeshelf.calls.routes import ClientLimits
    from limeshelf.calls.wire import CallWire
    from limeshelf.gateway.buffer_budget import BufferBudget
    from limeshelf.gateway.config_freshness import ConfigFreshness
    from limeshelf.gateway.pipeline import Pipeline
    from limeshelf.metrics.prometheus import GatewayMetrics

#: Listen backlog: connections that may wait to be accepted.
BACKLOG_CONNECTIONS = 1024
#: How long the rest of a request is read after an answer that was sent before its end.
LINGER_TIMEOUT_S = 1.0
#: How long a listener that closes waits for its connections.
SHUTDOWN_TIMEOUT_S = 0.2
STATUS_READY = 200
#: Never received by the caller, which has disconnected; nginx logs the same status.
STATUS_CLIENT_CLOSED_REQUEST = 499


class GatewayPhase(enum.StrEnum):
    """Life cycle of a gateway; the phases follow in this order, and none is entered twice."""

    #: Listens, but has no configuration or no replicas yet.
    STARTING = 'starting'
    SERVING = 'serving'
    #: Reports not ready, and still serves calls until the load balancer has noticed.
    NOTICE = 'notice'
    #: Finishes calls in flight, and refuses new ones.
    DRAINING = 'draining'


class HttpFrontend:
    """Receives callers' requests and passes them to the pipeline as calls.

    :ivar phase: phase of this process.
    :ivar requests_in_flight: number of requests in flight.
    """

    def __init__(
        self,
        pipeline: Pipeline,
        wire: CallWire,
        metrics: GatewayMetrics,
        is_gateway_host: Callable[[str], bool],
        budget: BufferBudget,
        max_connections: int,
        freshness: ConfigFreshness,
    ) -> None:
        self.phase = GatewayPhase.STARTING
        self.requests_in_flight = 0
        self._pipeline = pipeline
        self._wire = wire
        self._metrics = metrics
        self._is_gateway_host = is_gateway_host
        self._budget = budget
        self._max_connections = max_connections
        self._freshness = freshness
        self._servers: list[web.Server] = []
        self._runners: list[web.ServerRunner] = []
        self._active_connections: set[object] = set()

    async def start(self, calls_address: str, readiness_address: str) -> None:
        """Listen for callers and for the load balancer."""
        await self._listen(readiness_address, self._readiness)
        await self._listen(calls_address, self._handle)

    async def start_carrying(self, address: str) -> None:
        """Listen for calls that other gateways forward."""
        await self._listen(address, self._handle_forwarded)

    def make_server(self, handler: Any) -> CallerServer:
        """Return a server within the limits and the memory of this process."""
        return CallerServer(
            handler,
            self._limits,
            self._budget,
            self._max_connections,
            lambda: self._freshness.is_outdated,
            access_log=None,
            auto_decompress=False,
            lingering_time=LINGER_TIMEOUT_S,
        )

    async def _listen(self, address: str, handler: Any) -> None:
        server = self.make_server(handler)
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG_CONNECTIONS).start()
        self._servers.append(server)
        self._runners.append(runner)

    def _limits(self) -> ClientLimits | None:
        config = self._pipeline.config
        return config.limits if config is not None else None

    def set_phase(self, phase: GatewayPhase) -> None:
        """Set the phase, and log the change."""
        self.phase = phase
        log_change('phase', phase=phase, running=self.requests_in_flight)

    async def _readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = self.phase is GatewayPhase.SERVING
        return web.Response(status=STATUS_READY if ready else STATUS_UNAVAILABLE)

    @property
    def _closes_connections(self) -> bool:
        return self.phase in (GatewayPhase.NOTICE, GatewayPhase.DRAINING)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        return await self._count_in_flight(request, self._serve_request)

    async def _handle_forwarded(self, request: web.BaseRequest) -> web.StreamResponse:
        return await self._count_in_flight(request, self._carry_request)

    async def _count_in_flight(
        self,
        request: web.BaseRequest,
        serve: Callable[[web.BaseRequest, float], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.requests_in_flight += 1
        self._active_connections.add(request.protocol)
        try:
            return await serve(request, boottime_s())
        except CallerDisconnected:
            # Not logged: a caller that disconnects is no failure of a replica or this gateway.
            return web.Response(status=STATUS_CLIENT_CLOSED_REQUEST)
        finally:
            self.requests_in_flight -= 1
            self._active_connections.discard(request.protocol)

    async def _serve_request(
        self, request: web.BaseRequest, arrived_s: float
    ) -> web.StreamResponse:
        answer = HttpAnswer(request, self._closes_connections)
        limits = self._limits()
        rejected = check_head(request, limits)
        if rejected is not None:
            return self._reject(None, rejected)
        try:
            call = self._wire.read_call(
                request.method, request.raw_path, request.headers, arrived_s
            )
        except InvalidRequest as error:
            log_request('invalid', field=error.field_name, problem=error.problem)
            return self._status_response(None, error.status)
        body = await read_body(request, limits, self._pipeline.time_left_s(call))
        if isinstance(body, RejectedRequest):
            return self._reject(call.call_id, body)
        call = attrs.evolve(call, body=body)
        if self.phase is GatewayPhase.DRAINING:
            return self._status_response(
                call.call_id, STATUS_UNAVAILABLE, retry_after.STOPPING_RETRY_AFTER_S
            )
        await self._pipeline.serve(call, answer)
        response = answer.response
        if response is None:
            return self._status_response(call.call_id, STATUS_BAD_GATEWAY)
        self._metrics.observe_call(response.status, boottime_s() - arrived_s)
        return response

    async def _carry_request(
        self, request: web.BaseRequest, received_s: float
    ) -> web.StreamResponse:
        """Send a call that another gateway forwarded to a replica."""
        self._metrics.observe_carried()
        answer = HttpAnswer(request, self._closes_connections)
        try:
            received = read_forwarded_call(
                self._wire, request.method, request.raw_path, request.headers, received_s
            )
        except InvalidRequest as error:
            log_request('invalid', field=error.field_name, problem=error.problem)
            return self._not_carried(None, RefusalReason.BAD_REQUEST)
        call_id = received.call.call_id
        if not self._is_gateway_host(request.remote or ''):
            log_request('forward_rejected', request=call_id, remote=request.remote)
            return self._not_carried(call_id, RefusalReason.BAD_REQUEST)
        limits = self._body_limits()
        if check_head(request, limits) is not None:
            return self._not_carried(call_id, RefusalReason.BAD_REQUEST)
        body = await read_body(request, limits, received.left_s)
        if isinstance(body, RejectedRequest):
            return self._not_carried(call_id, RefusalReason.BAD_REQUEST)
        received = received.with_body(body)
        if self.phase in (GatewayPhase.STARTING, GatewayPhase.DRAINING):
            return self._not_carried(call_id, RefusalReason.STOPPING)
        await self._pipeline.carry(received, answer)
        # Without the id this tells nothing of whether the call has run.
        return answer.response or self._not_carried(None, RefusalReason.STOPPING)

    def _body_limits(self) -> ClientLimits | None:
        """Return the limits of a forwarded call, whose head has a field more than the caller's."""
        limits = self._limits()
        return attrs.evolve(limits, header_bytes=sys.maxsize) if limits is not None else None

    def _not_carried(self, call_id: str | None, reason: RefusalReason) -> web.Response:
        outcome = ForwardOutcome.from_refusal(NotRun(reason))
        headers = [*self._wire.refusal_headers(call_id, None), outcome_field(outcome)]
        return web.Response(status=STATUS_UNAVAILABLE, headers=dict(headers))

    def _reject(self, call_id: str | None, rejected: RejectedRequest) -> web.Response:
        """Answer a request over a limit, which a newer configuration may have raised."""
        if rejected.status in LIMIT_STATUSES and self._freshness.is_outdated:
            rejected = RejectedRequest(
                STATUS_UNAVAILABLE, retry_after.CONFIG_TOO_OLD_RETRY_AFTER_S
            )
        return self._status_response(call_id, rejected.status, rejected.retry_after_s)

    def _status_response(
        self, call_id: str | None, status: int, retry_after_s: float | None = None
    ) -> web.Response:
        headers = self._wire.refusal_headers(call_id, retry_after_s)
        response = web.Response(status=status, headers=dict(headers))
        if self._closes_connections:
            response.force_close()
        self._metrics.observe_call(status, 0.0)
        return response

    def caller_connections(self) -> list[web.RequestHandler]:
        """Return the open connections of callers, and of gateways that forward their calls."""
        return [connection for server in self._servers[1:] for connection in server.connections]

    @property
    def is_answering(self) -> bool:
        """Return whether requests are in flight, or a part of an answer is still in the process.

        It would be lost when the process exits; what the operating system has is still sent.
        """
        return self.requests_in_flight > 0 or any(map(_unsent_bytes, self.caller_connections()))

    def close_idle_connections(self) -> None:
        """Close the callers' connections that have no request in flight."""
        # The library's pre_shutdown() leaves them open, but no longer reads from them
        # (tests/gateway/test_frontend.py::test_idle_connection_is_closed_at_a_stop).
        for connection in self.caller_connections():
            if connection not in self._active_connections and not _unsent_bytes(connection):
                connection.force_close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for runner in self._runners:
            await runner.cleanup()


def _unsent_bytes(connection: web.RequestHandler) -> int:
    """Return the bytes of answers that the operating system has not accepted yet."""
    transport = connection.transport
    return 0 if transport is None else transport.get_write_buffer_size()
