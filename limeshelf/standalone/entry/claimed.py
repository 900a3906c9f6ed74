"""Plain calls under a claim on their idempotency key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from limeshelf.errors import (
    DoubtReason,
    ExchangeBroken,
    MayHaveRun,
    NotRun,
    OutcomeKind,
    RefusalReason,
    RequestInDoubt,
    RequestNotRun,
    UpstreamRefused,
    UpstreamUnreachable,
)
from limeshelf.standalone.claims.keeper import (
    MAX_KEPT_BYTES,
    Claimed,
    ClaimedBefore,
    ClaimMismatch,
    KeptAnswer,
    fingerprint_of,
)
from limeshelf.standalone.entry.answers import tag
from limeshelf.standalone.entry.headers import OUTCOME_HEADER, REPLAYED_HEADER
from limeshelf.standalone.entry.tries import PlainTries
from limeshelf.standalone.upstreams.plain import passable_headers

if TYPE_CHECKING:
    import aiohttp

    from limeshelf.standalone.entry.context import EntryContext
    from limeshelf.standalone.entry.tries import PreparedCall

#: What a caller is told when keys cannot be claimed.
CLAIMS_RETRY_S = 5.0


class ClaimedCalls:
    """Sends a call at most once, whichever instances its key arrives at."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def answer(self, prepared: PreparedCall, key: str, body: bytes) -> web.Response:
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

    async def _whole_answer(self, prepared: PreparedCall) -> tuple[web.Response, KeptAnswer]:
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

    async def _send_once(self, prepared: PreparedCall) -> tuple[aiohttp.ClientResponse, bytes]:
        """Send until one replica takes the call; read its whole answer.

        A claimed call is treated as not repeatable, whatever its route says:
        only refusals and failed connections lead to another replica.
        """
        tries = PlainTries(self._context, prepared)
        while True:
            candidate = tries.choose()
            client = self._context.pool.plain(candidate.upstream)
            self._context.loads.started(candidate.upstream_id)
            try:
                async with client.send(prepared.call, repeatable=False) as answer:
                    return answer, await answer.read()
            except (UpstreamRefused, UpstreamUnreachable) as error:
                tries.note_failure(candidate, error)
            except ExchangeBroken as broken:
                raise RequestInDoubt(MayHaveRun(broken.reason)) from None
            finally:
                self._context.loads.ended(candidate.upstream_id)


def _repeated(claim: ClaimedBefore, prepared: PreparedCall) -> web.Response:
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
