"""Plain calls under a claim on their idempotency key: sent at most once.

Owns no state; the claims are rows of the table. Relies on ``claims.keeper`` for who
may send a call and on ``plain_attempts`` for sending it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from limeshelf.errors import (
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    OutcomeKind,
    RefusalReason,
    RequestMayHaveRun,
    RequestNotRun,
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
from limeshelf.standalone.entry.plain_attempts import PlainAttempts
from limeshelf.standalone.upstreams.plain import passable_headers

if TYPE_CHECKING:
    import aiohttp
    from multidict import CIMultiDict

    from limeshelf.standalone.entry.context import EntryContext
    from limeshelf.standalone.entry.plain_attempts import PreparedCall

#: Retry-After while keys cannot be claimed.
CLAIMS_RETRY_S = 5.0


class ClaimedCalls:
    """Sends a call at most once, whichever instances its key arrives at."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def answer(self, prepared: PreparedCall, key: str, body: bytes) -> web.Response:
        """Send the call under a claim on its key, at most once for all instances.

        :param body: the whole body; it is part of what tells two calls apart.
        :raises RequestNotRun: the call did not run.
        :raises RequestMayHaveRun: it may have run, for this request or an earlier one.
        """
        call = prepared.call
        fingerprint = fingerprint_of(call.method, call.path_and_query, body)
        scope = f'{prepared.route.name}/{prepared.caller}'
        claim = await self._context.claims.claim(scope, key, fingerprint)
        if isinstance(claim, Claimed):
            return await self._answer_once(prepared, claim, fingerprint)
        if isinstance(claim, ClaimedBefore):
            return _repeated(claim, prepared)
        if isinstance(claim, ClaimMismatch):
            raise RequestNotRun(
                NotRun(RefusalReason.KEY_REUSED, None, 'the key belongs to another call')
            )
        self._log(prepared, 'claim', claim.cause)
        raise RequestNotRun(
            NotRun(
                RefusalReason.CLAIMS_UNAVAILABLE, CLAIMS_RETRY_S, 'the key cannot be claimed now'
            )
        )

    async def _answer_once(
        self, prepared: PreparedCall, claim: Claimed, fingerprint: str
    ) -> web.Response:
        """Send the call, and keep its answer or free its key."""
        claims = self._context.claims
        try:
            whole = await self._send(prepared)
        except RequestNotRun:
            if not await claims.give_back(claim):
                # Repeats get may_have_run, though the call did not run.
                self._log(prepared, 'give_back', 'uncertain')
            raise
        answer = _answered(whole, prepared)
        if not await claims.keep_answer(claim, whole.to_keep(), fingerprint):
            # Repeats get may_have_run; they never run it a second time.
            self._log(prepared, 'keep_answer', 'uncertain')
        return answer

    def _log(self, prepared: PreparedCall, step: str, outcome: str) -> None:
        self._context.decisions.add(
            prepared.request_id,
            'claim',
            route=prepared.route.name,
            caller=prepared.caller,
            step=step,
            outcome=outcome,
        )

    async def _send(self, prepared: PreparedCall) -> PlainAnswer:
        """Send until one replica takes the call; read its whole answer.

        A claimed call is treated as not repeatable, whatever its route says:
        only refusals and failed connections lead to another replica.
        """
        once = attrs.evolve(prepared, repeatable=False)
        attempts: PlainAttempts[PlainAnswer] = PlainAttempts(self._context, once)
        return await attempts.send(PlainAnswerReceiver())


@attrs.frozen
class PlainAnswer:
    """An upstream's answer, read to its end."""

    status: int
    headers: CIMultiDict[str]
    body: bytes

    def to_keep(self) -> KeptAnswer:
        """Return what of the answer is kept for a repeat of the call."""
        content_type = self.headers.get('Content-Type', 'application/octet-stream')
        return KeptAnswer(self.status, content_type, _kept_text(self.body))


class PlainAnswerReceiver:
    """Reads an answer to its end; the caller gets nothing before."""

    async def receive(self, answer: aiohttp.ClientResponse) -> PlainAnswer:
        """Return the whole answer."""
        return PlainAnswer(answer.status, answer.headers.copy(), await answer.read())

    def cut(self) -> None:
        """Cut nothing: the caller has no part of an answer that broke."""


def _answered(whole: PlainAnswer, prepared: PreparedCall) -> web.Response:
    answer = web.Response(
        status=whole.status, body=whole.body, headers=passable_headers(whole.headers)
    )
    answer.headers[OUTCOME_HEADER] = OutcomeKind.COMPLETED.value
    return tag(answer, prepared.request_id, prepared.catalog.revision)


def _repeated(claim: ClaimedBefore, prepared: PreparedCall) -> web.Response:
    kept = claim.answer
    if kept is None:
        raise RequestMayHaveRun(
            MayHaveRun(MayHaveRunReason.CLAIM_UNSETTLED, 'the first call has no known answer yet')
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
    """Return the body as a row can hold it, or ``None`` if it is too large or no text."""
    if len(body) > MAX_KEPT_BYTES:
        return None
    try:
        return body.decode()
    except UnicodeDecodeError:
        # A repeat gets the status without the body, and a header that says so.
        return None
