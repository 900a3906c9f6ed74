"""Smooths the demand for each model that the entry instances report.

Owns the latest report of each entry instance and the smoothed load of each model; the caller
passes in the time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.config.items import model_of

if TYPE_CHECKING:
    from limeshelf.standalone.messages import Demand

#: Time constant of the exponential moving average of requests in flight.
SMOOTHING_S = 10.0
#: An adapter counts as used for this long after a request.
ADAPTER_IN_USE_S = 600.0
#: Age beyond which the report of an entry instance is discarded.
REPORT_VALIDITY_S = 5.0


@attrs.define
class _SmoothedDemand:
    load: float = 0.0
    updated_s: float = 0.0
    used_s: float = float('-inf')


@attrs.frozen
class _ReportedWaiting:
    """Requests waiting or refused, by model, in the last report of one entry instance."""

    received_s: float
    waiting: dict[str, int]


class DemandTracker:
    """Tracks the load and the last use of all models, from the reports received."""

    def __init__(self) -> None:
        self._latest: dict[str, _ReportedWaiting] = {}
        self._models: dict[str, _SmoothedDemand] = {}
        self._item_used_s: dict[str, float] = {}

    def record(self, demand: Demand, now_s: float) -> None:
        """Record the demand that one entry instance reported."""
        waiting: dict[str, int] = {}
        for item in demand.items:
            model = model_of(item.item_id)
            waiting[model] = waiting.get(model, 0) + item.waiting + item.refused
            if item.arrived:
                self._item_used_s[item.item_id] = now_s
                self._models.setdefault(model, _SmoothedDemand(0.0, now_s)).used_s = now_s
        self._latest[demand.instance_id] = _ReportedWaiting(now_s, waiting)

    def advance(self, now_s: float) -> None:
        """Update all moving averages to *now_s* and discard old reports."""
        totals: dict[str, int] = {}
        for instance_id, report in list(self._latest.items()):
            if now_s - report.received_s > REPORT_VALIDITY_S:
                del self._latest[instance_id]
                continue
            for model, count in report.waiting.items():
                totals[model] = totals.get(model, 0) + count
        for model in totals.keys() | self._models.keys():
            smoothed = self._models.setdefault(model, _SmoothedDemand(0.0, now_s))
            weight = math.exp(-(now_s - smoothed.updated_s) / SMOOTHING_S)
            smoothed.load = smoothed.load * weight + totals.get(model, 0) * (1 - weight)
            smoothed.updated_s = now_s

    def load(self, model: str) -> float:
        """Return the moving average of requests in flight or refused for *model*."""
        smoothed = self._models.get(model)
        return smoothed.load if smoothed else 0.0

    def idle_s(self, model: str, now_s: float) -> float:
        """Return the time since the last request for *model*."""
        smoothed = self._models.get(model)
        return now_s - smoothed.used_s if smoothed else float('inf')

    def used_items(self, now_s: float) -> set[str]:
        """Return the items requested within the last ``ADAPTER_IN_USE_S``."""
        limit_s = now_s - ADAPTER_IN_USE_S
        return {item for item, used_s in self._item_used_s.items() if used_s >= limit_s}
