"""Drives the real placers on a virtual clock before simulated engines.

Owns the data centres, the engines and the order of events of one run; requests go through
:mod:`limeshelf.standalone.experiment.requests`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.config.holder import ConfigHolder
from limeshelf.standalone.experiment.centres import Centre
from limeshelf.standalone.experiment.engine import EngineSpeed, SimulatedEngine
from limeshelf.standalone.experiment.events import EventQueue
from limeshelf.standalone.experiment.measures import RunResult
from limeshelf.standalone.experiment.requests import DEADLINE_S, RequestModel
from limeshelf.standalone.experiment.table import MemoryTable
from limeshelf.standalone.experiment.workload import Profile, Variant, arrivals, document
from limeshelf.standalone.membership.states import engine_state
from limeshelf.standalone.services.instances import Listed, ListedKind
from limeshelf.standalone.upstreams.messages import OrderAction
from limeshelf.util.clock import VirtualClock, virtual_clock

if TYPE_CHECKING:
    from limeshelf.standalone.experiment.systems import PolicySet

#: Pause between two placement rounds; the programs' default is 0.5 s (placer.round_s).
ROUND_S = 1.0
#: Pause between two sendings of the engines' states.
STATES_S = 0.25
#: Time in which the first placement settles before requests come.
WARM_UP_S = 240.0
#: An engine is lost at this share of a failing run.
FAILURE_AT = 0.4
#: Memory of an engine of the bound, against the profile's: room for all models at each.
UNLIMITED_FACTOR = 100


@attrs.frozen
class _Moves:
    """Loads and unloads that all engines have taken since their start."""

    loads: int
    unloads: int
    loaded_bytes: int


class Simulation:
    """One run of one system on one workload."""

    def __init__(
        self,
        system: PolicySet,
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
        self._events = EventQueue(clock)
        self._config = ConfigHolder()
        self._stepping: set[str] = set()
        self._seed = seed
        self._duration_s = duration_s
        self._result = RunResult(system.name, profile.name, variant.value, seed, 0, duration_s)
        self._loop = asyncio.new_event_loop()
        self._engines = self._make_engines(speed)
        self._result.engines = len(self._engines)
        self._centres = self._make_centres()
        self._requests = RequestModel(
            self._config, self._centres, self._engines, self._result, clock, self._wake
        )
        self._deploy()

    def _make_engines(self, speed: EngineSpeed) -> dict[str, SimulatedEngine]:
        capacity_bytes = self._profile.engine_bytes
        if self._system.unlimited_memory:
            capacity_bytes *= UNLIMITED_FACTOR
        return {
            f'{centre}{n}': SimulatedEngine(f'{centre}{n}', capacity_bytes, speed, self._clock)
            for centre in self._profile.data_centres
            for n in range(self._profile.engines_each)
        }

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
        self._events.after(0.0, self._placement_round)
        self._events.after(0.0, self._share_states)
        self._events.run_until(self._clock.now_s + WARM_UP_S)
        before = self._moves()
        for arrival in arrivals(self._profile, self._variant, self._seed, self._duration_s):
            self._events.after(arrival.at_s, self._requests.arrive, arrival)
        if self._variant is Variant.FAILING:
            self._events.after(self._duration_s * FAILURE_AT, self._lose_engine)
        self._events.run_until(self._clock.now_s + self._duration_s + DEADLINE_S)
        after = self._moves()
        self._result.loads = after.loads - before.loads
        self._result.unloads = after.unloads - before.unloads
        self._result.loaded_bytes = after.loaded_bytes - before.loaded_bytes
        self._result.overcommitted = any(
            engine.max_used_bytes > engine.capacity_bytes for engine in self._engines.values()
        )
        self._loop.close()
        return self._result

    def _moves(self) -> _Moves:
        engines = self._engines.values()
        return _Moves(
            sum(engine.moves[OrderAction.LOAD] for engine in engines),
            sum(engine.moves[OrderAction.UNLOAD] for engine in engines),
            sum(engine.loaded_bytes for engine in engines),
        )

    def _placement_round(self) -> None:
        for centre in self._centres.values():
            demand = centre.take_demand(ROUND_S)
            for other in self._centres.values():
                other.placer.demand.record(demand, self._clock.now_s)
            self._loop.run_until_complete(centre.place())
        self._events.after(ROUND_S, self._placement_round)

    def _share_states(self) -> None:
        for engine in self._engines.values():
            if not engine.alive:
                continue
            state = engine_state(engine.upstream_id, engine.lagged_report())
            for centre in self._centres.values():
                centre.upstreams.take_state(state)
        self._events.after(STATES_S, self._share_states)

    def _lose_engine(self) -> None:
        name = sorted(self._engines)[0]
        # A cut request counts as missed: it never reaches its end.
        self._engines[name].die()
        listed = [u.listed for u in self._centres[name[0]].upstreams.engines()]
        left = [line for line in listed if line.instance_id != name]
        for centre in self._centres.values():
            centre.upstreams.take_listed(left)

    def _wake(self, engine: SimulatedEngine) -> None:
        if engine.upstream_id not in self._stepping and engine.is_busy:
            self._stepping.add(engine.upstream_id)
            self._step(engine)

    def _step(self, engine: SimulatedEngine) -> None:
        if not engine.is_busy:
            self._stepping.discard(engine.upstream_id)
            return
        end_s = engine.step()
        self._events.after(end_s - self._clock.now_s, self._step, engine)


def run_once(
    system: PolicySet,
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
