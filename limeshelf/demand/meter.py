"""What callers ask of models: seen by one process, and summed up over all."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import ServiceSpec
    from limeshelf.replicas.directory import ReplicaDirectory

#: A call that waits says so again after this time.
WANT_AGAIN_S = 0.1
#: An adapter whose model is there comes within this time.
ADAPTER_WAIT_S = 0.25
#: A plain service without replicas is looked for this long.
PLAIN_WAIT_S = 1.0
#: A load that takes longer than expected is looked for this much longer.
OVERDUE_WAIT_S = 0.6
#: A key that was asked for within this time is told of.
RECENT_S = 3.0
#: Time until a load begins that nobody has announced.
ORDER_WAIT_S = 1.0


class ModelKey(msgspec.Struct, frozen=True, array_like=True):
    """A model, or an adapter of it, of a service."""

    service: str
    model: str
    adapter: str = ''


class KeyDemand(msgspec.Struct, array_like=True):
    """What one process saw for one key.

    :ivar started: calls that began since the process started.
    :ivar running: calls under way, those that wait included.
    :ivar wanted: times that a call found no replica for it.
    :ivar objective_ms: the shortest objective of the calls; 0 before any.
    :ivar tokens: prompt tokens of the calls that began.
    """

    key: ModelKey
    started: int = 0
    running: int = 0
    wanted: int = 0
    objective_ms: int = 0
    tokens: int = 0


class DemandMeter:
    """Counts the calls of this process by model and adapter.

    :param on_want: told when a call finds no replica that holds what it needs.
    """

    def __init__(self, directory: ReplicaDirectory, on_want: Callable[[ModelKey], None]) -> None:
        self.expected: dict[ModelKey, float] = {}
        self._directory = directory
        self._on_want = on_want
        self._by_key: dict[ModelKey, KeyDemand] = {}
        self._told_s: dict[ModelKey, float] = {}
        self._asked_s: dict[ModelKey, float] = {}

    def recent(self) -> list[KeyDemand]:
        """Return what was seen so far of the keys that were asked for lately."""
        oldest_s = boottime_s() - RECENT_S
        return [
            demand
            for key, demand in self._by_key.items()
            if demand.running or self._asked_s.get(key, 0.0) >= oldest_s
        ]

    @contextlib.contextmanager
    def track(self, call: Call, service: str, objective_s: float) -> Iterator[None]:
        """Count a call while it is under way."""
        key = key_of(call, service)
        if key is None:
            yield
            return
        demand = self._by_key.setdefault(key, KeyDemand(key))
        objective_ms = int(objective_s * 1000)
        demand.objective_ms = min(demand.objective_ms or objective_ms, objective_ms)
        demand.started += 1
        demand.tokens += call.model_need.prompt_tokens if call.model_need else 0
        demand.running += 1
        try:
            yield
        finally:
            demand.running -= 1
            self._asked_s[key] = boottime_s()

    def want(self, call: Call, service: ServiceSpec) -> None:
        """Say that no replica holds what the call needs."""
        key = key_of(call, service.name)
        if key is None or service.engine is None:
            return
        now_s = boottime_s()
        if now_s - self._told_s.get(key, 0.0) < WANT_AGAIN_S:
            return
        self._told_s[key] = now_s
        self._asked_s[key] = now_s
        self._by_key.setdefault(key, KeyDemand(key)).wanted += 1
        self._on_want(key)

    def is_announced(self, call: Call, service: ServiceSpec) -> bool:
        """Return whether the leader told when the call's model will be there."""
        key = key_of(call, service.name)
        return key is None or ModelKey(key.service, key.model) in self.expected

    def expected_wait_s(self, call: Call, service: ServiceSpec) -> float:
        """Return the time until a replica can likely run the call, in seconds.

        0 where one holds what it needs already.
        """
        key = key_of(call, service.name)
        if key is None or service.engine is None:
            return 0.0 if self._directory.of_service(service.name) else PLAIN_WAIT_S
        holders = [r for r in self._directory.of_service(service.name) if r.holds(key.model)]
        if any(replica.holds(key.model, key.adapter) for replica in holders):
            return 0.0
        if holders:
            return ADAPTER_WAIT_S
        ready_s = self.expected.get(ModelKey(key.service, key.model))
        if ready_s is not None:
            return max(OVERDUE_WAIT_S, ready_s - boottime_s())
        spec = service.engine.models.get(key.model)
        return ORDER_WAIT_S + (spec.load_s if spec else PLAIN_WAIT_S)


