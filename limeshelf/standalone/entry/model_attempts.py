"""The attempts of one model request: admit, choose, generate, retry, resume.

Owns the tokens that have arrived and the replicas that failed the request. Relies on
the policies of the request for admission, routing and rank, on ``admission.retries``
for the limit of attempts, and on the engine client for checked lines.
"""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, NoReturn

from limeshelf.errors import (
    ExchangeBroken,
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    RefusalReason,
    RequestMayHaveRun,
    RequestNotRun,
    UpstreamRefused,
    UpstreamUnreachable,
)
from limeshelf.standalone.admission.decision import decide_admission
from limeshelf.standalone.admission.policies import AdmissionQuestion
from limeshelf.standalone.admission.retries import (
    AVOID_S,
    MODEL_ATTEMPTS_LIMIT,
    NOT_READY_RETRY_S,
    RetryQuestion,
    may_retry,
)
from limeshelf.standalone.entry.model_recorder import ModelRecorder
from limeshelf.standalone.entry.request_policies import RequestPolicies
from limeshelf.standalone.routing.candidates import Candidate, engine_candidates
from limeshelf.standalone.routing.policies import RouteQuestion
from limeshelf.standalone.upstreams.messages import GenerateRequest
from limeshelf.util.clock import boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from limeshelf.standalone.config.catalog import Catalog, Target
    from limeshelf.standalone.entry.context import EntryContext
    from limeshelf.standalone.entry.parse import ModelRequest
    from limeshelf.standalone.upstreams.messages import TokenLine


