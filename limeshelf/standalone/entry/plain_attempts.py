"""The attempts of one plain call: which replica next, when again, when to give up.

Owns the list of replicas that failed the call. Relies on ``admission.retries`` for
the limit of attempts and the budget, and on the client for what a failure means.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

import attrs

from limeshelf.errors import (
    ExchangeBroken,
    MayHaveRun,
    NotRun,
    RefusalReason,
    RequestMayHaveRun,
    RequestNotRun,
    UpstreamRefused,
    UpstreamUnreachable,
)
from limeshelf.standalone.admission.retries import (
    AVOID_S,
    NOT_READY_RETRY_S,
    PLAIN_ATTEMPTS_LIMIT,
    RetryQuestion,
    may_retry,
)
from limeshelf.standalone.routing.candidates import Candidate, plain_candidates
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    import aiohttp

    from limeshelf.standalone.config.catalog import Catalog
    from limeshelf.standalone.config.document import PlainRoute
    from limeshelf.standalone.entry.context import EntryContext
    from limeshelf.standalone.upstreams.plain import PlainCall

Received = TypeVar('Received')
Received_co = TypeVar('Received_co', covariant=True)


@attrs.frozen
class PreparedCall:
    """A plain call ready to be sent.

    :param repeatable: whether it may be sent again after bytes have left.
    :param started_s: when it arrived, on the boot clock.
    """

    request_id: str
    catalog: Catalog
    route: PlainRoute
    call: PlainCall
    repeatable: bool
    caller: str
    started_s: float


class AnswerReceiver(Protocol[Received_co]):
    """Takes the answer of the replica that the call was sent to."""

    async def receive(self, answer: aiohttp.ClientResponse) -> Received_co:
        """Take an answer; after a failed attempt, that of another replica."""
        ...

    def cut(self) -> Received_co | None:
        """End a broken answer of which the caller has a part; ``None`` if he has none."""
        ...


class PlainAttempts(Generic[Received]):
    """Sends one call to one replica after another until it is answered or given up."""

    def __init__(self, context: EntryContext, prepared: PreparedCall) -> None:
        self._context = context
        self._prepared = prepared
        self._failed_ids: set[str] = set()

    async def send(self, receiver: AnswerReceiver[Received]) -> Received:
        """Return what *receiver* made of the answer.

        :raises RequestNotRun: no replica ran the call.
        :raises RequestMayHaveRun: one may have run it, and its answer is not whole.
        """
        context, prepared = self._context, self._prepared
        context.budget(prepared.route.name).note_first_attempt()
        while True:
            candidate = self._choose()
            client = context.pool.plain(candidate.upstream)
            context.loads.started(candidate.upstream_id)
            try:
                async with client.send(prepared.call, prepared.repeatable) as answer:
                    return await receiver.receive(answer)
            except (UpstreamRefused, UpstreamUnreachable) as error:
                self._check_body_is_whole()
                self._note_failure(candidate, error)
            except ExchangeBroken as broken:
                partial = receiver.cut()
                if partial is not None:
                    self._log_cut(candidate, broken)
                    return partial
                if not prepared.repeatable:
                    raise RequestMayHaveRun(MayHaveRun(broken.reason)) from None
                self._note_failure(candidate, broken)
            finally:
                context.loads.ended(candidate.upstream_id)

    def _choose(self) -> Candidate:
        """Return a replica not tried yet, or raise the final outcome."""
        context, prepared = self._context, self._prepared
        candidates = plain_candidates(
            prepared.route.service,
            context.upstreams,
            context.loads,
            prepared.catalog.drained,
            frozenset(self._failed_ids),
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
            attempt=len(self._failed_ids) + 1,
            revision=prepared.catalog.revision,
        )
        return chosen

    def _log_cut(self, candidate: Candidate, broken: ExchangeBroken) -> None:
        """Log an answer that broke after its head was sent: its status says nothing."""
        prepared = self._prepared
        self._context.decisions.add(
            prepared.request_id,
            'cut',
            route=prepared.route.name,
            caller=prepared.caller,
            upstream=candidate.upstream_id,
            reason=broken.reason,
        )

    def _check_body_is_whole(self) -> None:
        """Refuse a second attempt of a body that was streamed and may be used up."""
        if not isinstance(self._prepared.call.body, bytes | None):
            raise RequestNotRun(
                NotRun(RefusalReason.UPSTREAM_REFUSED, NOT_READY_RETRY_S, 'send it again')
            )

    def _note_failure(
        self,
        candidate: Candidate,
        error: UpstreamRefused | UpstreamUnreachable | ExchangeBroken,
    ) -> None:
        """Return if another replica may be tried, else raise the final outcome."""
        self._failed_ids.add(candidate.upstream_id)
        reason = self._pass_over(candidate, error)
        if self._may_retry():
            self._context.metrics.count('entry.retries')
            return
        if isinstance(error, ExchangeBroken):
            raise RequestMayHaveRun(MayHaveRun(error.reason))
        raise RequestNotRun(NotRun(reason, NOT_READY_RETRY_S))

    def _pass_over(self, candidate: Candidate, error: Exception) -> RefusalReason:
        """Keep later calls from a replica that failed; return why it did."""
        upstreams = self._context.upstreams
        if not isinstance(error, UpstreamRefused):
            upstreams.avoid(candidate.upstream_id, AVOID_S)
            return RefusalReason.UPSTREAM_UNREACHABLE
        if error.leaving:
            upstreams.mark_leaving(candidate.upstream_id, '')
        return RefusalReason.UPSTREAM_REFUSED

    def _may_retry(self) -> bool:
        prepared = self._prepared
        waited_s = boottime_s() - prepared.started_s
        question = RetryQuestion(
            attempts=len(self._failed_ids),
            attempts_limit=PLAIN_ATTEMPTS_LIMIT,
            remaining_s=prepared.call.timeout_s - waited_s,
        )
        return may_retry(question, self._context.budget(prepared.route.name))
