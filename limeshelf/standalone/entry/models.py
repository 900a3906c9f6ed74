"""HTTP handlers of model requests: whole answers, streams, and the list of models.

Owns no state. Relies on ``parse`` for the request, on ``model_attempts`` for its tokens
and on ``formats`` for the shape of the answer.
"""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from limeshelf.errors import (
    InvalidRequest,
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    OutcomeKind,
    RefusalReason,
    RequestMayHaveRun,
    RequestNotRun,
)
from limeshelf.standalone.entry.answers import error_answer, tag
from limeshelf.standalone.entry.body import read_body
from limeshelf.standalone.entry.formats import EventWriter, whole_body
from limeshelf.standalone.entry.headers import OUTCOME_HEADER, REVISION_HEADER
from limeshelf.standalone.entry.model_attempts import ModelAttempts
from limeshelf.standalone.entry.parse import ModelRequest, parse_model_request
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from limeshelf.standalone.config.catalog import Catalog, Target
    from limeshelf.standalone.entry.context import EntryContext


class ModelHandlers:
    """Chat completions, completions and the list of models."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/chat/completions``."""
        return await self._answer(request, chat=True)

    async def completions(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/completions``."""
        return await self._answer(request, chat=False)

    async def models(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/models`` with models, adapters and versions."""
        catalog = self._context.config.catalog
        entries = [
            {
                'id': name,
                'object': 'model',
                'owned_by': 'limeshelf',
                'version': target.deployment.version,
                'base': target.deployment.name if target.item.base_id else None,
                'priority_class': target.deployment.priority_class.value,
                'ready': self._is_ready(target),
            }
            for name, target in sorted(catalog.targets.items())
        ]
        body = msgspec.json.encode({'object': 'list', 'data': entries})
        headers = {REVISION_HEADER: str(catalog.revision)}
        return web.Response(body=body, content_type='application/json', headers=headers)

    def _is_ready(self, target: Target) -> bool:
        upstreams = self._context.upstreams
        return any(
            target.item.item_id in u.ready_items and upstreams.is_fresh(u)
            for u in upstreams.engines()
        )

    async def _answer(self, http: web.Request, chat: bool) -> web.StreamResponse:
        request_id = new_id(f'req-{self._context.instance_id}')
        catalog = self._context.config.catalog
        settings = self._context.settings
        try:
            body = await read_body(http, settings.max_body_bytes, settings.body_timeout_s)
            request = parse_model_request(
                http, body, chat, request_id, settings.default_deadline_s
            )
            return await self._serve(http, request, catalog, _target_of(request, catalog))
        except InvalidRequest as error:
            self._context.metrics.count('entry.invalid')
            return error_answer(error, request_id, catalog.revision)
        except (RequestNotRun, RequestMayHaveRun) as error:
            return error_answer(error, request_id, catalog.revision)

    async def _serve(
        self, http: web.Request, request: ModelRequest, catalog: Catalog, target: Target
    ) -> web.StreamResponse:
        context = self._context
        item_id = target.item.item_id
        context.metrics.count('entry.requests')
        context.demand.arrived(item_id)
        attempts = ModelAttempts(context, catalog, request, target)
        try:
            if request.stream:
                return await self._stream(http, request, catalog, attempts)
            return await self._whole(request, catalog, attempts)
        finally:
            context.demand.ended(item_id)

    async def _whole(
        self, request: ModelRequest, catalog: Catalog, attempts: ModelAttempts
    ) -> web.Response:
        texts: list[str] = []
        finish = ''
        try:
            async with (
                asyncio.timeout(request.deadline_s),
                aclosing(attempts.batches()) as batches,
            ):
                async for batch in batches:
                    texts += [line.text for line in batch if not line.finish]
                    finish = batch[-1].finish
        except TimeoutError:
            raise RequestMayHaveRun(MayHaveRun(MayHaveRunReason.ANSWER_TIMEOUT)) from None
        body = whole_body(request, ''.join(texts), finish, len(texts))
        answer = web.Response(body=body, content_type='application/json')
        answer.headers[OUTCOME_HEADER] = OutcomeKind.COMPLETED.value
        return tag(answer, request.request_id, catalog.revision)

    async def _stream(
        self,
        http: web.Request,
        request: ModelRequest,
        catalog: Catalog,
        attempts: ModelAttempts,
    ) -> web.StreamResponse:
        writer = EventWriter(request)
        answer = tag(_event_stream(), request.request_id, catalog.revision)
        try:
            async with asyncio.timeout(request.deadline_s):
                await _write_events(http, answer, writer, attempts)
        except TimeoutError:
            outcome = MayHaveRun(MayHaveRunReason.ANSWER_TIMEOUT)
            if not answer.prepared:
                raise RequestMayHaveRun(outcome) from None
            await answer.write(writer.error_event(outcome))
        except (RequestNotRun, RequestMayHaveRun) as error:
            if not answer.prepared:
                raise
            self._context.metrics.count('entry.streams_broken')
            await answer.write(writer.error_event(error.outcome))
        except ConnectionError:
            # The caller has gone; leaving the block above cancelled the engine. Nobody
            # is left to answer.
            self._context.metrics.count('entry.callers_gone')
            return answer
        await answer.write_eof()
        return answer


def _target_of(request: ModelRequest, catalog: Catalog) -> Target:
    target = catalog.targets.get(request.model)
    if target is None:
        raise RequestNotRun(
            NotRun(RefusalReason.UNKNOWN_MODEL, None, f'model: {request.model!r} is not deployed')
        )
    return target


def _event_stream() -> web.StreamResponse:
    answer = web.StreamResponse()
    answer.content_type = 'text/event-stream'
    answer.headers['Cache-Control'] = 'no-store'
    return answer


async def _write_events(
    http: web.Request, answer: web.StreamResponse, writer: EventWriter, attempts: ModelAttempts
) -> None:
    """Write events as tokens arrive; the head goes out with the first of them."""
    async with aclosing(attempts.batches()) as batches:
        async for batch in batches:
            if not answer.prepared:
                await answer.prepare(http)
            await answer.write(writer.events(batch))
