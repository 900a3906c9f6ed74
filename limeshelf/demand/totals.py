"""What callers ask of models, summed up over all gateways.

Owns the averaged demand for each key, which the leader plans by; every gateway keeps it,
so that a new leader has it. Relies on the counts that gateways send.
"""

from __future__ import annotations

import attrs

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.util.clock import boottime_s

#: Time constant of the averaged rates. Chosen, not measured.
RATE_MEMORY_S = 2.5
#: How long the calls under way at a gateway that went silent still count. Chosen, not
#: measured.
RUNNING_LIFE_S = 2.5
#: Time constant of the longer average. Chosen, not measured.
LASTING_MEMORY_S = 10.0
#: Calls that a gateway counted before its first message came are new up to this many; more
#: began long ago. Chosen, not measured.
FIRST_CALLS = 3
#: Two updates count as this far apart at the least, since rates divide by it. Chosen, not
#: measured.
LEAST_STEP_S = 1e-3


@attrs.define
class KeyTotals:
    """The demand for one key over all gateways.

    :ivar calls_per_s: calls that begin, averaged over :data:`RATE_MEMORY_S`.
    :ivar lasting_calls_per_s: the same, averaged over :data:`LASTING_MEMORY_S`.
    :ivar tokens_per_s: prompt tokens of the calls that begin, averaged as the first.
    :ivar refused_per_s: calls that replicas held the key for but had no room for in time,
        averaged as the first.
    :ivar running: calls under way.
    :ivar missing_s: when a call last found no replica that holds the key.
    :ivar seen_s: when the key was last asked for.
    :ivar objective_s: the shortest objective of its calls; 0 before any.
    """

    calls_per_s: float = 0.0
    lasting_calls_per_s: float = 0.0
    tokens_per_s: float = 0.0
    refused_per_s: float = 0.0
    running: float = 0.0
    missing_s: float = 0.0
    seen_s: float = 0.0
    objective_s: float = 0.0


@attrs.define
class _Counted:
    """The counts of a key that a gateway sent last."""

    started: int = 0
    wanted: int = 0
    tokens: int = 0
    refused: int = 0


@attrs.define
class _Arrivals:
    """What began for a key since the averages were last brought up to date."""

    calls: int = 0
    tokens: int = 0
    refused: int = 0


class DemandTotals:
    """Sums up the counts of all gateways."""

    def __init__(self) -> None:
        self._counted: dict[tuple[str, ModelKey], _Counted] = {}
        self._running: dict[str, dict[ModelKey, int]] = {}
        self._received_s: dict[str, float] = {}
        self._arrivals: dict[ModelKey, _Arrivals] = {}
        self._totals: dict[ModelKey, KeyTotals] = {}
        self._updated_s = boottime_s()

    def take(self, instance_id: str, demands: list[KeyDemand]) -> None:
        """Take the counts of one gateway; counts that fell began anew with its process."""
        now_s = boottime_s()
        self._received_s[instance_id] = now_s
        self._running[instance_id] = {demand.key: demand.running for demand in demands}
        for demand in demands:
            counted = self._counted.get((instance_id, demand.key))
            is_first = counted is None
            if counted is None:
                counted = self._counted[instance_id, demand.key] = _Counted()
            if not is_first or demand.started <= FIRST_CALLS:
                self._add_arrivals(demand, counted)
            self._take_objective(demand)
            is_missing = demand.wanted != counted.wanted
            if (is_missing and not is_first) or demand.running:
                totals = self._totals_of(demand.key)
                totals.seen_s = now_s
                if is_missing:
                    totals.missing_s = now_s
            counted.started, counted.wanted = demand.started, demand.wanted
            counted.tokens, counted.refused = demand.tokens, demand.refused

    def _totals_of(self, key: ModelKey) -> KeyTotals:
        return self._totals.setdefault(key, KeyTotals())

    def _add_arrivals(self, demand: KeyDemand, counted: _Counted) -> None:
        arrivals = self._arrivals.setdefault(demand.key, _Arrivals())
        arrivals.calls += max(0, demand.started - counted.started)
        arrivals.tokens += max(0, demand.tokens - counted.tokens)
        arrivals.refused += max(0, demand.refused - counted.refused)

    def _take_objective(self, demand: KeyDemand) -> None:
        if demand.objective_ms:
            totals = self._totals_of(demand.key)
            objective_s = demand.objective_ms / 1000
            totals.objective_s = min(totals.objective_s or objective_s, objective_s)

    def note_missing(self, key: ModelKey) -> None:
        """Note that a call found no replica that holds *key* just now."""
        totals = self._totals_of(key)
        totals.missing_s = totals.seen_s = boottime_s()

    def step(self) -> dict[ModelKey, KeyTotals]:
        """Bring the averages up to now and return them."""
        now_s = boottime_s()
        passed_s = max(LEAST_STEP_S, now_s - self._updated_s)
        self._updated_s = now_s
        share = min(1.0, passed_s / RATE_MEMORY_S)
        lasting_share = min(1.0, passed_s / LASTING_MEMORY_S)
        for key in {*self._totals, *self._arrivals}:
            totals = self._totals_of(key)
            arrivals = self._arrivals.get(key, _Arrivals())
            calls_per_s = arrivals.calls / passed_s
            tokens_per_s = arrivals.tokens / passed_s
            totals.calls_per_s += share * (calls_per_s - totals.calls_per_s)
            totals.lasting_calls_per_s += lasting_share * (
                calls_per_s - totals.lasting_calls_per_s
            )
            totals.tokens_per_s += share * (tokens_per_s - totals.tokens_per_s)
            totals.refused_per_s += share * (arrivals.refused / passed_s - totals.refused_per_s)
            totals.running = float(self._total_running(key, now_s))
            if totals.running or calls_per_s:
                totals.seen_s = now_s
        self._arrivals.clear()
        return self._totals

    def _total_running(self, key: ModelKey, now_s: float) -> int:
        return sum(
            running.get(key, 0)
            for instance_id, running in self._running.items()
            if now_s - self._received_s[instance_id] < RUNNING_LIFE_S
        )
