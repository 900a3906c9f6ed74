"""Plays of the planners against callers and stand-in replicas, on a virtual clock.

Drives the real sums of demand and the real planners as the leader's round does. Loads and unloads
take their time, callers who were refused come back once, and what was served is told in the
counts of a gateway.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.meter import UNSERVED_LIFE_S
from limeshelf.demand.model_demand import demand_by_model
from limeshelf.demand.service_ages import ServiceAges
from limeshelf.demand.totals import RETURN_LIFE_S, DemandTotals
from limeshelf.orders.pending import REPORT_SETTLE_S, PendingOrders
from limeshelf.orders.task import Loadable
from limeshelf.placement.adapters import AdapterMove, AdapterPlanner
from limeshelf.placement.pace import LoadPace
from limeshelf.placement.planner import CopyMove, CopyPlanner, MoveReason
from limeshelf.placement.service import ROUND_S
from limeshelf.placement.starvation import Starvation
from limeshelf.placement.survey import ReplicaCopies
from limeshelf.placement.turns import TurnBook
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.util.clock import VirtualClock

SERVICE = 'lm'
#: Between two messages of the gateway.
COUNTS_S = 0.1
FENCE = 5


@attrs.define
class Timeline:
    """What happens when, on a clock that is moved from one to the next."""

    clock: VirtualClock
    _due: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.clock.now_s + delay_s, next(self._numbers), act))

    def every(self, gap_s: Callable[[], float], act: Callable[[], None], first_s: float) -> None:
        """Do something again and again; *gap_s* returns the pause until the next time."""

        def once() -> None:
            act()
            self.after(gap_s(), once)

        self.after(first_s, once)

    def run(self, seconds: float) -> None:
        end_s = self.clock.now_s + seconds
        while self._due and self._due[0][0] <= end_s:
            at_s, _, act = heapq.heappop(self._due)
            self.clock.advance(max(0.0, at_s - self.clock.now_s))
            act()
        self.clock.advance(end_s - self.clock.now_s)


@attrs.define
class Record:
    """The calls for one thing: when each came, and whether it was served."""

    calls: list[tuple[float, bool]] = attrs.field(factory=list)
    asks: int = 0
    answered: int = 0

    def served(self) -> int:
        return sum(is_served for _, is_served in self.calls)

    def stretches(self) -> list[list[float]]:
        """Return the calls of each time for which it was asked for and served to nobody.

        The last time of each is when it was served, if it was.
        """
        found: list[list[float]] = []
        current: list[float] = []
        for at_s, is_served in self.calls:
            if current and at_s - current[-1] > UNSERVED_LIFE_S:
                found.append(current)
                current = []
            if current or not is_served:
                current.append(at_s)
            if is_served and current:
                found.append(current)
                current = []
        return [*found, current] if current else found

    def longest_unserved_s(self, since_s: float = 0.0, least_calls: int = 4) -> float:
        """Return the longest time unserved, of those with so many calls; from then on alone."""
        late = [[at_s for at_s in calls if at_s >= since_s] for calls in self.stretches()]
        return max((one[-1] - one[0] for one in late if len(one) >= least_calls), default=0.0)


@attrs.define
class Gateway:
    """The counts of one gateway, and the sums of demand at the leader and at its heir."""

    leader: DemandTotals = attrs.field(factory=DemandTotals)
    heir: DemandTotals = attrs.field(factory=DemandTotals)
    counts: dict[ModelKey, KeyDemand] = attrs.field(factory=dict)
    ages: dict[ModelKey, ServiceAges] = attrs.field(factory=dict)
    asked_s: dict[ModelKey, float] = attrs.field(factory=dict)
    loses_wishes: bool = False
    is_doubled: bool = False
    is_disordered: bool = False
    _before: list[KeyDemand] = attrs.field(factory=list)

    def of(self, key: ModelKey) -> KeyDemand:
        self.ages.setdefault(key, ServiceAges())
        return self.counts.setdefault(key, KeyDemand(key))

    def began(self, key: ModelKey, objective_ms: int) -> KeyDemand:
        counts = self.of(key)
        counts.started += 1
        counts.objective_ms = objective_ms
        now_s = boottime_s()
        if now_s - self.asked_s.get(key, now_s) > UNSERVED_LIFE_S:
            self.ages[key].forget_waiting()
        self.asked_s[key] = now_s
        self.ages[key].note_asked(now_s)
        return counts

    def note_served(self, key: ModelKey) -> None:
        self.ages[key].note_served(boottime_s())

    def send(self) -> None:
        """Send the counts to both, as the faults have it."""
        now = [self._told(one) for one in self.counts.values()]
        messages = [now]
        if self.is_doubled:
            messages = [now, now]
        if self.is_disordered:
            messages = [now, self._before]
        for message in messages:
            self.leader.take('g1', message)
            self.heir.take('g1', message)
        self._before = now

    def _told(self, counts: KeyDemand) -> KeyDemand:
        told = msgspec.structs.replace(counts)
        self.ages[counts.key].tell(told, boottime_s())
        return told

    def replace_leader(self) -> None:
        self.leader, self.heir = self.heir, self.leader

    def step(self) -> None:
        self.leader.step()
        self.heir.step()


@attrs.define
class Play:
    """Callers before a gateway; what each kind of play shares."""

    line: Timeline
    gateway: Gateway = attrs.field(factory=Gateway)
    records: dict[ModelKey, Record] = attrs.field(factory=dict)

    def begin(self) -> None:
        self.line.every(lambda: COUNTS_S, self.gateway.send, COUNTS_S)
        self.line.every(lambda: ROUND_S, self._round, ROUND_S)

    def _round(self) -> None:
        self.gateway.step()
        self.plan()

    def ask(self, key: ModelKey, objective_ms: int, back_s: Callable[[], float]) -> None:
        """Call once; who is refused comes back once."""
        record = self.records.setdefault(key, Record())
        record.asks += 1

        def again() -> None:
            record.answered += self._call(key, objective_ms)

        if self._call(key, objective_ms):
            record.answered += 1
        else:
            self.line.after(back_s(), again)

    def _call(self, key: ModelKey, objective_ms: int) -> bool:
        counts = self.gateway.began(key, objective_ms)
        is_served = self.serve(key, counts)
        self.records.setdefault(key, Record()).calls.append((self.line.clock.now_s, is_served))
        if is_served:
            self.gateway.note_served(key)
        return is_served

    def serve(self, key: ModelKey, counts: KeyDemand) -> bool:
        """Serve a call if a replica can."""
        raise NotImplementedError

    def plan(self) -> None:
        """Do what the leader does in a round."""
        raise NotImplementedError


#: An adapter's unload, its load, and the run of a call.
ADAPTER_UNLOAD_S = 0.1
ADAPTER_LOAD_S = 0.3
ADAPTER_CALL_S = 0.1


@attrs.define
class AdapterReplica:
    """A replica that holds a model and loads one adapter at a time."""

    name: str
    held: set[str]
    pending: PendingOrders = attrs.field(factory=PendingOrders)
    running: dict[str, int] = attrs.field(factory=dict)
    free_s: float = 0.0
    orders: int = 1
    is_cut_off: bool = False
    #: What the leader does once a report shows the end of an order.
    unreported: list[Callable[[], object]] = attrs.field(factory=list)

    def report(self) -> ReplicaReport:
        return ReplicaReport((Holding('m1', frozenset(self.held)),), False, self.orders)


@attrs.define
class AdapterPlay(Play):
    """One model's adapters, more of them than places."""

    engine: EngineSpec = attrs.field(kw_only=True)
    directory: ReplicaDirectory = attrs.field(factory=lambda: ReplicaDirectory(read_record))
    replicas: dict[str, AdapterReplica] = attrs.field(factory=dict)
    reports_are_late: bool = False

    @classmethod
    def of(
        cls, clock: VirtualClock, places: int, adapters: list[str], replicas: int = 1
    ) -> AdapterPlay:
        """Return a play whose places are taken by the first adapters."""
        model = ModelSpec('m1', 70.0, 6.0, 1.0, frozenset(adapters), 1.0)
        play = cls(
            Timeline(clock), engine=EngineSpec(16, 10_000, 200.0, places, 2.0, {'m1': model})
        )
        for number in range(replicas):
            name = f'r{number}'
            held = set(adapters[number * places : (number + 1) * places])
            replica = play.replicas[name] = AdapterReplica(name, held)
            play.directory.apply_record(
                ReplicaRecord(name, SERVICE, f'ip:{name}', 'z1', 16, False, None, (), 1)
            )
            replica.pending.note_claimed(FENCE)
        clock.advance(1.1 * REPORT_SETTLE_S)
        play._report()
        play.line.every(lambda: COUNTS_S, play._report, COUNTS_S)
        return play

    def _report(self) -> None:
        if self.reports_are_late:
            return
        for name, replica in self.replicas.items():
            report = replica.report()
            self.directory.apply_report(name, report)
            replica.pending.note_report(report)
            for note in replica.unreported:
                note()
            replica.unreported.clear()

    def serve(self, key: ModelKey, counts: KeyDemand) -> bool:
        for replica in self.replicas.values():
            if key.adapter in replica.held and not replica.is_cut_off:
                self._run(replica, key.adapter, counts)
                return True
        counts.wanted += 1
        if not self.gateway.loses_wishes:
            self.gateway.leader.note_missing(key)
            self._bring([key])
        return False

    def _run(self, replica: AdapterReplica, adapter: str, counts: KeyDemand) -> None:
        replica.running[adapter] = replica.running.get(adapter, 0) + 1
        counts.running += 1

        def end() -> None:
            replica.running[adapter] -= 1
            counts.running -= 1

        self.line.after(ADAPTER_CALL_S, end)

    def plan(self) -> None:
        self._bring(self._planner().due())

    def _planner(self) -> AdapterPlanner:
        totals = self.gateway.leader.latest()
        return AdapterPlanner(SERVICE, self.engine, self.directory, totals, FENCE)

    def _bring(self, keys: list[ModelKey]) -> None:
        pending = {name: replica.pending for name, replica in self.replicas.items()}
        planner = self._planner()
        for key in keys:
            move = planner.plan(key, pending)
            if move is not None:
                self._begin(move)

    def _begin(self, move: AdapterMove) -> None:
        replica = self.replicas[move.replica.replica_id]
        item = Loadable('m1', move.key.adapter)
        gone = move.evicted
        now_s = self.line.clock.now_s
        replica.pending.expect(item, now_s)
        start_s = max(now_s, replica.free_s)
        unload_s = 0.0
        if gone is not None:
            replica.pending.note_unloading(Loadable('m1', gone.adapter))
            unload_s = ADAPTER_UNLOAD_S + ADAPTER_CALL_S * bool(replica.running.get(gone.adapter))
            self.line.after(
                start_s + unload_s - now_s, lambda: self._unloaded(replica, gone.adapter)
            )
        replica.free_s = start_s + unload_s + ADAPTER_LOAD_S
        self.line.after(replica.free_s - now_s, lambda: self._loaded(replica, item))

    def _unloaded(self, replica: AdapterReplica, adapter: str) -> None:
        replica.held.discard(adapter)
        gone = [Loadable('m1', adapter)]
        replica.unreported.append(lambda: replica.pending.note_unload_ended(gone))
        self._ordered(replica)

    def _loaded(self, replica: AdapterReplica, item: Loadable) -> None:
        replica.held.add(item.adapter)
        assert len(replica.held) <= self.engine.adapter_places
        replica.unreported.append(lambda: replica.pending.note_ended(item))
        self._ordered(replica)

    def _ordered(self, replica: AdapterReplica) -> None:
        replica.orders += 1
        self._report()


