"""Counters and latency histograms, served as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable

LATENCY_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)


class Figures:
    """The figures of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._calls = Counter(
            'limeshelf_calls', 'Calls answered, by status.', ['status'], registry=self._registry
        )
        self._latency = Histogram(
            'limeshelf_call_seconds',
            'Time from a call read to its answer ended.',
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._orders = Counter(
            'limeshelf_orders',
            'Orders sent to replicas, by outcome.',
            ['outcome'],
            registry=self._registry,
        )

    def observe_call(self, status: int, seconds: float) -> None:
        """Count a call that was answered after *seconds*."""
        self._calls.labels(str(status)).inc()
        self._latency.observe(seconds)

    def observe_order(self, outcome: str) -> None:
        """Count an order to a replica."""
        self._orders.labels(outcome).inc()

    def watch(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Serve what *read* returns as a gauge called *name*."""
        Gauge(f'limeshelf_{name}', meaning, registry=self._registry).set_function(read)

    def text(self) -> bytes:
        """Return all figures as text."""
        return generate_latest(self._registry)


class FiguresServer:
    """Serves the figures on an address of their own."""

    def __init__(self, figures: Figures) -> None:
        self._figures = figures
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=self._figures.text(), content_type='text/plain')

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
