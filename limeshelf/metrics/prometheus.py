"""Metrics of a gateway, served to a scraper in the Prometheus text format.

Owns the metrics of the process. Their names and labels are listed in tests/forms/test_metrics.py.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable

#: Upper bounds of the latency histogram.
LATENCY_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)

#: Upper bounds of the histogram of a configuration's lag; changes may take seconds.
CONFIG_LAG_BUCKETS_S = (0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0, 30.0)

#: Upper bounds of the histogram of how long frames are queued for a peer; older ones are dropped.
FRAME_WAIT_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0)


class GatewayMetrics:
    """The metrics of one gateway process."""

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
        self._config_lag = Histogram(
            'limeshelf_config_lag_seconds',
            'Longest time for which the store may have had a configuration when it became active.',
            buckets=CONFIG_LAG_BUCKETS_S,
            registry=self._registry,
        )
        self._orders = Counter(
            'limeshelf_orders',
            'Orders sent to replicas, by outcome.',
            ['outcome'],
            registry=self._registry,
        )
        self._store_calls = Counter(
            'limeshelf_store_calls',
            'Calls to the store, by operation and table.',
            ['operation', 'table'],
            registry=self._registry,
        )

        self._unreadable_rows = Counter(
            'limeshelf_unreadable_rows',
            'Rows of the store that name nothing, by table.',
            ['table'],
            registry=self._registry,
        )
        self._restarts = Counter(
            'limeshelf_replica_restarts',
            'Restarts of replicas under the same id, by how they were learned.',
            ['learned_by'],
            registry=self._registry,
        )

        self._notices = Counter(
            'limeshelf_replica_notices',
            'Times that a replica began to ask for something, by what.',
            ['statement'],
            registry=self._registry,
        )
        self._returns = Counter(
            'limeshelf_table_returns',
            'Times that a copy of a table went over to a later era of the store, by table.',
            ['table'],
            registry=self._registry,
        )
        self._era = Gauge(
            'limeshelf_store_era',
            'Latest era of the store that a copy of a table has gone over to.',
            registry=self._registry,
        )
        self._suspensions = Counter(
            'limeshelf_suspensions',
            'Times that the machine was suspended while the gateway ran.',
            registry=self._registry,
        )
        self._forwarded = Counter(
            'limeshelf_forwarded_calls',
            'Calls that another gateway was asked to carry, by result.',
            ['result'],
            registry=self._registry,
        )
        self._carried = Counter(
            'limeshelf_carried_calls',
            'Calls of other gateways that this one was asked to carry.',
            registry=self._registry,
        )
        self._peer_bytes = Counter(
            'limeshelf_peer_sent_bytes',
            'Bytes of the frames sent to other gateways, by kind of message.',
            ['kind'],
            registry=self._registry,
        )
        self._peer_wait = Histogram(
            'limeshelf_peer_wait_seconds',
            'Time for which a frame was queued before it was written to a connection.',
            buckets=FRAME_WAIT_BUCKETS_S,
            registry=self._registry,
        )
        self._peer_waiting = Gauge(
            'limeshelf_peer_waiting_bytes',
            'Bytes that wait to be sent to other gateways.',
            registry=self._registry,
        )
        self._peer_dropped = Gauge(
            'limeshelf_peer_dropped_frames',
            'Frames that were queued for another gateway and dropped, since the start.',
            registry=self._registry,
        )
        self._row_bytes = Counter(
            'limeshelf_row_update_bytes',
            'Bytes of the rows sent to other gateways, by what they were sent for.',
            ['cause'],
            registry=self._registry,
        )
        self._unreachable = Gauge(
            'limeshelf_unreachable_replicas',
            'Replicas to which no connection can be opened from here.',
            registry=self._registry,
        )
        self._unserved_s = Gauge(
            'limeshelf_unserved_seconds',
            'Longest time that one was asked for and served to nobody, at the leader, by kind.',
            ['kind'],
            registry=self._registry,
        )
        self._unserved_keys = Gauge(
            'limeshelf_unserved_keys',
            'How many were asked for and served to nobody for long, at the leader, by kind.',
            ['kind'],
            registry=self._registry,
        )

    def observe_call(self, status: int, seconds: float) -> None:
        """Count a call answered with HTTP status *status* after *seconds*."""
        self._calls.labels(str(status)).inc()
        self._latency.observe(seconds)

    def observe_config_lag(self, seconds: float) -> None:
        """Record how long ago at most the store took a configuration that became active."""
        self._config_lag.observe(seconds)

    def observe_order(self, outcome: str) -> None:
        """Count an order sent to a replica.

        :param outcome: value of :class:`limeshelf.orders.order.OrderOutcome`.
        """
        self._orders.labels(outcome).inc()

    def observe_store_call(self, operation: str, table: str) -> None:
        """Count a call to the store.

        :param operation: ``read``, ``follow`` or ``write``.
        """
        self._store_calls.labels(operation, table).inc()

    def observe_unreadable_row(self, table: str) -> None:
        """Count a row of the store that cannot be decoded and is ignored."""
        self._unreadable_rows.labels(table).inc()

    def observe_restart(self, learned_by: str) -> None:
        """Count a restart of a replica that kept its id.

        :param learned_by: value of :class:`limeshelf.replicas.starts.StateSource`.
        """
        self._restarts.labels(learned_by).inc()

    def observe_notice(self, statement: str) -> None:
        """Count a request that a replica has started to make of the gateways.

        :param statement: value of :class:`limeshelf.replicas.notices.NoticeKind`.
        """
        self._notices.labels(statement).inc()

    def observe_era_change(self, table: str, era: int) -> None:
        """Count a switch of the copy of *table* to a later era of the store."""
        self._returns.labels(table).inc()
        self._era.set(era)

    def observe_suspension(self) -> None:
        """Count a suspension of the machine."""
        self._suspensions.inc()

    def observe_forwarded(self, result: str) -> None:
        """Count a call that another gateway was asked to carry.

        :param result: name of the class of the result.
        """
        self._forwarded.labels(result).inc()

    def observe_carried(self) -> None:
        """Count a call that another gateway asked this one to carry."""
        self._carried.inc()

    def observe_peer_frame(self, kind: str, size_bytes: int, waited_s: float) -> None:
        """Count a frame sent to another gateway, which was queued for *waited_s*."""
        self._peer_bytes.labels(kind).inc(size_bytes)
        self._peer_wait.observe(waited_s)

    def watch_peers(self, waiting_bytes: Callable[[], int], dropped: Callable[[], int]) -> None:
        """Serve how many bytes wait to be sent to other gateways, and how many frames did not."""
        self._peer_waiting.set_function(waiting_bytes)
        self._peer_dropped.set_function(dropped)

    def observe_rows(self, cause: str, size_bytes: int) -> None:
        """Count rows sent to other gateways.

        :param cause: value of :class:`limeshelf.membership.row_exchange.RowCause`.
        :param size_bytes: over all receivers.
        """
        self._row_bytes.labels(cause).inc(size_bytes)

    def watch_unreachable(self, count: Callable[[], int]) -> None:
        """Serve the number of replicas that cannot be connected to, which *count* returns."""
        self._unreachable.set_function(count)

    def watch_unserved(
        self, kind: str, longest_s: Callable[[], float], keys: Callable[[], int]
    ) -> None:
        """Serve gauges of the unserved demand of one kind.

        :param kind: value of :class:`limeshelf.demand.unserved.UnservedKind`.
        :param longest_s: returns the longest time without service, in seconds.
        :param keys: returns the number of unserved models or adapters.
        """
        self._unserved_s.labels(kind).set_function(longest_s)
        self._unserved_keys.labels(kind).set_function(keys)

    def watch(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Serve the value that *read* returns as a gauge called *name*."""
        Gauge(f'limeshelf_{name}', help_text, registry=self._registry).set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


class MetricsServer:
    """HTTP server for the metrics, on a separate address.

    :param make_server: returns a server that passes requests to a handler.
    """

    def __init__(
        self, metrics: GatewayMetrics, make_server: Callable[[Any], web.Server] = web.Server
    ) -> None:
        self._metrics = metrics
        self._make_server = make_server
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self._runner = web.ServerRunner(self._make_server(self._answer))
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=self._metrics.text(), content_type='text/plain')

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
