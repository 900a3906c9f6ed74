"""HTTP handler of plain-service calls, some of which may not be repeated."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import attrs
from aiohttp import web

from limeshelf.claims.keeper import (
    MAX_KEPT_BYTES,
    Claimed,
    ClaimedBefore,
    ClaimMismatch,
    KeptAnswer,
    fingerprint_of,
)
from limeshelf.entry.answers import invalid_answer, outcome_answer, tag
from limeshelf.entry.headers import (
    OUTCOME_HEADER,
    REPLAYED_HEADER,
)
from limeshelf.entry.parse import (
    ANONYMOUS,
    caller_of,
    header_deadline_s,
    idempotency_key_of,
    read_body,
)
from limeshelf.errors import (
    DoubtReason,
    ExchangeBroken,
    InvalidRequest,
    MayHaveRun,
    NotRun,
    OutcomeKind,
    RefusalReason,
    RequestInDoubt,
    RequestNotRun,
    UpstreamRefused,
    UpstreamUnreachable,
)
from limeshelf.routing.candidates import Candidate, plain_candidates
from limeshelf.upstreams.plain import PlainCall, passable_headers
from limeshelf.util.clock import boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from limeshelf.config.catalog import Catalog
    from limeshelf.config.document import Route
    from limeshelf.entry.context import EntryContext

MAX_TRIES = 3
AVOID_S = 1.0
NOT_READY_RETRY_S = 2.0
CLAIMS_RETRY_S = 5.0
CHUNK_BYTES = 64 << 10
#: Methods whose repetition has the same effect as one call, by definition.
SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


@attrs.frozen
class _Prepared:
    """A plain call ready to be sent."""

    request_id: str
    catalog: Catalog
    route: Route
    call: PlainCall
    repeatable: bool
    caller: str
    started_s: float


class PlainHandlers:
    """Routes any method to plain services, bodies streamed both ways."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def any_method(self, http: web.Request) -> web.StreamResponse:
        """Answer a call under one of the configured routes."""
        request_id = new_id(f'req-{self._context.instance_id}')
        catalog = self._context.config.catalog
        route = catalog.route_for(http.path)
        if route is None:
            outcome = NotRun(RefusalReason.UNKNOWN_ROUTE, None, f'no route for {http.path}')
            return tag(outcome_answer(outcome, request_id), request_id, catalog.revision)
        self._context.metrics.count('entry.plain_requests')
        try:
            return await self._serve(http, request_id, catalog, route)
        except InvalidRequest as error:
            return tag(invalid_answer(error, request_id), request_id, catalog.revision)
        except (RequestNotRun, RequestInDoubt) as error:
            return tag(outcome_answer(error.outcome, request_id), request_id, catalog.revision)

    async def _serve(
        self, http: web.Request, request_id: str, catalog: Catalog, route: Route
    ) -> web.StreamResponse:
        key = idempotency_key_of(http)
        repeatable = route.repeatable or http.method in SAFE_METHODS
        body = await self._body(http, whole=key is not None or repeatable)
        timeout_s = header_deadline_s(http, route.timeout_s)
        prepared = _Prepared(
            request_id,
            catalog,
            route,
            PlainCall(
                http.method,
                _passed_path(http, route),
                passable_headers(http.headers.copy()),
                body,
                timeout_s,
            ),
            repeatable,
            caller_of(http) or ANONYMOUS,
            boottime_s(),
        )
        if key is None or http.method in SAFE_METHODS:
            return await self._relay(http, prepared)
        assert isinstance(body, bytes)
        # The claimed call goes on when the caller goes away, so that its
        # answer is kept for the caller's repeat.
        return await asyncio.shield(self._claimed(prepared, key, body))

    async def _body(self, http: web.Request, whole: bool) -> bytes | AsyncIterator[bytes] | None:
        """Return the body: whole where it may be sent again, else as a stream."""
        if not http.can_read_body:
            return b'' if whole else None
        if not whole:
            return http.content.iter_chunked(CHUNK_BYTES)
        settings = self._context.settings
        return await read_body(http, settings.max_body_bytes, settings.body_timeout_s)

    async def _claimed(self, prepared: _Prepared, key: str, body: bytes) -> web.Response:
        """Send the call under a claim on its key, at most once for all instances."""
        call = prepared.call
        fingerprint = fingerprint_of(call.method, call.path_and_query, body)
        scope = f'{prepared.route.name}/{prepared.caller}'
        claim = await self._context.claims.claim(scope, key, fingerprint)
        if isinstance(claim, ClaimMismatch):
            raise RequestNotRun(
                NotRun(RefusalReason.KEY_REUSED, None, 'the key belongs to another call')
            )
        if isinstance(claim, ClaimedBefore):
            return _repeated(claim, prepared)
        if not isinstance(claim, Claimed):
            raise RequestNotRun(
                NotRun(
                    RefusalReason.CLAIMS_UNAVAILABLE,
                    CLAIMS_RETRY_S,
                    'the key cannot be claimed now',
                )
            )
        try:
            answer, kept = await self._whole_answer(prepared)
        except RequestNotRun:
            await self._context.claims.give_back(claim)
            raise
        await self._context.claims.keep_answer(claim, kept, fingerprint)
        return answer

    async def _whole_answer(self, prepared: _Prepared) -> tuple[web.Response, KeptAnswer]:
        upstream_answer, body = await self._send_once(prepared)
        content_type = upstream_answer.headers.get('Content-Type', 'application/octet-stream')
        kept_body = _kept_text(body)
        answer = web.Response(
            status=upstream_answer.status,
            body=body,
            headers=passable_headers(upstream_answer.headers.copy()),
        )
        answer.headers[OUTCOME_HEADER] = OutcomeKind.COMPLETED.value
        tag(answer, prepared.request_id, prepared.catalog.revision)
        return answer, KeptAnswer(upstream_answer.status, content_type, kept_body)

    async def _send_once(self, prepared: _Prepared) -> tuple[aiohttp.ClientResponse, bytes]:
        """Send until one replica takes the call; read its whole answer.

        A claimed call is treated as not repeatable, whatever its route says:
        only refusals and failed connections lead to another replica.
        """
        tried: set[str] = set()
        self._context.budget(prepared.route.name).note_first_try()
        while True:
            candidate = self._choose(prepared, tried)
            client = self._context.pool.plain(candidate.upstream)
            self._context.loads.started(candidate.upstream_id)
            try:
                async with client.send(prepared.call, repeatable=False) as answer:
                    return answer, await answer.read()
            except (UpstreamRefused, UpstreamUnreachable) as error:
                self._next_try(prepared, candidate, tried, error)
            except ExchangeBroken as broken:
                raise RequestInDoubt(MayHaveRun(broken.reason)) from None
            finally:
                self._context.loads.ended(candidate.upstream_id)

    async def _relay(self, http: web.Request, prepared: _Prepared) -> web.StreamResponse:
        """Send the call and stream its answer to the caller."""
        tried: set[str] = set()
        self._context.budget(prepared.route.name).note_first_try()
        while True:
            candidate = self._choose(prepared, tried)
            client = self._context.pool.plain(candidate.upstream)
            self._context.loads.started(candidate.upstream_id)
            relayed = web.StreamResponse()
            try:
                async with client.send(prepared.call, prepared.repeatable) as answer:
                    return await _stream_back(http, relayed, answer, prepared)
            except (UpstreamRefused, UpstreamUnreachable) as error:
                self._check_resend(prepared)
                self._next_try(prepared, candidate, tried, error)
            except ExchangeBroken as broken:
                if relayed.prepared:
                    _cut(http)
                    return relayed
                if not prepared.repeatable:
                    raise RequestInDoubt(MayHaveRun(broken.reason)) from None
                self._next_try(prepared, candidate, tried, broken)
            finally:
                self._context.loads.ended(candidate.upstream_id)

    def _check_resend(self, prepared: _Prepared) -> None:
        """Refuse a second try of a body that was streamed and may be used up."""
        if not isinstance(prepared.call.body, bytes | None):
            raise RequestNotRun(
                NotRun(RefusalReason.UPSTREAM_REFUSED, NOT_READY_RETRY_S, 'send it again')
            )

    def _choose(self, prepared: _Prepared, tried: set[str]) -> Candidate:
        context = self._context
        candidates = plain_candidates(
            prepared.route.service,
            context.upstreams,
            context.loads,
            prepared.catalog.drained,
            frozenset(tried),
        )
        if not candidates:
            raise RequestNotRun(NotRun(RefusalReason.NO_READY_REPLICA, NOT_READY_RETRY_S))
        # Plain calls have no first token; the fewest in work is the estimate.
        chosen = min(candidates, key=lambda c: c.running)
        context.decisions.add(
            prepared.request_id,
            'route',
            route=prepared.route.name,
            caller=prepared.caller,
            upstream=chosen.upstream_id,
            running=chosen.running,
            candidates=len(candidates),
            attempt=len(tried) + 1,
            revision=prepared.catalog.revision,
        )
        return chosen

    def _next_try(
        self,
        prepared: _Prepared,
        candidate: Candidate,
        tried: set[str],
        error: UpstreamRefused | UpstreamUnreachable | ExchangeBroken,
    ) -> None:
        """Return if another replica may be tried, else raise the final outcome."""
        context = self._context
        tried.add(candidate.upstream_id)
        if isinstance(error, UpstreamRefused):
            if error.leaving:
                context.upstreams.mark_leaving(candidate.upstream_id, '')
            reason = RefusalReason.UPSTREAM_REFUSED
        else:
            context.upstreams.avoid(candidate.upstream_id, AVOID_S)
            reason = RefusalReason.UPSTREAM_UNREACHABLE
        late = boottime_s() - prepared.started_s >= prepared.call.timeout_s
        budget = context.budget(prepared.route.name)
        if len(tried) < MAX_TRIES and not late and budget.try_retry():
            context.metrics.count('entry.retries')
            return
        if isinstance(error, ExchangeBroken):
            raise RequestInDoubt(MayHaveRun(error.reason))
        raise RequestNotRun(NotRun(reason, NOT_READY_RETRY_S))


