"""Metrics of the own wire's programs: gathered in the process, sent by statsd.

Owns what was gathered since the last sending. Names are listed in
docs/reference/metrics.rst. Relies on the settings for the receiver's address.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

import statsd

from limeshelf.util.backoff import jittered_s

if TYPE_CHECKING:
    from limeshelf.settings.model import MetricsSettings

#: Timings kept between two sendings; later ones are left out.
TIMINGS_LIMIT = 1000


class Metrics:
    """Gathers metrics and sends them once a period.

    Gathering keeps the cost of a counter on the request path to one addition.
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
        self._sent: Counter[str] = Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def time_s(self, name: str, seconds: float) -> None:
        """Note a duration in seconds."""
        if self._client is not None and len(self._timings) < TIMINGS_LIMIT:
            self._timings.append((name, seconds))

    async def run(self) -> None:
        """Send what was gathered, once a period."""
        while True:
            await asyncio.sleep(jittered_s(self._flush_s))
            self.flush()

    def flush(self) -> None:
        """Send what was gathered since the last time."""
        timings, self._timings = self._timings, []
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, total in self.counters.items():
                if total != self._sent[name]:
                    pipeline.incr(name, total - self._sent[name])
                    self._sent[name] = total
            for name, value in self.gauges.items():
                pipeline.gauge(name, value)
            for name, seconds in timings:
                pipeline.timing(name, seconds * 1000.0)
