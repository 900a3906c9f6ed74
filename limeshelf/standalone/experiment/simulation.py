"""Drives the real placers and routing on a virtual clock before simulated engines."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.errors import NotRun
from limeshelf.standalone.admission.policies import AdmissionQuestion
from limeshelf.standalone.config.document import PolicyKind
from limeshelf.standalone.config.holder import ConfigHolder
from limeshelf.standalone.entry.request_policies import PolicyCache
from limeshelf.standalone.experiment.centres import Centre
from limeshelf.standalone.experiment.engine import EngineSpeed, SimulatedEngine, Work
from limeshelf.standalone.experiment.measures import RunResult, met_targets
from limeshelf.standalone.experiment.table import MemoryTable
from limeshelf.standalone.experiment.workload import Arrival, Profile, Variant, arrivals, document
from limeshelf.standalone.messages import UpstreamState
from limeshelf.standalone.routing.candidates import Candidate, engine_candidates
from limeshelf.standalone.routing.policies import RouteQuestion
from limeshelf.standalone.services.instances import Listed, ListedKind
from limeshelf.standalone.upstreams.messages import EngineReport, ItemState, OrderAction
from limeshelf.util.clock import VirtualClock, virtual_clock

if TYPE_CHECKING:
    from limeshelf.standalone.config.catalog import Target
    from limeshelf.standalone.experiment.systems import System

ROUND_S = 1.0
STATES_S = 0.25
#: Time in which the first placement settles before requests come.
WARM_UP_S = 240.0
#: An engine is lost at this share of a failing run.
FAILURE_AT = 0.4
DEADLINE_S = 30.0
STREAMS_LIMIT = 1000


class Simulation:
    """One run of one system on one workload."""

    def __init__(
        self,
        system: System,
        profile: Profile,
        variant: Variant,
        seed: int,
        duration_s: float,
        speed: EngineSpeed,
        clock: VirtualClock,
    ) -> None:
        self._system = system
        self._profile = profile
        self._variant = variant
        self._clock = clock
        self._events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._numbers = itertools.count()
        self._config = ConfigHolder()
        self._policies = PolicyCache()
        self._stepping: set[str] = set()
        self._seed = seed
        self._duration_s = duration_s
        self._result = RunResult(system.name, profile.name, variant.value, seed, 0, duration_s)
        self._loop = asyncio.new_event_loop()
        capacity = profile.engine_bytes * (100 if system.unlimited_memory else 1)
        self._engines = {
            f'{centre}{n}': SimulatedEngine(f'{centre}{n}', capacity, speed, clock)
            for centre in profile.data_centres
            for n in range(profile.engines_each)
        }
        self._result.engines = len(self._engines)
        self._centres = self._make_centres()
        self._deploy()

    def _make_centres(self) -> dict[str, Centre]:
        table = MemoryTable()
        listed = [
            Listed(name, ListedKind.ENGINE, name[0], address=name, capacity_bytes=e.capacity_bytes)
            for name, e in self._engines.items()
        ]
        rate = self._profile.loads_per_s
        return {
            name: Centre.from_parts(name, listed, self._config, self._engines, table, rate)
            for name in self._profile.data_centres
        }

    def _deploy(self) -> None:
        made = document(self._profile, self._system.policies)
        made = attrs.evolve(made, bindings=self._system.bindings)
        self._config.take_snapshot(1, made)
        if not self._system.unlimited_memory:
            return
        for engine in self._engines.values():
            engine.hold_all(self._config.catalog.items.values())

    def run(self) -> RunResult:
        """Run from the first placement to the last answer."""
        self._at(0.0, self._placement_round)
        self._at(0.0, self._share_states)
        self._run_until(self._clock.now_s + WARM_UP_S)
        before = self._moves()
        for arrival in arrivals(self._profile, self._variant, self._seed, self._duration_s):
            self._at(arrival.at_s, self._arrive, arrival)
        if self._variant is Variant.FAILING:
            self._at(self._duration_s * FAILURE_AT, self._lose_engine)
        self._run_until(self._clock.now_s + self._duration_s + DEADLINE_S)
        after = self._moves()
        self._result.loads = after[0] - before[0]
        self._result.unloads = after[1] - before[1]
        self._result.loaded_bytes = after[2] - before[2]
        self._result.overcommitted = any(
            engine.max_used_bytes > engine.capacity_bytes for engine in self._engines.values()
        )
        self._loop.close()
        return self._result

    def _moves(self) -> tuple[int, int, int]:
        engines = self._engines.values()
        return (
            sum(engine.moves[OrderAction.LOAD] for engine in engines),
            sum(engine.moves[OrderAction.UNLOAD] for engine in engines),
            sum(engine.loaded_bytes for engine in engines),
        )

    # Events.

    def _at(self, delay_s: float, action: Any, *arguments: Any) -> None:
        event = (self._clock.now_s + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action, arguments = heapq.heappop(self._events)
            self._clock.now_s = max(self._clock.now_s, at_s)
            action(*arguments)
        self._clock.now_s = end_s

    def _placement_round(self) -> None:
        for centre in self._centres.values():
            demand = centre.take_demand(ROUND_S)
            for other in self._centres.values():
                other.placer.demand.take(demand, self._clock.now_s)
            self._loop.run_until_complete(centre.place())
        self._at(ROUND_S, self._placement_round)

    def _share_states(self) -> None:
        for engine in self._engines.values():
            if not engine.alive:
                continue
            state = _state(engine.upstream_id, engine.lagged_report())
            for centre in self._centres.values():
                centre.upstreams.take_state(state)
        self._at(STATES_S, self._share_states)

    def _lose_engine(self) -> None:
        name = sorted(self._engines)[0]
        # A cut request counts as missed: it never reaches its end.
        self._engines[name].die()
        listed = [u.listed for u in self._centres[name[0]].upstreams.engines()]
        left = [line for line in listed if line.instance_id != name]
        for centre in self._centres.values():
            centre.upstreams.take_listed(left)

    # Requests.

    def _arrive(self, arrival: Arrival) -> None:
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
        routing = self._policies.routing(self._policy(PolicyKind.ROUTING, target))
        chosen = routing.choose(RouteQuestion(item_id, arrival.prefix_key), candidates)
        priority_class = target.deployment.priority_class
        priority = self._policies.priority(self._policy(PolicyKind.PRIORITY, target))
        admission = self._policies.admission(self._policy(PolicyKind.ADMISSION, target))
        centre.loads.started(chosen.upstream_id)
        centre.waiting[item_id] = centre.waiting.get(item_id, 0) + 1

        def first(work: Work, at_s: float) -> None:
            seconds = at_s - work.arrived_s
            centre.loads.learn(chosen.upstream_id, priority_class, seconds, chosen.running)
            met = seconds <= target.deployment.first_token_target_s
            admission.note_result(priority_class, met)

        def done(work: Work, at_s: float) -> None:
            centre.loads.ended(chosen.upstream_id)
            centre.waiting[item_id] -= 1
            if met_targets(work.first_s, work.arrived_s, at_s, work.answer_tokens):
                self._result.classes[priority_class.value].met += 1

        engine = self._engines[chosen.upstream_id]
        engine.add(
            Work(
                item_id,
                priority.rank(priority_class, DEADLINE_S),
                arrival.prompt_tokens,
                arrival.answer_tokens,
                arrival.prefix_key,
                self._clock.now_s,
                done=done,
                first=first,
            )
        )
        self._wake(engine)

    def _wake(self, engine: SimulatedEngine) -> None:
        if engine.upstream_id not in self._stepping and engine.is_busy:
            self._stepping.add(engine.upstream_id)
            self._step(engine)

    def _step(self, engine: SimulatedEngine) -> None:
        if not engine.is_busy:
            self._stepping.discard(engine.upstream_id)
            return
        end_s = engine.step()
        self._at(end_s - self._clock.now_s, self._step, engine)


def _state(upstream_id: str, report: EngineReport) -> UpstreamState:
    ready = [item.item_id for item in report.items if item.state is ItemState.READY]
    running = report.running + report.queued
    return UpstreamState(upstream_id, report.boot_id, report.sequence, True, False, running, ready)


def run_once(
    system: System,
    profile: Profile,
    variant: Variant,
    seed: int,
    duration_s: float,
    speed: EngineSpeed | None = None,
) -> RunResult:
    """Run one system on one workload and return what was measured."""
    with virtual_clock() as clock:
        simulation = Simulation(
            system, profile, variant, seed, duration_s, speed or EngineSpeed(), clock
        )
        return simulation.run()
