"""What is logged, counted and learned of one model request.

Owns no state. Relies on the decision log, the metrics, the demand counter, the loads and
the samples by policy of the entry process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.errors import NotRun
    from limeshelf.standalone.admission.policies import AdmissionQuestion
    from limeshelf.standalone.config.catalog import Target
    from limeshelf.standalone.entry.context import EntryContext
    from limeshelf.standalone.entry.parse import ModelRequest
    from limeshelf.standalone.entry.request_policies import RequestPolicies
    from limeshelf.standalone.routing.candidates import Candidate


@attrs.frozen
class ModelRecorder:
    """Writes down what was decided on one model request and what came of it."""

    context: EntryContext
    request: ModelRequest
    target: Target
    policies: RequestPolicies

    def note_route(
        self, chosen: Candidate, candidates: int, attempt: int, resume_at: int, revision: int
    ) -> None:
        """Log the replica that an attempt goes to.

        :param candidates: replicas that it was chosen from.
        :param attempt: number of the attempt, from 1.
        :param resume_at: index of the first token that is asked for.
        """
        self.context.decisions.add(
            self.request.request_id,
            'route',
            model=self.request.model,
            caller=self.request.caller,
            upstream=chosen.upstream_id,
            item=chosen.item_id,
            policy=self.policies.routing.name,
            estimate_ms=chosen.estimate_s * 1000.0,
            running=chosen.running,
            candidates=candidates,
            attempt=attempt,
            resume_at=resume_at,
            revision=revision,
        )

    def note_not_admitted(self, outcome: NotRun, question: AdmissionQuestion) -> None:
        """Count and log a request that was refused before any attempt."""
        context = self.context
        context.samples.note_refused(self.policies.all(), question.priority_class)
        context.demand.refused(self.target.item.item_id)
        context.metrics.count(f'entry.refused.{question.priority_class}')
        context.decisions.add(
            self.request.request_id,
            'refuse',
            model=self.request.model,
            caller=self.request.caller,
            policy=self.policies.admission.name,
            reason=outcome.reason,
            estimate_ms=question.estimate_s * 1000.0,
            running=question.running,
        )

    def note_first_token(self, first_token_s: float, candidate: Candidate) -> None:
        """Learn from the time that the first token took since the request arrived."""
        context = self.context
        deployment = self.target.deployment
        priority_class = deployment.priority_class
        met = first_token_s <= deployment.first_token_target_s
        context.loads.learn(
            candidate.upstream_id, priority_class, first_token_s, candidate.running
        )
        context.policies.admission(self.policies.admission).note_result(priority_class, met)
        context.samples.note_first_token(self.policies.all(), priority_class, first_token_s, met)
        context.metrics.time_s('entry.first_token', first_token_s)
