"""A play of placement and admission together, where weights lie in memories, on disks or far.

Callers that find no copy are held or refused by the rules of admission; a replica keeps
the weights that it used last.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.absent_model import AbsentModel, Hold, decide_absent
from limeshelf.demand.keys import ModelKey
from limeshelf.demand.model_demand import demand_by_model
from limeshelf.demand.waits import ModelOutlook, model_wait_s
from limeshelf.placement.planner import CopyPlanner, MoveReason
from limeshelf.util.clock import virtual_clock
from tests.placement import fleet_play as fleet
from tests.placement.fleet_play import SERVICE, ModelPlay, ModelReplica
from tests.support.routes import make_route

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route
    from limeshelf.placement.planner import CopyMove
    from limeshelf.util.clock import VirtualClock

#: Models whose weights a replica's memory and disk hold.
IN_MEMORY = 2
ON_DISK = 6
URGENT = make_route(objective_s=0.4, timeout_s=12.0)
PATIENT = make_route(objective_s=5.0, timeout_s=20.0)


@attrs.frozen
class Call:
    """One caller's try, while it waits."""

    model: str
    route: Route
    arrived_s: float
    returned: bool


@attrs.define
class Tiers:
    """What one replica's machine keeps, the last used first."""

    in_memory: list[str] = attrs.field(factory=list)
    on_disk: list[str] = attrs.field(factory=list)

    def note_used(self, model: str) -> None:
        for kept, count in ((self.in_memory, IN_MEMORY), (self.on_disk, ON_DISK)):
            if model in kept:
                kept.remove(model)
            kept.insert(0, model)
            del kept[count:]


