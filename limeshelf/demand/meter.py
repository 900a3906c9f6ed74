"""Counts the demand of one gateway for models and adapters, and estimates waits.

Owns this gateway's counters for each key, and the model loads that the leader announced.
``membership`` sends the counters and fills in the announcements. Reads from the replica
directory what the replicas hold.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec

from limeshelf.demand.adapter_waits import AdapterWaitEstimator
from limeshelf.demand.keys import KeyDemand, ModelKey, key_of
from limeshelf.demand.serving_state import ServingState
from limeshelf.demand.waits import CallWaitEstimate, ModelAvailability, model_wait_s, plain_wait_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import EngineSpec, ServiceSpec
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Minimum interval between two reports to the leader that the same key is missing.
MISSING_REPORT_INTERVAL_S = 0.1
#: A digest contains only keys that were requested within this time; with all keys it would be
#: many times as large.
RECENT_REQUEST_S = 3.0
#: A key that was not requested for this long has no waiting callers any more; the next request
#: starts a new unserved period.
UNSERVED_EXPIRY_S = 30.0


class DemandMeter:
    """Counts the calls of this process by model and adapter.

    :param on_missing: called with a key that a call requests and no replica holds.
    :ivar announced_ready_s: when each load that the leader announced is expected to be complete,
        on the clock of :func:`~limeshelf.util.clock.boottime_s`.
    """

    def __init__(
        self, directory: ReplicaDirectory, on_missing: Callable[[ModelKey], None]
    ) -> None:
        self.announced_ready_s: dict[ModelKey, float] = {}
        self._directory = directory
        self._on_missing = on_missing
        self._by_key: dict[ModelKey, KeyDemand] = {}
        self._reported_s: dict[ModelKey, float] = {}
        self._requested_s: dict[ModelKey, float] = {}
        self._serving_states: dict[ModelKey, ServingState] = {}
        self._adapter_waits = AdapterWaitEstimator()

    def recent(self) -> list[KeyDemand]:
        """Return copies of the counters for recently requested keys.

        Copies, because the receiver keeps them to compute the next increments.
        """
        now_s = boottime_s()
        oldest_s = now_s - RECENT_REQUEST_S
        return [
            self._copy_of(demand, now_s)
            for key, demand in self._by_key.items()
            if demand.running or self._requested_s.get(key, 0.0) >= oldest_s
        ]

    def _copy_of(self, demand: KeyDemand, now_s: float) -> KeyDemand:
        copied = msgspec.structs.replace(demand)
        self._serving_state_of(demand.key).write_ages(copied, now_s)
        return copied

    @contextlib.contextmanager
    def track(self, call: Call, service: str, objective_s: float) -> Iterator[None]:
        """Count a call as running while the context is open, if it names a model."""
        key = key_of(call, service)
        if key is None:
            yield
            return
        demand = self._by_key.setdefault(key, KeyDemand(key))
        objective_ms = int(objective_s * 1000)
        demand.objective_ms = min(demand.objective_ms or objective_ms, objective_ms)
        self._record_request(key)
        demand.started += 1
        demand.tokens += call.model_need.prompt_tokens if call.model_need else 0
        demand.running += 1
        try:
            yield
        finally:
            demand.running -= 1
            self._requested_s[key] = boottime_s()

    def _record_request(self, key: ModelKey) -> None:
        """Start the unserved period of a key, unless an earlier caller still waits."""
        now_s = boottime_s()
        state = self._serving_state_of(key)
        if now_s - self._requested_s.get(key, now_s) > UNSERVED_EXPIRY_S:
            state.clear_unserved()
        state.record_request(now_s)

    def report_missing(self, call: Call, service: ServiceSpec) -> None:
        """Count, and report to the leader, that no replica holds the key of a call."""
        key = key_of(call, service.name)
        if key is None or service.engine is None:
            return
        now_s = boottime_s()
        if now_s - self._reported_s.get(key, 0.0) < MISSING_REPORT_INTERVAL_S:
            return
        self._reported_s[key] = now_s
        self._requested_s[key] = now_s
        self._by_key.setdefault(key, KeyDemand(key)).wanted += 1
        self._on_missing(key)

    def count_refused(self, call: Call, service: ServiceSpec) -> None:
        """Count a call that was refused because the replicas with its key had no room in time."""
        key = key_of(call, service.name)
        if key is not None:
            self._by_key.setdefault(key, KeyDemand(key)).refused += 1

    def record_served(self, call: Call, service: ServiceSpec) -> None:
        """Record that a replica began to answer a call."""
        key = key_of(call, service.name)
        if key is not None:
            now_s = boottime_s()
            self._requested_s[key] = now_s
            self._serving_state_of(key).record_served(now_s)

    def _serving_state_of(self, key: ModelKey) -> ServingState:
        return self._serving_states.setdefault(key, ServingState())

    def record_key_held(self, call: Call, service: ServiceSpec) -> None:
        """Record that a replica holds the key of a call."""
        key = key_of(call, service.name)
        if key is not None and key.adapter:
            self._adapter_waits.record_found(key, boottime_s())

    def estimate_wait(self, call: Call, service: ServiceSpec) -> CallWaitEstimate:
        """Return when a replica is expected to be able to run a call, and why not earlier."""
        key = key_of(call, service.name)
        if key is None or service.engine is None:
            replicas = self._directory.of_service(service.name)
            wait_s = max(plain_wait_s(bool(replicas)), _shortest_pause_left_s(replicas))
            return CallWaitEstimate(wait_s, None, is_announced=key is None, model_held=False)
        availability = self._availability(key, service.engine)
        announced_in_s = availability.announced_in_s
        return CallWaitEstimate(
            max(model_wait_s(availability), _shortest_pause_left_s(self._holders(key))),
            announced_in_s,
            is_announced=announced_in_s is not None,
            model_held=availability.has_model,
        )

    def _holders(self, key: ModelKey) -> list[Replica]:
        return [
            replica
            for replica in self._directory.of_service(key.service)
            if replica.holds(key.model, key.adapter)
        ]

    def _availability(self, key: ModelKey, engine: EngineSpec) -> ModelAvailability:
        replicas = self._directory.of_service(key.service)
        spec = engine.models.get(key.model)
        ready_s = self.announced_ready_s.get(key.base)
        now_s = boottime_s()
        has_key = any(replica.holds(key.model, key.adapter) for replica in replicas)
        has_model = any(replica.holds(key.model) for replica in replicas)
        adapter_missing = has_model and not has_key
        return ModelAvailability(
            has_key=has_key,
            has_model=has_model,
            announced_in_s=None if ready_s is None else ready_s - now_s,
            load_s=spec.load_s if spec else None,
            adapter_wait_s=self._adapter_waits.remaining_wait_s(key, now_s)
            if adapter_missing
            else 0.0,
        )


def _shortest_pause_left_s(replicas: list[Replica]) -> float:
    """Return the shortest remaining pause that the replicas asked this gateway for."""
    return min((replica.backpressure.remaining_pause_s for replica in replicas), default=0.0)
