"""What callers ask of models, as seen by one gateway.

Owns this gateway's counts for each model and adapter, and the loads that the leader
announced; ``membership`` sends the counts and fills in the announcements. Relies on the
directory of replicas for what they hold.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec

from limeshelf.demand.adapter_waits import AdapterWaits
from limeshelf.demand.keys import KeyDemand, ModelKey, key_of
from limeshelf.demand.service_ages import ServiceAges
from limeshelf.demand.waits import CallOutlook, ModelOutlook, model_wait_s, plain_wait_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import EngineSpec, ServiceSpec
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: The same missing key is reported to the leader at most this often.
REPORT_AGAIN_S = 0.1
#: A digest holds the keys that were asked for within this time; all keys
#: would be many times as large.
RECENT_S = 3.0
#: A key that was not asked for within this time is waited for by nobody; whoever asks then is
#: the first again.
UNSERVED_LIFE_S = 30.0


class DemandMeter:
    """Counts the calls of this process by model and adapter.

    :param on_missing: called with a key that a call asks for and no replica holds.
    :ivar announced_s: when each model that the leader announced will likely be there, on
        the clock of :func:`~limeshelf.util.clock.boottime_s`.
    """

    def __init__(
        self, directory: ReplicaDirectory, on_missing: Callable[[ModelKey], None]
    ) -> None:
        self.announced_s: dict[ModelKey, float] = {}
        self._directory = directory
        self._on_missing = on_missing
        self._by_key: dict[ModelKey, KeyDemand] = {}
        self._reported_s: dict[ModelKey, float] = {}
        self._asked_s: dict[ModelKey, float] = {}
        self._ages: dict[ModelKey, ServiceAges] = {}
        self._adapter_waits = AdapterWaits()

    def recent(self) -> list[KeyDemand]:
        """Return copies of what was seen so far of the keys that were asked for lately.

        Copies, since who takes them compares them with the ones before.
        """
        now_s = boottime_s()
        oldest_s = now_s - RECENT_S
        return [
            self._copy_of(demand, now_s)
            for key, demand in self._by_key.items()
            if demand.running or self._asked_s.get(key, 0.0) >= oldest_s
        ]

    def _copy_of(self, demand: KeyDemand, now_s: float) -> KeyDemand:
        copied = msgspec.structs.replace(demand)
        self._ages_of(demand.key).tell(copied, now_s)
        return copied

    @contextlib.contextmanager
    def track(self, call: Call, service: str, objective_s: float) -> Iterator[None]:
        """Count a call while it is under way; a plain call is not counted."""
        key = key_of(call, service)
        if key is None:
            yield
            return
        demand = self._by_key.setdefault(key, KeyDemand(key))
        objective_ms = int(objective_s * 1000)
        demand.objective_ms = min(demand.objective_ms or objective_ms, objective_ms)
        self._note_asked(key)
        demand.started += 1
        demand.tokens += call.model_need.prompt_tokens if call.model_need else 0
        demand.running += 1
        try:
            yield
        finally:
            demand.running -= 1
            self._asked_s[key] = boottime_s()

    def _note_asked(self, key: ModelKey) -> None:
        """Begin to count since when a key goes unserved, unless somebody waits already."""
        now_s = boottime_s()
        ages = self._ages_of(key)
        if now_s - self._asked_s.get(key, now_s) > UNSERVED_LIFE_S:
            ages.forget_waiting()
        ages.note_asked(now_s)

    def report_missing(self, call: Call, service: ServiceSpec) -> None:
        """Count, and report to the leader, that no replica holds what the call needs."""
        key = key_of(call, service.name)
        if key is None or service.engine is None:
            return
        now_s = boottime_s()
        if now_s - self._reported_s.get(key, 0.0) < REPORT_AGAIN_S:
            return
        self._reported_s[key] = now_s
        self._asked_s[key] = now_s
        self._by_key.setdefault(key, KeyDemand(key)).wanted += 1
        self._on_missing(key)

    def note_refused(self, call: Call, service: ServiceSpec) -> None:
        """Count that the replicas which hold what the call needs had no room in time."""
        key = key_of(call, service.name)
        if key is not None:
            self._by_key.setdefault(key, KeyDemand(key)).refused += 1

    def note_served(self, call: Call, service: ServiceSpec) -> None:
        """Note that a replica began the answer to a call."""
        key = key_of(call, service.name)
        if key is not None:
            now_s = boottime_s()
            self._asked_s[key] = now_s
            self._ages_of(key).note_served(now_s)

    def _ages_of(self, key: ModelKey) -> ServiceAges:
        return self._ages.setdefault(key, ServiceAges())

    def note_found(self, call: Call, service: ServiceSpec) -> None:
        """Note that a replica holds what the call needs."""
        key = key_of(call, service.name)
        if key is not None and key.adapter:
            self._adapter_waits.note_found(key, boottime_s())

    def outlook(self, call: Call, service: ServiceSpec) -> CallOutlook:
        """Return when a replica can likely run a call, and what is on its way for it."""
        key = key_of(call, service.name)
        if key is None or service.engine is None:
            replicas = self._directory.of_service(service.name)
            wait_s = max(plain_wait_s(bool(replicas)), _pause_left_s(replicas))
            return CallOutlook(wait_s, None, is_announced=key is None, model_held=False)
        model = self._model_outlook(key, service.engine)
        announced_in_s = model.announced_in_s
        return CallOutlook(
            max(model_wait_s(model), _pause_left_s(self._holders(key))),
            announced_in_s,
            is_announced=announced_in_s is not None,
            model_held=model.has_model,
        )

    def _holders(self, key: ModelKey) -> list[Replica]:
        return [
            replica
            for replica in self._directory.of_service(key.service)
            if replica.holds(key.model, key.adapter)
        ]

    def _model_outlook(self, key: ModelKey, engine: EngineSpec) -> ModelOutlook:
        replicas = self._directory.of_service(key.service)
        spec = engine.models.get(key.model)
        ready_s = self.announced_s.get(key.base)
        now_s = boottime_s()
        has_key = any(replica.holds(key.model, key.adapter) for replica in replicas)
        has_model = any(replica.holds(key.model) for replica in replicas)
        misses_adapter = has_model and not has_key
        return ModelOutlook(
            has_key=has_key,
            has_model=has_model,
            announced_in_s=None if ready_s is None else ready_s - now_s,
            load_s=spec.load_s if spec else None,
            adapter_wait_s=self._adapter_waits.wait_s(key, now_s) if misses_adapter else 0.0,
        )


def _pause_left_s(replicas: list[Replica]) -> float:
    """Return how much longer none of some replicas wants a call of this gateway, in seconds."""
    return min((replica.backpressure.remaining_pause_s for replica in replicas), default=0.0)
