"""One model request on its way: admit, choose, generate, retry, resume."""

from __future__ import annotations

import zlib
from contextlib import aclosing
from typing import TYPE_CHECKING

from limeshelf.errors import (
    DoubtReason,
    ExchangeBroken,
    MayHaveRun,
    NotRun,
    RefusalReason,
    RequestInDoubt,
    RequestNotRun,
    UpstreamRefused,
    UpstreamUnreachable,
)
from limeshelf.standalone.admission.policies import AdmissionQuestion
from limeshelf.standalone.config.document import PolicyKind
from limeshelf.standalone.routing.candidates import Candidate, engine_candidates
from limeshelf.standalone.routing.policies import RouteQuestion
from limeshelf.standalone.upstreams.messages import GenerateRequest
from limeshelf.util.clock import boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from limeshelf.standalone.config.catalog import Catalog, Target
    from limeshelf.standalone.config.document import Policy
    from limeshelf.standalone.entry.context import EntryContext
    from limeshelf.standalone.entry.parse import ModelRequest
    from limeshelf.standalone.upstreams.messages import TokenLine

#: Tries of one request, the first one included.
MAX_TRIES = 4
#: An upstream that could not be reached gets no new work for this long.
AVOID_S = 1.0
#: What a caller is told when no replica is ready.
NOT_READY_RETRY_S = 2.0
HASH_SPAN = 1 << 32


