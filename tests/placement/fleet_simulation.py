"""Simulates the planners with callers and stand-in replicas on a virtual clock.

Runs the real demand totals and planners as the leader's rounds do. Loads and unloads take time,
refused callers retry once, and served calls reach the totals through a gateway's counts.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.meter import UNSERVED_EXPIRY_S
from limeshelf.demand.model_demand import demand_by_model
from limeshelf.demand.serving_state import ServingState
from limeshelf.demand.totals import RETRY_WINDOW_S, DemandTotals
from limeshelf.orders.pending import CLAIM_REPORT_LAG_S, PendingOrders
from limeshelf.orders.task import Loadable
from limeshelf.placement.adapters import AdapterMove, AdapterPlanner
from limeshelf.placement.overdue import OverdueLoads
from limeshelf.placement.planner import CopyMove, CopyPlanner, MoveReason
from limeshelf.placement.service import ROUND_INTERVAL_S
from limeshelf.placement.snapshot import ReplicaView
from limeshelf.placement.starvation import StarvationTracker
from limeshelf.placement.store_load_limiter import StoreLoadLimiter
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.util.clock import VirtualClock

SERVICE = 'lm'
#: Interval between two messages of the gateway.
COUNTS_INTERVAL_S = 0.1
FENCE = 5


@attrs.define
class EventQueue:
    """Scheduled actions, and the clock that is advanced from one to the next."""

    clock: VirtualClock
    _due: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.clock.now_s + delay_s, next(self._numbers), act))

    def every(self, gap_s: Callable[[], float], act: Callable[[], None], first_s: float) -> None:
        """Repeat an action; *gap_s* returns the pause until the next time."""

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
class CallRecord:
    """The calls for one key: when each arrived, and whether it was served.

    :ivar requests: requests, each with at most one retry.
    :ivar served_requests: those that were served at the first attempt or at the retry.
    """

    calls: list[tuple[float, bool]] = attrs.field(factory=list)
    requests: int = 0
    served_requests: int = 0

    def served(self) -> int:
        return sum(is_served for _, is_served in self.calls)

    def unserved_periods(self) -> list[list[float]]:
        """Return the call times of each period in which the key was requested but not served.

        The last time of a period is that of the call that was served, if one was.
        """
        periods: list[list[float]] = []
        current: list[float] = []
        for at_s, is_served in self.calls:
            if current and at_s - current[-1] > UNSERVED_EXPIRY_S:
                periods.append(current)
                current = []
            if current or not is_served:
                current.append(at_s)
            if is_served and current:
                periods.append(current)
                current = []
        return [*periods, current] if current else periods

    def longest_unserved_s(self, since_s: float = 0.0, min_calls: int = 4) -> float:
        """Return the longest unserved period with at least *min_calls* calls since *since_s*."""
        late = [[at_s for at_s in calls if at_s >= since_s] for calls in self.unserved_periods()]
        return max((one[-1] - one[0] for one in late if len(one) >= min_calls), default=0.0)


@attrs.define
class Gateway:
    """The counts of one gateway, and the demand totals at the leader and at a standby."""

    leader: DemandTotals = attrs.field(factory=DemandTotals)
    standby: DemandTotals = attrs.field(factory=DemandTotals)
    counts: dict[ModelKey, KeyDemand] = attrs.field(factory=dict)
    service_ages: dict[ModelKey, ServingState] = attrs.field(factory=dict)
    last_call_s: dict[ModelKey, float] = attrs.field(factory=dict)
    drops_load_requests: bool = False
    duplicates_messages: bool = False
    reorders_messages: bool = False
    _previous: list[KeyDemand] = attrs.field(factory=list)

    def counts_for(self, key: ModelKey) -> KeyDemand:
        self.service_ages.setdefault(key, ServingState())
        return self.counts.setdefault(key, KeyDemand(key))

    def record_call(self, key: ModelKey, objective_ms: int) -> KeyDemand:
        counts = self.counts_for(key)
        counts.started += 1
        counts.objective_ms = objective_ms
        now_s = boottime_s()
        if now_s - self.last_call_s.get(key, now_s) > UNSERVED_EXPIRY_S:
            self.service_ages[key].clear_unserved()
        self.last_call_s[key] = now_s
        self.service_ages[key].record_request(now_s)
        return counts

    def record_served(self, key: ModelKey) -> None:
        self.service_ages[key].record_served(boottime_s())

    def send_counts(self) -> None:
        """Send the counts to both processes, with the injected message faults."""
        now = [self._current(one) for one in self.counts.values()]
        messages = [now]
        if self.duplicates_messages:
            messages = [now, now]
        if self.reorders_messages:
            messages = [now, self._previous]
        for message in messages:
            self.leader.add_counters('g1', message)
            self.standby.add_counters('g1', message)
        self._previous = now

    def _current(self, counts: KeyDemand) -> KeyDemand:
        counts_now = msgspec.structs.replace(counts)
        self.service_ages[counts.key].write_ages(counts_now, boottime_s())
        return counts_now

    def replace_leader(self) -> None:
        self.leader, self.standby = self.standby, self.leader

    def update_totals(self) -> None:
        self.leader.update_averages()
        self.standby.update_averages()


@attrs.define
class Simulation:
    """Callers in front of a gateway; the common part of all simulations."""

    events: EventQueue
    gateway: Gateway = attrs.field(factory=Gateway)
    records: dict[ModelKey, CallRecord] = attrs.field(factory=dict)

    def start(self) -> None:
        self.events.every(lambda: COUNTS_INTERVAL_S, self.gateway.send_counts, COUNTS_INTERVAL_S)
        self.events.every(lambda: ROUND_INTERVAL_S, self._round, ROUND_INTERVAL_S)

    def _round(self) -> None:
        self.gateway.update_totals()
        self.plan()

    def request(self, key: ModelKey, objective_ms: int, retry_in_s: Callable[[], float]) -> None:
        """Make a call; if it is refused, retry once."""
        record = self.records.setdefault(key, CallRecord())
        record.requests += 1

        def retry() -> None:
            record.served_requests += self._call(key, objective_ms)

        if self._call(key, objective_ms):
            record.served_requests += 1
        else:
            self.events.after(retry_in_s(), retry)

    def _call(self, key: ModelKey, objective_ms: int) -> bool:
        counts = self.gateway.record_call(key, objective_ms)
        is_served = self.serve(key, counts)
        self.records.setdefault(key, CallRecord()).calls.append(
            (self.events.clock.now_s, is_served)
        )
        if is_served:
            self.gateway.record_served(key)
        return is_served

    def serve(self, key: ModelKey, counts: KeyDemand) -> bool:
        """Serve a call if a replica can."""
        raise NotImplementedError

    def plan(self) -> None:
        """Do what the leader does in a round."""
        raise NotImplementedError


#: Duration of an adapter's unload, of its load, and of a call.
ADAPTER_UNLOAD_S = 0.1
ADAPTER_LOAD_S = 0.3
ADAPTER_CALL_S = 0.1


@attrs.define
class AdapterReplica:
    """A replica that holds one model and loads one adapter at a time.

    :ivar after_report: actions of the leader once a report shows the end of an order.
    """

    name: str
    held: set[str]
    pending: PendingOrders = attrs.field(factory=PendingOrders)
    running: dict[str, int] = attrs.field(factory=dict)
    free_s: float = 0.0
    completed_orders: int = 1
    is_cut_off: bool = False
    after_report: list[Callable[[], object]] = attrs.field(factory=list)

    def report(self) -> ReplicaReport:
        return ReplicaReport((Holding('m1', frozenset(self.held)),), False, self.completed_orders)


@attrs.define
class AdapterSimulation(Simulation):
    """The adapters of one model, more of them than there are places."""

    engine: EngineSpec = attrs.field(kw_only=True)
    directory: ReplicaDirectory = attrs.field(factory=lambda: ReplicaDirectory(read_record))
    replicas: dict[str, AdapterReplica] = attrs.field(factory=dict)
    reports_are_late: bool = False

    @classmethod
    def create(
        cls, clock: VirtualClock, places: int, adapters: list[str], replicas: int = 1
    ) -> AdapterSimulation:
        """Return a simulation whose places are occupied by the first adapters."""
        model = ModelSpec('m1', 70.0, 6.0, 1.0, frozenset(adapters), 1.0)
        simulation = cls(
            EventQueue(clock), engine=EngineSpec(16, 10_000, 200.0, places, 2.0, {'m1': model})
        )
        for number in range(replicas):
            name = f'r{number}'
            held = set(adapters[number * places : (number + 1) * places])
            replica = simulation.replicas[name] = AdapterReplica(name, held)
            simulation.directory.apply_record(
                ReplicaRecord(name, SERVICE, f'ip:{name}', 'z1', 16, False, None, (), 1)
            )
            replica.pending.record_claim(FENCE)
        clock.advance(1.1 * CLAIM_REPORT_LAG_S)
        simulation._report()
        simulation.events.every(lambda: COUNTS_INTERVAL_S, simulation._report, COUNTS_INTERVAL_S)
        return simulation

    def _report(self) -> None:
        if self.reports_are_late:
            return
        for name, replica in self.replicas.items():
            report = replica.report()
            self.directory.apply_report(name, report)
            replica.pending.record_report(report)
            for note in replica.after_report:
                note()
            replica.after_report.clear()

    def serve(self, key: ModelKey, counts: KeyDemand) -> bool:
        for replica in self.replicas.values():
            if key.adapter in replica.held and not replica.is_cut_off:
                self._start_call(replica, key.adapter, counts)
                return True
        counts.wanted += 1
        if not self.gateway.drops_load_requests:
            self.gateway.leader.record_missing(key)
            self._load([key])
        return False

    def _start_call(self, replica: AdapterReplica, adapter: str, counts: KeyDemand) -> None:
        replica.running[adapter] = replica.running.get(adapter, 0) + 1
        counts.running += 1

        def end() -> None:
            replica.running[adapter] -= 1
            counts.running -= 1

        self.events.after(ADAPTER_CALL_S, end)

    def plan(self) -> None:
        self._load(self._planner().unserved_adapters())

    def _planner(self) -> AdapterPlanner:
        totals = self.gateway.leader.latest()
        return AdapterPlanner(SERVICE, self.engine, self.directory, totals, FENCE)

    def _load(self, keys: list[ModelKey]) -> None:
        pending = {name: replica.pending for name, replica in self.replicas.items()}
        planner = self._planner()
        for key in keys:
            move = planner.plan(key, pending)
            if move is not None:
                self._start_move(move)

    def _start_move(self, move: AdapterMove) -> None:
        replica = self.replicas[move.replica.replica_id]
        item = Loadable('m1', move.key.adapter)
        evicted_key = move.evicted
        now_s = self.events.clock.now_s
        replica.pending.expect_load(item, now_s)
        start_s = max(now_s, replica.free_s)
        unload_s = 0.0
        if evicted_key is not None:
            replica.pending.mark_unloading(Loadable('m1', evicted_key.adapter))
            unload_s = ADAPTER_UNLOAD_S + ADAPTER_CALL_S * bool(
                replica.running.get(evicted_key.adapter)
            )
            self.events.after(
                start_s + unload_s - now_s,
                lambda: self._finish_unload(replica, evicted_key.adapter),
            )
        replica.free_s = start_s + unload_s + ADAPTER_LOAD_S
        self.events.after(replica.free_s - now_s, lambda: self._finish_load(replica, item))

    def _finish_unload(self, replica: AdapterReplica, adapter: str) -> None:
        replica.held.discard(adapter)
        evicted = [Loadable('m1', adapter)]
        replica.after_report.append(lambda: replica.pending.unmark_unloading(evicted))
        self._complete_order(replica)

    def _finish_load(self, replica: AdapterReplica, item: Loadable) -> None:
        replica.held.add(item.adapter)
        assert len(replica.held) <= self.engine.adapter_places
        replica.after_report.append(lambda: replica.pending.record_load_ended(item))
        self._complete_order(replica)

    def _complete_order(self, replica: AdapterReplica) -> None:
        replica.completed_orders += 1
        self._report()


#: Duration of a model's load from the weight store, and of its unload while calls run.
MODEL_LOAD_S = 6.0
MODEL_UNLOAD_S = 2.0
IDLE_UNLOAD_S = 0.2
MODEL_CALL_S = 0.5
#: Prefill time of any prompt; zero, so that prefill limits nothing here.
PREFILL_MS = 0.0


@attrs.define
class ModelReplica:
    """A replica with a few places for models that executes one order at a time."""

    copies: ReplicaView
    running: int = 0
    is_cut_off: bool = False
    #: Models that serve calls, including those that the leader does not know of yet.
    serving: set[str] = attrs.field(factory=set)


@attrs.define
class ModelSimulation(Simulation):
    """Replicas that hold a few models each, with more models than places."""

    engine: EngineSpec = attrs.field(kw_only=True)
    replicas: list[ModelReplica] = attrs.field(factory=list)
    store_load_limiter: StoreLoadLimiter = attrs.field(factory=lambda: StoreLoadLimiter(1.0))
    starvation: StarvationTracker = attrs.field(factory=StarvationTracker)
    overdue_loads: OverdueLoads = attrs.field(factory=OverdueLoads)
    report_lag_s: float = 0.0
    #: Models whose copy has been loaded but has not served a call.
    unused: set[str] = attrs.field(factory=set)
    #: Evictions of such copies while a caller might still have retried: the time, the model, and
    #: the model that was loaded instead.
    evicted_too_early: list[tuple[float, str, str]] = attrs.field(factory=list)

    @classmethod
    def create(
        cls, clock: VirtualClock, replicas: int, places: int, models: list[str]
    ) -> ModelSimulation:
        """Return a simulation whose places are occupied by the first models."""
        specs = {
            name: ModelSpec(name, 70.0, MODEL_LOAD_S, 0.6, frozenset(), 0.0, 1.3)
            for name in models
        }
        engine = EngineSpec(16, 100_000, 70.0 * places + 20.0, 8, 2.0, specs)
        simulation = cls(EventQueue(clock), engine=engine)
        for number in range(replicas):
            held = {models[(number * places + n) % len(models)] for n in range(places)}
            copies = ReplicaView(f'r{number}', held, set(), True, f'c{number % 3}')
            simulation.replicas.append(ModelReplica(copies, serving=set(held)))
        return simulation

    def serve(self, key: ModelKey, counts: KeyDemand) -> bool:
        holders = [one for one in self.replicas if key.model in one.serving and not one.is_cut_off]
        if not holders:
            counts.wanted += 1
            if not self.gateway.drops_load_requests:
                self.gateway.leader.record_missing(key)
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

        self.events.after(MODEL_CALL_S, end)
        return True

    def plan(self) -> None:
        totals = self.gateway.leader.latest()
        demands = demand_by_model(SERVICE, self.engine, totals, lambda *_: PREFILL_MS)
        copies = [one.copies for one in self.replicas]
        starved_s = self.starvation.track(SERVICE, demands, copies)
        planner = CopyPlanner(self.engine, demands, {}, starved_s, (), self.overdue_loads)
        while True:
            move = planner.next_move(
                copies, self.store_load_limiter.may_load(self.engine.loads_per_s)
            )
            if move is None:
                return
            if move.from_store:
                self.store_load_limiter.record_load()
            self._start_move(move)
            if move.reason is MoveReason.OVERDUE:
                self.overdue_loads.record_start(move.replica_id, move.model)

    def _start_move(self, move: CopyMove) -> None:
        replica = next(one for one in self.replicas if one.copies.replica_id == move.replica_id)
        is_busy = bool(move.evicted) and replica.running > 0
        unload_s = MODEL_UNLOAD_S if is_busy else IDLE_UNLOAD_S * bool(move.evicted)
        replica.copies.apply_move(move.model, move.evicted)
        replica.serving -= set(move.evicted)
        for name in self.unused.intersection(move.evicted):
            self._check_unused_eviction(name, move.model)
        self.events.after(unload_s + move.load_s, lambda: self._finish_load(replica, move.model))

    def _check_unused_eviction(self, model: str, loaded: str) -> None:
        now_s = self.events.clock.now_s
        self.unused.discard(model)
        called_s, was_served = self.records[ModelKey(SERVICE, model)].calls[-1]
        if not was_served and now_s - called_s < RETRY_WINDOW_S:
            self.evicted_too_early.append((now_s, model, loaded))

    def _finish_load(self, replica: ModelReplica, model: str) -> None:
        replica.serving.add(model)
        if not any(model in one.serving for one in self.replicas if one is not replica):
            self.unused.add(model)
        self.events.after(self.report_lag_s, lambda: self._report_load(replica, model))

    def _report_load(self, replica: ModelReplica, model: str) -> None:
        replica.copies.loading.discard(model)
        replica.copies.ready.add(model)
        replica.copies.is_idle = True
