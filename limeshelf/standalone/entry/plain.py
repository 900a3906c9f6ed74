"""HTTP handler of plain-service calls, some of which may not be repeated.

Owns no state. Relies on the catalog for the route of a call, on ``plain_attempts``
for sending it and on ``claimed`` for calls that carry an idempotency key.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from limeshelf.errors import (
    InvalidRequest,
    NotRun,
    OutcomeKind,
    RefusalReason,
    RequestMayHaveRun,
    RequestNotRun,
)
from limeshelf.standalone.entry.answers import error_answer, tag
from limeshelf.standalone.entry.body import CHUNK_BYTES, read_body
from limeshelf.standalone.entry.claimed import ClaimedCalls
from limeshelf.standalone.entry.headers import (
    ANONYMOUS,
    OUTCOME_HEADER,
    caller_of,
    header_deadline_s,
    idempotency_key_of,
)
from limeshelf.standalone.entry.plain_attempts import PlainAttempts, PreparedCall
from limeshelf.standalone.upstreams.plain import PlainCall, passable_headers
from limeshelf.util.clock import boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from limeshelf.standalone.config.catalog import Catalog
    from limeshelf.standalone.config.document import PlainRoute
    from limeshelf.standalone.entry.context import EntryContext

#: Methods whose repetition has the same effect as one call, by definition.
SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


class PlainHandlers:
    """Routes any method to plain services, bodies streamed both ways."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._claimed = ClaimedCalls(context)

    async def any_method(self, http: web.Request) -> web.StreamResponse:
        """Answer a call under one of the configured routes."""
        request_id = new_id(f'req-{self._context.instance_id}')
        catalog = self._context.config.catalog
        try:
            route = _route_of(http, catalog)
            self._context.metrics.count('entry.plain_requests')
            return await self._serve(http, request_id, catalog, route)
        except (InvalidRequest, RequestNotRun, RequestMayHaveRun) as error:
            return error_answer(error, request_id, catalog.revision)

    async def _serve(
        self, http: web.Request, request_id: str, catalog: Catalog, route: PlainRoute
    ) -> web.StreamResponse:
        key = idempotency_key_of(http)
        is_safe = http.method in SAFE_METHODS
        repeatable = route.repeatable or is_safe
        body = await self._body(http, whole=key is not None or repeatable)
        prepared = PreparedCall(
            request_id=request_id,
            catalog=catalog,
            route=route,
            call=_call_of(http, route, body),
            repeatable=repeatable,
            caller=caller_of(http) or ANONYMOUS,
            started_s=boottime_s(),
        )
        if key is None or is_safe:
            attempts: PlainAttempts[web.StreamResponse] = PlainAttempts(self._context, prepared)
            return await attempts.send(StreamedAnswer(http, prepared))
        assert isinstance(body, bytes)
        # The claimed call goes on when the caller goes away, so that its
        # answer is kept for the caller's repeat.
        return await asyncio.shield(self._claimed.answer(prepared, key, body))

    async def _body(self, http: web.Request, whole: bool) -> bytes | AsyncIterator[bytes] | None:
        """Return the body: whole where it may be sent again, else as a stream."""
        if not http.can_read_body:
            return b'' if whole else None
        if not whole:
            return http.content.iter_chunked(CHUNK_BYTES)
        settings = self._context.settings
        return await read_body(http, settings.max_body_bytes, settings.body_timeout_s)


def _route_of(http: web.Request, catalog: Catalog) -> PlainRoute:
    route = catalog.route_for(http.path)
    if route is None:
        raise RequestNotRun(NotRun(RefusalReason.UNKNOWN_ROUTE, None, f'no route for {http.path}'))
    return route


def _call_of(
    http: web.Request, route: PlainRoute, body: bytes | AsyncIterator[bytes] | None
) -> PlainCall:
    return PlainCall(
        method=http.method,
        timeout_s=header_deadline_s(http, route.timeout_s),
        path_and_query=_passed_path(http, route),
        headers=passable_headers(http.headers.copy()),
        body=body,
    )


def _passed_path(http: web.Request, route: PlainRoute) -> str:
    """Return path and query as the service sees them, encoded as they came."""
    raw = http.raw_path
    prefix = route.path_prefix.rstrip('/')
    if raw.startswith(prefix):
        raw = raw[len(prefix) :]
    return raw if raw.startswith('/') else f'/{raw}'


class StreamedAnswer:
    """Passes an answer on to the caller as it arrives."""

    def __init__(self, http: web.Request, prepared: PreparedCall) -> None:
        self._http = http
        self._prepared = prepared
        self._relayed = web.StreamResponse()

    async def receive(self, answer: aiohttp.ClientResponse) -> web.StreamResponse:
        """Send head and body of *answer* to the caller."""
        relayed = self._relayed = self._head(answer)
        # The first bytes are waited for before the head is sent, so that an early
        # break still gets a typed answer.
        first = await answer.content.readany()
        await relayed.prepare(self._http)
        if first:
            await relayed.write(first)
        async for chunk in answer.content.iter_any():
            await relayed.write(chunk)
        await relayed.write_eof()
        return relayed

    def _head(self, answer: aiohttp.ClientResponse) -> web.StreamResponse:
        relayed = web.StreamResponse()
        relayed.set_status(answer.status)
        relayed.headers.update(passable_headers(answer.headers.copy()))
        relayed.headers[OUTCOME_HEADER] = OutcomeKind.COMPLETED.value
        tag(relayed, self._prepared.request_id, self._prepared.catalog.revision)
        if answer.content_length is not None and self._http.method != 'HEAD':
            relayed.content_length = answer.content_length
        return relayed

    def cut(self) -> web.StreamResponse | None:
        """Close the connection if the head was sent: a cut answer must not look whole."""
        if not self._relayed.prepared:
            return None
        if self._http.transport is not None:
            self._http.transport.abort()
        return self._relayed
