"""Averages the demand for each key over all gateways.

Owns the averages that the leader plans by. Every gateway maintains them, so that a new leader
has them at once.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.count_deltas import CountDeltaTracker
from limeshelf.demand.meter import UNSERVED_EXPIRY_S
from limeshelf.demand.serving_state import ServingState
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.demand.count_deltas import CountDelta
    from limeshelf.demand.keys import KeyDemand, ModelKey

#: Time constant of the short-term rates.
RATE_TIME_CONSTANT_S = 2.5
#: The running calls of a gateway that sends no messages count for this long.
RUNNING_EXPIRY_S = 2.5
#: Time constant of the long-term rate.
LONG_TERM_TIME_CONSTANT_S = 10.0
#: A key that was not requested within this time is removed, so that the table shrinks again. Many
#: times the long-term time constant.
KEY_EXPIRY_S = 120.0
#: A refused caller retries within a third of its time-out, plus a short delay.
RETRY_WINDOW_S = 10.0
#: Lower bound of the interval between two updates, since rates are divided by it.
MIN_STEP_S = 1e-3


@attrs.define
class KeyTotals:
    """The demand for one key over all gateways.

    :ivar calls_per_s: calls started, averaged over :data:`RATE_TIME_CONSTANT_S`.
    :ivar long_term_calls_per_s: the same, averaged over :data:`LONG_TERM_TIME_CONSTANT_S`.
    :ivar tokens_per_s: prompt tokens of the calls started, averaged like ``calls_per_s``.
    :ivar refused_per_s: calls refused because the replicas that hold the key had no room in time,
        averaged like ``calls_per_s``.
    :ivar running: calls in progress.
    :ivar last_missing_s: when a call last found no replica that holds the key.
    :ivar last_requested_s: when the key was last requested.
    :ivar objective_s: the shortest latency objective of its calls; 0 before any call.
    :ivar serving_state: when it was last served, and since when it has gone unserved.
    """

    calls_per_s: float = 0.0
    long_term_calls_per_s: float = 0.0
    tokens_per_s: float = 0.0
    refused_per_s: float = 0.0
    running: float = 0.0
    last_missing_s: float = 0.0
    last_requested_s: float = 0.0
    objective_s: float = 0.0
    serving_state: ServingState = attrs.field(factory=ServingState)

    def was_requested_recently(self, now_s: float) -> bool:
        """Return whether the last request is recent enough for the unserved period to count."""
        return now_s - self.last_requested_s <= UNSERVED_EXPIRY_S

    def unserved_s(self, now_s: float) -> float:
        """Return for how long calls for the key have gone unserved, in seconds."""
        since_s = self.serving_state.unserved_since_s
        if since_s is None or not self.was_requested_recently(now_s):
            return 0.0
        return now_s - since_s

    def may_be_retried(self, now_s: float) -> bool:
        """Return whether a caller that was not served may still retry."""
        return self.unserved_s(now_s) > 0 and now_s - self.last_requested_s <= RETRY_WINDOW_S

    def record_request(self, now_s: float) -> None:
        """Record a request for the key."""
        self.clear_unserved_if_expired(now_s)
        self.serving_state.record_request(now_s)
        self.last_requested_s = now_s

    def clear_unserved_if_expired(self, now_s: float) -> None:
        """End the unserved period if the key was not requested for :data:`UNSERVED_EXPIRY_S`."""
        if not self.was_requested_recently(now_s):
            self.serving_state.clear_unserved()


@attrs.define
class _Arrivals:
    """What was counted for a key since the averages were last updated."""

    calls: int = 0
    tokens: int = 0
    refused: int = 0


_NO_ARRIVALS = _Arrivals()


class DemandTotals:
    """Averages the demand from the counters of gateways and the sums of data centres."""

    def __init__(self) -> None:
        self._tracker = CountDeltaTracker()
        self._running: dict[str, dict[ModelKey, int]] = {}
        self._running_sums: Counter[ModelKey] = Counter()
        self._received_s: dict[str, float] = {}
        self._arrivals: dict[ModelKey, _Arrivals] = {}
        self._totals: dict[ModelKey, KeyTotals] = {}
        self._updated_s = boottime_s()
        #: A lower bound of when the first known call began.
        self._first_call_s = math.inf

    def add_counters(self, instance_id: str, demands: list[KeyDemand]) -> None:
        """Add the counters of one gateway, or the sums of a data centre."""
        now_s = boottime_s()
        self.remove_running(instance_id)
        self._received_s[instance_id] = now_s
        running = {demand.key: demand.running for demand in demands if demand.running}
        self._running[instance_id] = running
        self._running_sums.update(running)
        for demand, delta in self._tracker.deltas(instance_id, demands):
            self._add_arrivals(demand.key, delta)
            self._update_objective(demand)
            self._update_serving_state(demand, delta, now_s)

    def _update_serving_state(self, demand: KeyDemand, delta: CountDelta, now_s: float) -> None:
        has_new_calls = bool(delta.started or delta.wanted)
        if not (has_new_calls or demand.running) and demand.key not in self._totals:
            return
        totals = self._totals_of(demand.key)
        totals.clear_unserved_if_expired(now_s)
        totals.serving_state.merge(ServingState.from_demand(demand, now_s), has_new_calls, now_s)
        if delta.wanted:
            totals.last_missing_s = now_s
        if has_new_calls or demand.running:
            totals.last_requested_s = now_s

    def remove_running(self, instance_id: str) -> None:
        """Remove the running calls of a gateway that is silent or has sent newer counters."""
        self._received_s.pop(instance_id, None)
        self._running_sums.subtract(self._running.pop(instance_id, {}))

    def _totals_of(self, key: ModelKey) -> KeyTotals:
        totals = self._totals.get(key)
        if totals is None:
            totals = self._totals[key] = KeyTotals()
        return totals

    def _add_arrivals(self, key: ModelKey, delta: CountDelta) -> None:
        if not any(delta):
            return
        self._first_call_s = min(self._first_call_s, self._updated_s)
        arrivals = self._arrivals.setdefault(key, _Arrivals())
        arrivals.calls += delta.started
        arrivals.tokens += delta.tokens
        arrivals.refused += delta.refused

    def _update_objective(self, demand: KeyDemand) -> None:
        if demand.objective_ms:
            totals = self._totals_of(demand.key)
            objective_s = demand.objective_ms / 1000
            totals.objective_s = min(totals.objective_s or objective_s, objective_s)

    def record_missing(self, key: ModelKey) -> None:
        """Record that a call has just found no replica that holds *key*."""
        totals = self._totals_of(key)
        now_s = boottime_s()
        totals.last_missing_s = now_s
        totals.record_request(now_s)

    def latest(self) -> dict[ModelKey, KeyTotals]:
        """Return the averages as of the last :meth:`update_averages`."""
        return self._totals

    def update_averages(self) -> dict[ModelKey, KeyTotals]:
        """Update the averages to the current time and return them."""
        now_s = boottime_s()
        passed_s = max(MIN_STEP_S, now_s - self._updated_s)
        self._updated_s = now_s
        self._drop_silent_gateways(now_s)
        history_s = max(passed_s, now_s - self._first_call_s)
        for key in self._arrivals:
            self._totals_of(key)
        for key, totals in list(self._totals.items()):
            arrivals = self._arrivals.get(key, _NO_ARRIVALS)
            _update_key_averages(totals, arrivals, passed_s, history_s)
            totals.running = float(self._running_sums[key])
            if totals.running or arrivals.calls:
                totals.last_requested_s = now_s
            elif now_s - totals.last_requested_s > KEY_EXPIRY_S:
                del self._totals[key]
                del self._running_sums[key]
        self._arrivals.clear()
        return self._totals

    def _drop_silent_gateways(self, now_s: float) -> None:
        oldest_s = now_s - RUNNING_EXPIRY_S
        silent = [
            sender for sender, received_s in self._received_s.items() if received_s < oldest_s
        ]
        for instance_id in silent:
            self.remove_running(instance_id)


def _update_key_averages(
    totals: KeyTotals, arrivals: _Arrivals, passed_s: float, history_s: float
) -> None:
    """Update the exponential moving averages of a key to the current time.

    :param arrivals: counted since the last update, *passed_s* seconds ago.
    :param history_s: time since the first call for any key; bounds the time constants. Without
        this bound the long-term average started at zero and lagged, so that all demand seemed to
        rise for the first ten seconds.
    """
    weight = min(1.0, passed_s / min(RATE_TIME_CONSTANT_S, history_s))
    long_term_weight = min(1.0, passed_s / min(LONG_TERM_TIME_CONSTANT_S, history_s))
    calls_per_s = arrivals.calls / passed_s
    totals.calls_per_s += weight * (calls_per_s - totals.calls_per_s)
    totals.long_term_calls_per_s += long_term_weight * (calls_per_s - totals.long_term_calls_per_s)
    totals.tokens_per_s += weight * (arrivals.tokens / passed_s - totals.tokens_per_s)
    totals.refused_per_s += weight * (arrivals.refused / passed_s - totals.refused_per_s)