@attrs.define
class TierPlay(ModelPlay):
    """Adds to the plays of models where weights lie, and calls that are held.

    :ivar outcomes: of patient first tries: ``in time``, ``late`` or ``refused``; of those who came
        back, with ``back`` before it.
    :ivar loads: of patient models, by tier.
    """

    tiers: dict[str, Tiers] = attrs.field(factory=dict)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    urgent_outcomes: Counter[str] = attrs.field(factory=Counter)
    loads: Counter[str] = attrs.field(factory=Counter)
    #: When the load under way at each replica ends, and of which model.
    under_way: dict[str, tuple[float, str]] = attrs.field(factory=dict)
    upcoming_s: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def with_disks(
        cls,
        clock: VirtualClock,
        replicas: int,
        places: int,
        models: list[str],
        chance: random.Random,
    ) -> TierPlay:
        """Return a play whose disks hold what stands there and a few models more."""
        play = cls.of(clock, replicas, places, models)
        assert isinstance(play, TierPlay)
        for one in play.replicas:
            tiers = play.tiers[one.copies.replica_id] = Tiers()
            others = chance.sample([name for name in models if name not in one.serving], 3)
            for name in (*others, *sorted(one.serving)):
                tiers.note_used(name)
            play._show_tiers(one)
        return play

    def _show_tiers(self, replica: ModelReplica) -> None:
        tiers = self.tiers[replica.copies.replica_id]
        replica.copies.in_memory = frozenset(tiers.in_memory)
        replica.copies.on_disk = frozenset(tiers.on_disk)

    def arrive(self, model: str, route: Route, *, returned: bool = False) -> None:
        """Let a caller try once; one that is refused comes back at the time it was told."""
        self._try(Call(model, route, self.line.clock.now_s, returned))

    def _try(self, call: Call) -> None:
        key = ModelKey(SERVICE, call.model)
        if self.line.clock.now_s == call.arrived_s:
            self.gateway.began(key, int(call.route.objective_s * 1000))
        if self.serve(key, self.gateway.of(key)):
            self.gateway.note_served(key)
            self._note_end(
                call, 'in time' if self._waited_s(call) <= call.route.objective_s else 'late'
            )
            return
        decided = decide_absent(self._absent(call))
        if isinstance(decided, Hold):
            self.line.after(decided.wait_s, lambda: self._try(call))
            return
        self._note_end(call, 'refused')
        if not call.returned:
            back_s = decided.retry_after_s
            self.line.after(back_s, lambda: self.arrive(call.model, call.route, returned=True))

    def _waited_s(self, call: Call) -> float:
        return self.line.clock.now_s - call.arrived_s

    def _absent(self, call: Call) -> AbsentModel:
        now_s = self.line.clock.now_s
        coming_s = [at_s for at_s, model in self.under_way.values() if model == call.model]
        at_s = min(coming_s, default=self.upcoming_s.get(call.model))
        held = any(call.model in one.serving for one in self.replicas)
        spec = self.engine.models[call.model]
        in_s = None if at_s is None else at_s - now_s
        outlook = ModelOutlook(held, held, in_s, spec.load_s, 0.0)
        waited_s = self._waited_s(call)
        left_s = call.route.timeout_s - waited_s
        return AbsentModel(
            route=call.route,
            expected_wait_s=model_wait_s(outlook),
            waited_s=waited_s,
            left_s=left_s,
            returned=call.returned,
            announced=at_s is not None,
            excluded=False,
            answer_started=False,
        )

    def _note_end(self, call: Call, outcome: str) -> None:
        outcomes = self.outcomes if call.route is PATIENT else self.urgent_outcomes
        outcomes[f'back {outcome}' if call.returned else outcome] += 1

    def plan(self) -> None:
        now_s = self.line.clock.now_s
        copies = [one.copies for one in self.replicas]
        for one in copies:
            one.free_in_s = self.under_way.get(one.replica_id, (now_s, ''))[0] - now_s
        totals = self.gateway.leader.latest()
        demands = demand_by_model(SERVICE, self.engine, totals, lambda *_: fleet.READ_MS)
        starved_s = self.starvation.track(SERVICE, demands, copies)
        planner = CopyPlanner(self.engine, demands, {}, starved_s, (), self.overdue_loads)
        while (
            move := planner.next_move(copies, self.pace.may_load(self.engine.loads_per_s))
        ) is not None:
            if move.from_store:
                self.pace.record_load()
            self._begin(move)
            if move.reason is MoveReason.OVERDUE:
                self.overdue_loads.record_start(move.replica_id, move.model)
        self.upcoming_s = {
            name: now_s + in_s for name, in_s in planner.outlook(copies).ready_in_s.items()
        }

    def _begin(self, move: CopyMove) -> None:
        replica = next(one for one in self.replicas if one.copies.replica_id == move.replica_id)
        is_busy = bool(move.evicted) and replica.running > 0
        unload_s = fleet.MODEL_UNLOAD_S if is_busy else fleet.IDLE_UNLOAD_S * bool(move.evicted)
        replica.copies.begin_move(move.model, move.evicted)
        replica.serving -= set(move.evicted)
        if move.model.startswith('patient'):
            self.loads['store' if move.from_store else 'near'] += 1
        took_s = unload_s + move.load_s
        self.under_way[move.replica_id] = (self.line.clock.now_s + took_s, move.model)
        self.line.after(took_s, lambda: self._came(replica, move.model))

    def _came(self, replica: ModelReplica, model: str) -> None:
        del self.under_way[replica.copies.replica_id]
        self.tiers[replica.copies.replica_id].note_used(model)
        self._show_tiers(replica)
        self._loaded(replica, model)


def play_day(seed: int, seconds: float = 60.0) -> TierPlay:
    """Play a day without a fault: urgent demand moves, few ask for each of many patient models."""
    chance = random.Random(seed)
    urgent = [f'urgent-{n}' for n in range(10)]
    patient = [f'patient-{n}' for n in range(16)]
    with virtual_clock() as clock:
        clock.advance(1000.0)
        play = TierPlay.with_disks(clock, 6, 3, [*urgent, *patient], chance)
        play.begin()
        hot: list[str] = []
        play.line.every(
            lambda: 10.0, lambda: hot.__setitem__(slice(None), chance.sample(urgent, 4)), 0.0
        )
        play.line.every(
            lambda: chance.expovariate(25.0), lambda: play.arrive(chance.choice(hot), URGENT), 0.01
        )
        play.line.every(
            lambda: chance.expovariate(2.8),
            lambda: play.arrive(chance.choice(patient), PATIENT),
            0.01,
        )
        play.line.run(seconds)
    return play