class ModelAttempts:
    """Takes one model request to its whole answer or its final outcome."""

    def __init__(
        self, context: EntryContext, catalog: Catalog, request: ModelRequest, target: Target
    ) -> None:
        self._context = context
        self._catalog = catalog
        self._request = request
        self._target = target
        self._started_s = boottime_s()
        #: Replicas that refused the request or were out of reach.
        self._not_run_ids: set[str] = set()
        #: Replicas whose answer broke; the request may be resumed there.
        self._broken_ids: set[str] = set()
        self._text: list[str] = []
        self._attempts = 0
        self._first_token_s: float | None = None
        self._policies = RequestPolicies.choose(catalog, target.deployment, request.request_id)
        self._recorder = ModelRecorder(context, request, target, self._policies)

    @property
    def _remaining_s(self) -> float:
        return self._request.deadline_s - (boottime_s() - self._started_s)

    async def batches(self) -> AsyncGenerator[list[TokenLine], None]:
        """Yield checked lines of the answer, each token once and in order.

        :raises RequestNotRun: no upstream ran it.
        :raises RequestMayHaveRun: it may have run, and its answer is not whole.
        """
        self._context.budget(self._target.deployment.name).note_first_attempt()
        while True:
            candidate = self._choose()
            self._attempts += 1
            try:
                async with aclosing(self._generate(candidate)) as batches:
                    async for batch in batches:
                        self._note_batch(batch, candidate)
                        yield batch
                return
            except UpstreamRefused as refused:
                self._note_refusal(candidate, refused)
            except UpstreamUnreachable:
                self._context.upstreams.avoid(candidate.upstream_id, AVOID_S)
                self._not_run_ids.add(candidate.upstream_id)
                self._check_retry(RefusalReason.UPSTREAM_UNREACHABLE)
            except ExchangeBroken as broken:
                self._note_break(candidate, broken)

    def _candidates(self) -> list[Candidate]:
        """Return replicas not tried yet; failing that, those whose answer broke.

        Most models have one replica, so a broken answer is mostly resumed where
        it broke.
        """
        for excluded in (self._not_run_ids | self._broken_ids, self._not_run_ids):
            found = engine_candidates(
                self._target.item.item_id,
                self._target.deployment.priority_class,
                self._context.upstreams,
                self._context.loads,
                self._catalog.drained,
                frozenset(excluded),
            )
            if found:
                return found
        return []

    def _choose(self) -> Candidate:
        """Choose a replica, or raise the final outcome."""
        context = self._context
        candidates = self._candidates()
        if not candidates:
            self._give_up(RefusalReason.NO_READY_REPLICA, NOT_READY_RETRY_S)
        if self._attempts == 0:
            self._admit(candidates)
        policy = context.policies.routing(self._policies.routing)
        question = RouteQuestion(self._target.item.item_id, self._request.prefix_key)
        chosen = policy.choose(question, candidates)
        self._recorder.note_route(
            chosen,
            candidates=len(candidates),
            attempt=self._attempts + 1,
            resume_at=len(self._text),
            revision=self._catalog.revision,
        )
        return chosen

    def _admit(self, candidates: list[Candidate]) -> None:
        """Return if the request is sent, else raise the final outcome."""
        context = self._context
        best = min(candidates, key=lambda c: c.estimate_s)
        deployment = self._target.deployment
        question = AdmissionQuestion(
            priority_class=deployment.priority_class,
            estimate_s=best.estimate_s,
            target_s=deployment.first_token_target_s,
            remaining_s=self._remaining_s,
            running=best.running,
            limit=context.settings.max_streams_per_upstream,
        )
        policy = context.policies.admission(self._policies.admission)
        own_streams = [context.loads.own(c.upstream_id) for c in candidates]
        outcome = decide_admission(policy, question, own_streams)
        if isinstance(outcome, NotRun):
            self._recorder.note_not_admitted(outcome, question)
            raise RequestNotRun(outcome)

    async def _generate(self, candidate: Candidate) -> AsyncGenerator[list[TokenLine], None]:
        """Ask one replica for the tokens that are missing; yield its checked lines."""
        context = self._context
        request = self._request
        deployment = self._target.deployment
        priority = context.policies.priority(self._policies.priority)
        generate = GenerateRequest(
            exchange_id=new_id('x'),
            item_id=candidate.item_id,
            caller=request.caller,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=priority.rank(deployment.priority_class, self._remaining_s),
            start_index=len(self._text),
            generated=''.join(self._text),
        )
        context.loads.started(candidate.upstream_id)
        try:
            engine = context.pool.engine(candidate.upstream)
            async with aclosing(engine.generate(generate)) as batches:
                async for batch in batches:
                    yield batch
        finally:
            context.loads.ended(candidate.upstream_id)

    def _note_batch(self, batch: list[TokenLine], candidate: Candidate) -> None:
        self._text += [line.text for line in batch if not line.finish]
        self._context.metrics.count('entry.tokens', len(batch))
        if self._first_token_s is None:
            self._first_token_s = boottime_s() - self._started_s
            self._recorder.note_first_token(self._first_token_s, candidate)

    def _note_refusal(self, candidate: Candidate, refused: UpstreamRefused) -> None:
        self._not_run_ids.add(candidate.upstream_id)
        if refused.leaving:
            self._context.upstreams.mark_leaving(candidate.upstream_id, '')
        self._context.metrics.count('entry.upstream_refused')
        self._check_retry(RefusalReason.UPSTREAM_REFUSED, refused.retry_after_s)

    def _note_break(self, candidate: Candidate, broken: ExchangeBroken) -> None:
        self._context.metrics.count('entry.exchange_broken')
        # Not avoided, unlike for plain calls: where a model has one replica, the answer
        # is resumed there (test_broken_stream_is_resumed_at_the_next_token).
        self._broken_ids.add(candidate.upstream_id)
        if not self._target.deployment.repeatable:
            raise RequestMayHaveRun(MayHaveRun(broken.reason))
        self._check_retry(RefusalReason.UPSTREAM_UNREACHABLE)

    def _check_retry(self, reason: RefusalReason, retry_after_s: float | None = None) -> None:
        """Return if another attempt is allowed, else raise the final outcome."""
        question = RetryQuestion(
            attempts=self._attempts,
            attempts_limit=MODEL_ATTEMPTS_LIMIT,
            remaining_s=self._remaining_s,
        )
        if not may_retry(question, self._context.budget(self._target.deployment.name)):
            # An upstream that names no pause, or one of 0, leaves it to us.
            self._give_up(reason, retry_after_s or NOT_READY_RETRY_S)
        self._context.metrics.count('entry.retries')

    def _give_up(self, reason: RefusalReason, retry_after_s: float) -> NoReturn:
        """Raise the final outcome: may have run if the answer of any replica broke."""
        self._context.demand.refused(self._target.item.item_id)
        if self._broken_ids:
            raise RequestMayHaveRun(MayHaveRun(MayHaveRunReason.ANSWER_CUT))
        raise RequestNotRun(NotRun(reason, retry_after_s))
