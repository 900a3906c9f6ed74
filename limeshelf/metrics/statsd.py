"""Metrics of the standalone programs, collected in the process and sent by statsd.

Owns the values collected since the last send. Names are listed in docs/reference/metrics.rst. The
address of the receiver comes from the settings.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

import statsd

from limeshelf.util.backoff import jittered_s

if TYPE_CHECKING:
    from limeshelf.settings.model import MetricsSettings

#: Maximum number of timings kept between two sends; further ones are dropped.
MAX_TIMINGS = 1000


class Metrics:
    """Collects metrics and sends them periodically.

    Collecting limits the cost of a counter on the request path to one addition.
    """

    def __init__(self, settings: MetricsSettings, prefix: str) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []
        self._flush_s = settings.flush_s
        self._client: Any = None
        if settings.statsd_host is not None:
            self._client = statsd.StatsClient(
                settings.statsd_host, settings.statsd_port, prefix=prefix
            )
        self._sent_totals: Counter[str] = Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def time_s(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        if self._client is not None and len(self._timings) < MAX_TIMINGS:
            self._timings.append((name, seconds))

    async def run(self) -> None:
        """Send the collected values periodically."""
        while True:
            await asyncio.sleep(jittered_s(self._flush_s))
            self.flush()

    def flush(self) -> None:
        """Send the values collected since the last send."""
        timings, self._timings = self._timings, []
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, total in self.counters.items():
                if total != self._sent_totals[name]:
                    pipeline.incr(name, total - self._sent_totals[name])
                    self._sent_totals[name] = total
            for name, value in self.gauges.items():
                pipeline.gauge(name, value)
            for name, seconds in timings:
                pipeline.timing(name, seconds * 1000.0)