def key_of(call: Call, service: str) -> ModelKey | None:
    """Return what a call asks for, or ``None`` for a plain call."""
    need = call.model_need
    return None if need is None else ModelKey(service, need.model, need.adapter)


@attrs.define
class _Seen:
    started: int = 0
    wanted: int = 0
    tokens: int = 0


@attrs.define
class ModelLoad:
    """The demand for one key over all processes.

    :ivar rate: calls that begin a second, averaged over some seconds.
    :ivar lasting_rate: the same over a longer time.
    :ivar tokens_per_s: prompt tokens of the calls that begin.
    :ivar running: calls under way.
    :ivar wanted_s: when a call last found no replica.
    :ivar objective_s: the shortest objective of its calls; 0 before any.
    """

    rate: float = 0.0
    lasting_rate: float = 0.0
    tokens_per_s: float = 0.0
    running: float = 0.0
    wanted_s: float = 0.0
    seen_s: float = 0.0
    objective_s: float = 0.0


#: Time constants of the averaged rates.
RATE_MEMORY_S = 2.5
LASTING_MEMORY_S = 10.0
#: Calls of a process that was not heard before count as new up to this many.
FIRST_CALLS = 3


@attrs.define
class _New:
    calls: int = 0
    tokens: int = 0


class DemandTotals:
    """Sums up what all processes told."""

    def __init__(self) -> None:
        self._seen: dict[tuple[str, ModelKey], _Seen] = {}
        self._running: dict[str, dict[ModelKey, int]] = {}
        self._heard_s: dict[str, float] = {}
        self._new: dict[ModelKey, _New] = {}
        self._loads: dict[ModelKey, ModelLoad] = {}
        self._updated_s = boottime_s()

    def take(self, instance_id: str, demands: list[KeyDemand]) -> None:
        """Take what one process told; counts that fall began anew with it."""
        now_s = boottime_s()
        self._heard_s[instance_id] = now_s
        self._running[instance_id] = {demand.key: demand.running for demand in demands}
        for demand in demands:
            seen = self._seen.get((instance_id, demand.key))
            first = seen is None
            if seen is None:
                seen = self._seen[instance_id, demand.key] = _Seen()
            if not first or demand.started <= FIRST_CALLS:
                new = self._new.setdefault(demand.key, _New())
                new.calls += max(0, demand.started - seen.started)
                new.tokens += max(0, demand.tokens - seen.tokens)
            self._take_objective(demand)
            if (demand.wanted != seen.wanted and not first) or demand.running:
                load = self._loads.setdefault(demand.key, ModelLoad())
                load.seen_s = now_s
                if demand.wanted != seen.wanted:
                    load.wanted_s = now_s
            seen.started, seen.wanted = demand.started, demand.wanted
            seen.tokens = demand.tokens

    def _take_objective(self, demand: KeyDemand) -> None:
        if demand.objective_ms:
            load = self._loads.setdefault(demand.key, ModelLoad())
            objective_s = demand.objective_ms / 1000
            load.objective_s = min(load.objective_s or objective_s, objective_s)

    def note_want(self, key: ModelKey) -> None:
        """Note that a call found no replica for *key* just now."""
        load = self._loads.setdefault(key, ModelLoad())
        load.wanted_s = load.seen_s = boottime_s()

    def step(self) -> dict[ModelKey, ModelLoad]:
        """Bring the averages up to now and return them."""
        now_s = boottime_s()
        passed_s = max(1e-3, now_s - self._updated_s)
        self._updated_s = now_s
        share = min(1.0, passed_s / RATE_MEMORY_S)
        lasting_share = min(1.0, passed_s / LASTING_MEMORY_S)
        for key in {*self._loads, *self._new}:
            load = self._loads.setdefault(key, ModelLoad())
            new = self._new.get(key, _New())
            rate = new.calls / passed_s
            load.rate += share * (rate - load.rate)
            load.lasting_rate += lasting_share * (rate - load.lasting_rate)
            load.tokens_per_s += share * (new.tokens / passed_s - load.tokens_per_s)
            load.running = float(self._total_running(key, now_s))
            if load.running or rate:
                load.seen_s = now_s
        self._new.clear()
        return self._loads

    def _total_running(self, key: ModelKey, now_s: float) -> int:
        return sum(
            running.get(key, 0)
            for instance_id, running in self._running.items()
            if now_s - self._heard_s[instance_id] < RATE_MEMORY_S
        )