class ModelExchange:
    """Brings one model request to its whole answer or its final outcome."""

    def __init__(
        self, context: EntryContext, catalog: Catalog, request: ModelRequest, target: Target
    ) -> None:
        self._context = context
        self._catalog = catalog
        self._request = request
        self._target = target
        self._started_s = boottime_s()
        self._refused: set[str] = set()
        self._broken: set[str] = set()
        self._text: list[str] = []
        self._tries = 0
        self._may_have_run = False
        self._first_token_s: float | None = None
        position = zlib.crc32(request.request_id.encode()) / HASH_SPAN
        deployment = target.deployment
        self._admission = catalog.policy_for(PolicyKind.ADMISSION, deployment, position)
        self._routing = catalog.policy_for(PolicyKind.ROUTING, deployment, position)
        self._priority = catalog.policy_for(PolicyKind.PRIORITY, deployment, position)

    @property
    def _policies(self) -> list[Policy]:
        return [self._admission, self._routing, self._priority]

    @property
    def _remaining_s(self) -> float:
        return self._request.deadline_s - (boottime_s() - self._started_s)

    async def batches(self) -> AsyncGenerator[list[TokenLine], None]:
        """Yield checked lines of the answer, each token once and in order.

        :raises RequestNotRun: no upstream ran it.
        :raises RequestInDoubt: it may have run, and its answer is not whole.
        """
        self._context.budget(self._target.deployment.name).note_first_try()
        while True:
            candidate = self._choose()
            self._tries += 1
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
                self._refused.add(candidate.upstream_id)
                self._check_retry(RefusalReason.UPSTREAM_UNREACHABLE)
            except ExchangeBroken as broken:
                self._note_break(candidate, broken)

    def _candidates(self) -> list[Candidate]:
        """Return replicas not tried yet; failing that, those whose answer broke.

        Most models have one replica, so a broken answer is mostly resumed where
        it broke.
        """
        for excluded in (self._refused | self._broken, self._refused):
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
        if self._tries == 0:
            self._admit(candidates)
        policy = context.policies.routing(self._routing)
        question = RouteQuestion(self._target.item.item_id, self._request.prefix_key)
        chosen = policy.choose(question, candidates)
        context.decisions.add(
            self._request.request_id,
            'route',
            model=self._request.model,
            caller=self._request.caller,
            upstream=chosen.upstream_id,
            item=chosen.item_id,
            policy=self._routing.name,
            estimate_ms=chosen.estimate_s * 1000.0,
            running=chosen.running,
            candidates=len(candidates),
            attempt=self._tries + 1,
            resume_at=len(self._text),
            revision=self._catalog.revision,
        )
        return chosen

    def _admit(self, candidates: list[Candidate]) -> None:
        context = self._context
        best = min(candidates, key=lambda c: c.estimate_s)
        limit = context.settings.max_streams_per_upstream
        deployment = self._target.deployment
        question = AdmissionQuestion(
            priority_class=deployment.priority_class,
            estimate_s=best.estimate_s,
            target_s=deployment.first_token_target_s,
            remaining_s=self._remaining_s,
            running=best.running,
            limit=limit,
        )
        outcome = context.policies.admission(self._admission).decide(question)
        if not isinstance(outcome, NotRun) and all(
            context.loads.own(c.upstream_id) >= limit for c in candidates
        ):
            outcome = NotRun(RefusalReason.OVERLOADED, best.estimate_s, 'too many in flight')
        if isinstance(outcome, NotRun):
            context.samples.note_refused(self._policies, deployment.priority_class)
            context.demand.refused(self._target.item.item_id)
            context.metrics.count(f'entry.refused.{deployment.priority_class}')
            self._note_refused_line(outcome, best)
            raise RequestNotRun(outcome)

    def _note_refused_line(self, outcome: NotRun, best: Candidate) -> None:
        self._context.decisions.add(
            self._request.request_id,
            'refuse',
            model=self._request.model,
            caller=self._request.caller,
            policy=self._admission.name,
            reason=outcome.reason,
            estimate_ms=best.estimate_s * 1000.0,
            running=best.running,
        )

    async def _generate(self, candidate: Candidate) -> AsyncGenerator[list[TokenLine], None]:
        context = self._context
        request = self._request
        deployment = self._target.deployment
        priority = context.policies.priority(self._priority)
        order = GenerateRequest(
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
            async with aclosing(engine.generate(order)) as batches:
                async for batch in batches:
                    yield batch
        finally:
            context.loads.ended(candidate.upstream_id)

    def _note_batch(self, batch: list[TokenLine], candidate: Candidate) -> None:
        self._text += [line.text for line in batch if not line.finish]
        self._context.metrics.count('entry.tokens', len(batch))
        if self._first_token_s is not None:
            return
        self._first_token_s = boottime_s() - self._started_s
        deployment = self._target.deployment
        met = self._first_token_s <= deployment.first_token_target_s
        context = self._context
        context.loads.learn(
            candidate.upstream_id,
            deployment.priority_class,
            self._first_token_s,
            candidate.running,
        )
        context.policies.admission(self._admission).note_result(deployment.priority_class, met)
        context.samples.note_first_token(
            self._policies, deployment.priority_class, self._first_token_s, met
        )
        context.metrics.time_s('entry.first_token', self._first_token_s)

    def _note_refusal(self, candidate: Candidate, refused: UpstreamRefused) -> None:
        self._refused.add(candidate.upstream_id)
        if refused.leaving:
            self._context.upstreams.mark_leaving(candidate.upstream_id, '')
        self._context.metrics.count('entry.upstream_refused')
        self._check_retry(RefusalReason.UPSTREAM_REFUSED, refused.retry_after_s)

    def _note_break(self, candidate: Candidate, broken: ExchangeBroken) -> None:
        self._context.metrics.count('entry.exchange_broken')
        self._broken.add(candidate.upstream_id)
        self._may_have_run = True
        if not self._target.deployment.repeatable:
            raise RequestInDoubt(MayHaveRun(broken.reason))
        self._check_retry(RefusalReason.UPSTREAM_UNREACHABLE)

    def _check_retry(self, reason: RefusalReason, retry_after_s: float | None = None) -> None:
        """Return if another try is allowed, else raise the final outcome."""
        budget = self._context.budget(self._target.deployment.name)
        if self._tries >= MAX_TRIES or self._remaining_s <= 0 or not budget.try_retry():
            self._give_up(reason, retry_after_s or NOT_READY_RETRY_S)
        self._context.metrics.count('entry.retries')

    def _give_up(self, reason: RefusalReason, retry_after_s: float) -> None:
        self._context.demand.refused(self._target.item.item_id)
        if self._may_have_run:
            raise RequestInDoubt(MayHaveRun(DoubtReason.ANSWER_CUT))
        raise RequestNotRun(NotRun(reason, retry_after_s))
