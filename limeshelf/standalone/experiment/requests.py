"""Takes the requests of an experiment through the real admission and routing.

Owns the policies' state between requests. Relies on what a data centre knows of the
engines, as an entry program would; an engine is asked only whether it still holds an item.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.errors import NotRun
from limeshelf.standalone.admission.policies import AdmissionQuestion
from limeshelf.standalone.config.document import PolicyKind
from limeshelf.standalone.entry.request_policies import PolicyCache
from limeshelf.standalone.experiment.engine import Work
from limeshelf.standalone.experiment.measures import met_targets
from limeshelf.standalone.routing.candidates import Candidate, engine_candidates
from limeshelf.standalone.routing.policies import RouteQuestion

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.standalone.admission.policies import AdmissionPolicy
    from limeshelf.standalone.config.catalog import Target
    from limeshelf.standalone.config.holder import ConfigHolder
    from limeshelf.standalone.experiment.centres import Centre
    from limeshelf.standalone.experiment.engine import SimulatedEngine
    from limeshelf.standalone.experiment.measures import ClassCount, RunResult
    from limeshelf.standalone.experiment.workload import Arrival
    from limeshelf.util.clock import VirtualClock

#: Time that a caller gives each request.
DEADLINE_S = 30.0
#: Limit of streams of one entry instance to one engine.
STREAMS_LIMIT = 1000


class RequestModel:
    """Admits, routes and counts the requests of one run.

    :param wake: called with an engine that has got work.
    """

    def __init__(
        self,
        config: ConfigHolder,
        centres: dict[str, Centre],
        engines: dict[str, SimulatedEngine],
        result: RunResult,
        clock: VirtualClock,
        wake: Callable[[SimulatedEngine], None],
    ) -> None:
        self._config = config
        self._centres = centres
        self._engines = engines
        self._result = result
        self._clock = clock
        self._wake = wake
        self._policies = PolicyCache()

    def arrive(self, arrival: Arrival) -> None:
        """Admit and send one request, and count what becomes of it."""
        centre = self._centres[arrival.data_centre]
        target = self._config.catalog.targets[f'{arrival.model}:{arrival.adapter}']
        deployment = target.deployment
        count = self._result.classes[deployment.priority_class.value]
        count.requests += 1
        item_id = target.item.item_id
        centre.arrived[item_id] = centre.arrived.get(item_id, 0) + 1
        candidates = self._candidates(centre, target)
        if not candidates:
            count.unreachable += 1
            centre.refused[item_id] = centre.refused.get(item_id, 0) + 1
            return
        if self._is_refused(target, candidates):
            count.refused += 1
            centre.refused[item_id] = centre.refused.get(item_id, 0) + 1
            return
        self._send(arrival, centre, target, candidates)

    def _candidates(self, centre: Centre, target: Target) -> list[Candidate]:
        found = engine_candidates(
            target.item.item_id,
            target.deployment.priority_class,
            centre.upstreams,
            centre.loads,
            frozenset(),
        )
        # An engine that no longer holds the item refuses, and another is asked.
        return [c for c in found if self._engines[c.upstream_id].holds(c.item_id)]

    def _policy(self, kind: PolicyKind, target: Target) -> Any:
        return self._config.catalog.policy_for(kind, target.deployment, 1.0)

    def _is_refused(self, target: Target, candidates: list[Candidate]) -> bool:
        policy = self._policies.admission(self._policy(PolicyKind.ADMISSION, target))
        best = min(candidates, key=lambda c: c.estimate_s)
        question = AdmissionQuestion(
            target.deployment.priority_class,
            best.estimate_s,
            target.deployment.first_token_target_s,
            DEADLINE_S,
            best.running,
            STREAMS_LIMIT,
        )
        return isinstance(policy.decide(question), NotRun)

    def _send(
        self, arrival: Arrival, centre: Centre, target: Target, candidates: list[Candidate]
    ) -> None:
        item_id = target.item.item_id
        priority_class = target.deployment.priority_class
        routing = self._policies.routing(self._policy(PolicyKind.ROUTING, target))
        chosen = routing.choose(RouteQuestion(item_id, arrival.prefix_key), candidates)
        priority = self._policies.priority(self._policy(PolicyKind.PRIORITY, target))
        admission = self._policies.admission(self._policy(PolicyKind.ADMISSION, target))
        count = self._result.classes[priority_class.value]
        sent = _SentRequest(centre, target, chosen, admission, count)
        sent.start()
        engine = self._engines[chosen.upstream_id]
        engine.add(
            Work(
                item_id,
                priority.rank(priority_class, DEADLINE_S),
                arrival.prompt_tokens,
                arrival.answer_tokens,
                arrival.prefix_key,
                self._clock.now_s,
                done=sent.end,
                first=sent.take_first_token,
            )
        )
        self._wake(engine)


@attrs.frozen
class _SentRequest:
    """A request at an engine: what its data centre learns of it, and its outcome.

    :param count: of the request's class; the request is counted as met at its end.
    """

    centre: Centre
    target: Target
    chosen: Candidate
    admission: AdmissionPolicy
    count: ClassCount

    def start(self) -> None:
        """Count the request as in work."""
        item_id = self.target.item.item_id
        self.centre.loads.started(self.chosen.upstream_id)
        self.centre.waiting[item_id] = self.centre.waiting.get(item_id, 0) + 1

    def take_first_token(self, work: Work, at_s: float) -> None:
        """Learn from the time of the first token, as an entry program does."""
        deployment = self.target.deployment
        took_s = at_s - work.arrived_s
        self.centre.loads.learn(
            self.chosen.upstream_id, deployment.priority_class, took_s, self.chosen.running
        )
        met = took_s <= deployment.first_token_target_s
        self.admission.note_result(deployment.priority_class, met)

    def end(self, work: Work, at_s: float) -> None:
        """Count the request as ended, and whether it met its targets."""
        self.centre.loads.ended(self.chosen.upstream_id)
        self.centre.waiting[self.target.item.item_id] -= 1
        if met_targets(
            self.target.deployment, work.first_s, work.arrived_s, at_s, work.answer_tokens
        ):
            self.count.met += 1
