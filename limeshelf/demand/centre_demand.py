"""Sums the demand counters of all gateways of one data centre.

Owns the sums. Like the counters of a single gateway they never decrease, so a receiver handles
both in the same way.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from limeshelf.demand.count_deltas import CountDeltaTracker
from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.meter import RECENT_REQUEST_S
from limeshelf.demand.serving_state import ServingState
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable


class CentreDemand:
    """Demand counters of a data centre, summed over its gateways."""

    def __init__(self) -> None:
        self._tracker = CountDeltaTracker()
        self._sums: dict[ModelKey, KeyDemand] = {}
        self._requested_s: dict[ModelKey, float] = {}
        self._serving_states: dict[ModelKey, ServingState] = {}

    def add_counters(self, instance_id: str, demands: Iterable[KeyDemand]) -> None:
        """Add what one gateway has counted since its previous message."""
        now_s = boottime_s()
        for demand, delta in self._tracker.deltas(instance_id, demands):
            total = self._sums.setdefault(demand.key, KeyDemand(demand.key))
            total.started += delta.started
            total.wanted += delta.wanted
            total.tokens += delta.tokens
            total.refused += delta.refused
            if demand.objective_ms:
                shortest_ms = min(total.objective_ms or demand.objective_ms, demand.objective_ms)
                total.objective_ms = shortest_ms
            self._serving_states.setdefault(demand.key, ServingState()).merge(
                ServingState.from_demand(demand, now_s), any(delta), now_s
            )
            if demand.running or any(delta):
                self._requested_s[demand.key] = now_s

    def recent(self, latest: Iterable[Iterable[KeyDemand]]) -> list[KeyDemand]:
        """Return the sums for the keys that were requested within :data:`RECENT_REQUEST_S`.

        :param latest: the latest counters of each gateway, which give the running calls.
        """
        running: Counter[ModelKey] = Counter()
        for demands in latest:
            for demand in demands:
                running[demand.key] += demand.running
        now_s = boottime_s()
        oldest_s = now_s - RECENT_REQUEST_S
        recent = [key for key, time_s in self._requested_s.items() if time_s >= oldest_s]
        return [self._copy_of_sum(key, running[key], now_s) for key in recent]

    def _copy_of_sum(self, key: ModelKey, running: int, now_s: float) -> KeyDemand:
        demand = msgspec.structs.replace(self._sums[key], running=running)
        self._serving_states[key].write_ages(demand, now_s)
        return demand