def _passed_path(http: web.Request, route: Route) -> str:
    """Return path and query as the service sees them, encoded as they came."""
    raw = http.raw_path
    prefix = route.path_prefix.rstrip('/')
    if raw.startswith(prefix):
        raw = raw[len(prefix) :]
    return raw if raw.startswith('/') else f'/{raw}'


async def _stream_back(
    http: web.Request,
    relayed: web.StreamResponse,
    answer: aiohttp.ClientResponse,
    prepared: _Prepared,
) -> web.StreamResponse:
    relayed.set_status(answer.status)
    relayed.headers.update(passable_headers(answer.headers.copy()))
    relayed.headers[OUTCOME_HEADER] = OutcomeKind.COMPLETED.value
    tag(relayed, prepared.request_id, prepared.catalog.revision)
    if answer.content_length is not None and http.method != 'HEAD':
        relayed.content_length = answer.content_length
    # The first bytes are waited for before the head is sent, so that an early
    # break still gets a typed answer.
    first = await answer.content.readany()
    await relayed.prepare(http)
    if first:
        await relayed.write(first)
    async for chunk in answer.content.iter_any():
        await relayed.write(chunk)
    await relayed.write_eof()
    return relayed


def _cut(http: web.Request) -> None:
    """Close the connection, so that a cut answer can never look whole."""
    if http.transport is not None:
        http.transport.abort()


def _repeated(claim: ClaimedBefore, prepared: _Prepared) -> web.Response:
    kept = claim.answer
    if kept is None:
        raise RequestInDoubt(
            MayHaveRun(DoubtReason.CLAIM_UNSETTLED, 'the first call has no known answer yet')
        )
    answer = web.Response(
        status=kept.status,
        body=(kept.body or '').encode(),
        headers={
            'Content-Type': kept.content_type,
            OUTCOME_HEADER: OutcomeKind.COMPLETED.value,
            REPLAYED_HEADER: 'true' if kept.body is not None else 'without-body',
        },
    )
    tag(answer, prepared.request_id, prepared.catalog.revision)
    return answer


def _kept_text(body: bytes) -> str | None:
    if len(body) > MAX_KEPT_BYTES:
        return None
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None
