"""The caller-facing HTTP listener: paths, health, and refusal while not serving.

Owns the listener. Relies on the lifecycle for whether requests are taken, and on the
handlers of models and plain calls for the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from limeshelf.errors import NotRun, RefusalReason
from limeshelf.standalone.entry.answers import outcome_answer, tag
from limeshelf.standalone.entry.lifecycle import Phase
from limeshelf.standalone.entry.models import ModelHandlers
from limeshelf.standalone.entry.plain import PlainHandlers
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    from limeshelf.standalone.entry.context import EntryContext

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

HEALTH_PATHS = frozenset({'/health', '/ready'})
#: Retry-After of a process that starts or stops: another instance serves at once.
STOPPING_RETRY_S = 1.0
#: Longest header line and field, in bytes; larger ones get status 400. The default of
#: aiohttp.
MAX_HEADER_BYTES = 8190
#: Largest body that the listener lets pass; the setting ``entry.max_body_bytes`` is checked
#: where a body is read whole.
LISTENER_BODY_LIMIT_BYTES = 1 << 30
#: Connections that may wait to be accepted.
ACCEPT_BACKLOG = 1024
#: How long handlers may go on after the listener has closed. A planned stop has waited for
#: running requests before.
SHUTDOWN_TIMEOUT_S = 1.0


class EntryServer:
    """Listens for callers until closed."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Listen, and return the port."""
        self._runner = web.AppRunner(
            self._make_app(),
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, ssl_context=tls, backlog=ACCEPT_BACKLOG)
        await site.start()
        return int(self._runner.addresses[0][1])

    def _make_app(self) -> web.Application:
        app = web.Application(
            middlewares=[self._count_or_refuse], client_max_size=LISTENER_BODY_LIMIT_BYTES
        )
        models = ModelHandlers(self._context)
        plain = PlainHandlers(self._context)
        app.router.add_get('/health', self._health)
        app.router.add_get('/ready', self._ready)
        app.router.add_get('/v1/models', models.models)
        app.router.add_post('/v1/chat/completions', models.chat)
        app.router.add_post('/v1/completions', models.completions)
        app.router.add_route('*', '/{path:.*}', plain.any_method)
        return app

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        """Say that the process lives."""
        return web.json_response({'phase': self._context.lifecycle.phase})

    async def _ready(self, request: web.Request) -> web.Response:
        """Tell the balancer whether to send new connections."""
        lifecycle = self._context.lifecycle
        body = {
            'phase': lifecycle.phase,
            'revision': self._context.config.revision,
            'running': lifecycle.running,
        }
        status = 200 if lifecycle.is_ready else 503
        return web.Response(
            status=status, body=msgspec.json.encode(body), content_type='application/json'
        )

    @web.middleware
    async def _count_or_refuse(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Count the request as running, or refuse it when none are taken."""
        lifecycle = self._context.lifecycle
        if request.path in HEALTH_PATHS:
            return await handler(request)
        if not lifecycle.takes_requests:
            return self._refused()
        with lifecycle:
            return await handler(request)

    def _refused(self) -> web.Response:
        """Return the answer of a process that starts or stops; close the connection."""
        starting = self._context.lifecycle.phase is Phase.STARTING
        reason = RefusalReason.STARTING if starting else RefusalReason.STOPPING
        self._context.metrics.count(f'entry.refused.{reason}')
        request_id = new_id(f'req-{self._context.instance_id}')
        answer = outcome_answer(NotRun(reason, STOPPING_RETRY_S), request_id)
        answer.force_close()
        return tag(answer, request_id, self._context.config.revision)