#: A model's load from the weight store, and its unload where calls run.
MODEL_LOAD_S = 6.0
MODEL_UNLOAD_S = 2.0
IDLE_UNLOAD_S = 0.2
MODEL_CALL_S = 0.5
#: Of any prompt: reading bounds nothing here.
READ_MS = 0.0


@attrs.define
class ModelReplica:
    """A replica with some places for models, one order at a time."""

    copies: ReplicaCopies
    running: int = 0
    is_cut_off: bool = False
    #: What came and is not yet known to the leader to be there.
    serving: set[str] = attrs.field(factory=set)


@attrs.define
class ModelPlay(Play):
    """Replicas that hold a few models each, where there are more models than places."""

    engine: EngineSpec = attrs.field(kw_only=True)
    replicas: list[ModelReplica] = attrs.field(factory=list)
    pace: LoadPace = attrs.field(factory=lambda: LoadPace(1.0))
    starvation: Starvation = attrs.field(factory=Starvation)
    turns: TurnBook = attrs.field(factory=TurnBook)
    report_lag_s: float = 0.0
    #: Models whose copy came and has served nobody yet.
    unused: set[str] = attrs.field(factory=set)
    #: Those that were unloaded before, though somebody might have come back: when, and for what.
    gone_too_soon: list[tuple[float, str, str]] = attrs.field(factory=list)

    @classmethod
    def of(cls, clock: VirtualClock, replicas: int, places: int, models: list[str]) -> ModelPlay:
        """Return a play whose places are taken by the first models."""
        specs = {
            name: ModelSpec(name, 70.0, MODEL_LOAD_S, 0.6, frozenset(), 0.0, 1.3)
            for name in models
        }
        engine = EngineSpec(16, 100_000, 70.0 * places + 20.0, 8, 2.0, specs)
        play = cls(Timeline(clock), engine=engine)
        for number in range(replicas):
            held = {models[(number * places + n) % len(models)] for n in range(places)}
            copies = ReplicaCopies(f'r{number}', held, set(), True, f'c{number % 3}')
            play.replicas.append(ModelReplica(copies, serving=set(held)))
        return play

    def serve(self, key: ModelKey, counts: KeyDemand) -> bool:
        holders = [one for one in self.replicas if key.model in one.serving and not one.is_cut_off]
        if not holders:
            counts.wanted += 1
            if not self.gateway.loses_wishes:
                self.gateway.leader.note_missing(key)
            return False
        replica = min(holders, key=lambda one: one.running)
        if replica.running >= self.engine.slots:
            counts.refused += 1
            return False
        self.unused.discard(key.model)
        replica.running += 1
        counts.running += 1

        def end() -> None:
            replica.running -= 1
            counts.running -= 1

        self.line.after(MODEL_CALL_S, end)
        return True

    def plan(self) -> None:
        totals = self.gateway.leader.latest()
        demands = demand_by_model(SERVICE, self.engine, totals, lambda *_: READ_MS)
        copies = [one.copies for one in self.replicas]
        starved_s = self.starvation.step(SERVICE, demands, copies)
        planner = CopyPlanner(self.engine, demands, {}, starved_s, (), self.turns)
        while True:
            move = planner.next_move(copies, self.pace.allows(self.engine.loads_per_s))
            if move is None:
                return
            if move.from_store:
                self.pace.note()
            self._begin(move)
            if move.reason is MoveReason.OVERDUE:
                self.turns.note_begun(move.replica_id, move.model)

    def _begin(self, move: CopyMove) -> None:
        replica = next(one for one in self.replicas if one.copies.replica_id == move.replica_id)
        is_busy = bool(move.evicted) and replica.running > 0
        unload_s = MODEL_UNLOAD_S if is_busy else IDLE_UNLOAD_S * bool(move.evicted)
        replica.copies.begin_move(move.model, move.evicted)
        replica.serving -= set(move.evicted)
        for name in self.unused.intersection(move.evicted):
            self._note_unused_copy_goes(name, move.model)
        self.line.after(unload_s + move.load_s, lambda: self._loaded(replica, move.model))

    def _note_unused_copy_goes(self, model: str, brought: str) -> None:
        now_s = self.line.clock.now_s
        self.unused.discard(model)
        called_s, was_served = self.records[ModelKey(SERVICE, model)].calls[-1]
        if not was_served and now_s - called_s < RETURN_LIFE_S:
            self.gone_too_soon.append((now_s, model, brought))

    def _loaded(self, replica: ModelReplica, model: str) -> None:
        replica.serving.add(model)
        if not any(model in one.serving for one in self.replicas if one is not replica):
            self.unused.add(model)
        self.line.after(self.report_lag_s, lambda: self._reported(replica, model))

    def _reported(self, replica: ModelReplica, model: str) -> None:
        replica.copies.loading.discard(model)
        replica.copies.ready.add(model)
        replica.copies.is_idle = True
