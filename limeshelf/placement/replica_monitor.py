"""Tracks the replicas that the leader plans for: polls, claims and initial copies.

Polls the replicas, claims those that have not acknowledged the term's fence, counts the copies
that each held when it was first seen, and describes the replicas to the planner.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.demand.keys import ModelKey
from limeshelf.orders.task import Loadable
from limeshelf.placement.snapshot import ReplicaView
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec
    from limeshelf.lease.leadership import Leadership
    from limeshelf.orders.pending import PendingOrders
    from limeshelf.orders.sender import OrderSender
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart
    from limeshelf.util.tasks import TaskSet

#: Interval at which the leader polls each replica.
POLL_INTERVAL_S = 0.5
#: Replicas of a service that start together are discovered within this time.
STABLE_AFTER_S = 2.0


class ReplicaMonitor:
    """Polls the leader's replicas and describes them to the planner."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        leadership: Leadership,
        sender: OrderSender,
        tasks: TaskSet,
    ) -> None:
        self._directory = directory
        self._leadership = leadership
        self._sender = sender
        self._tasks = tasks
        self._polled_s: dict[ReplicaStart, float] = {}
        self._initial_copies: dict[str, dict[str, int]] = {}
        self._counted_starts: set[ReplicaStart] = set()
        self._last_found_s: dict[str, float] = {}

    async def claim_all(self, service: str, engine: EngineSpec) -> None:
        """Make every replica of a service acknowledge the fence of the term."""
        replicas = self._directory.of_service(service)
        claims = (self._sender.claim(replica, engine) for replica in replicas)
        await asyncio.gather(*claims)

    def record_initial_copies(self, service: str) -> None:
        """Count the copies on replicas seen for the first time; they show what is busy."""
        copies = self._initial_copies.setdefault(service, {})
        for replica in self._directory.of_service(service):
            if replica.start in self._counted_starts:
                continue
            self._counted_starts.add(replica.start)
            self._last_found_s[service] = boottime_s()
            for model in replica.holdings:
                copies[model] = copies.get(model, 0) + 1

    def initial_copies(self, service: str) -> dict[str, int]:
        """Return the copies of each model that replicas held when they were first seen."""
        return self._initial_copies.get(service, {})

    def is_replica_set_stable(self, service: str) -> bool:
        """Return whether no replica of a service has been discovered recently."""
        return boottime_s() - self._last_found_s.get(service, 0.0) >= STABLE_AFTER_S

    def start_due_polls(self, service: str, engine: EngineSpec) -> None:
        """Start the polls that are due."""
        now_s = boottime_s()
        for replica in self._directory.of_service(service):
            if now_s - self._polled_s.get(replica.start, 0.0) >= POLL_INTERVAL_S:
                self._polled_s[replica.start] = now_s
                self._tasks.spawn(self._poll(replica, engine), 'poll')

    async def _poll(self, replica: Replica, engine: EngineSpec) -> None:
        if not await self._sender.poll(replica):
            return
        if not self._sender.pending(replica).is_claimed_under(self._leadership.fence):
            # New in this term, or reachable again: earlier orders may only arrive now
            # (tests/orders/test_sender.py::test_replica_is_reachable_again).
            await self._sender.claim(replica, engine)

    def replica_views(self, service: str) -> list[ReplicaView]:
        """Return the replicas to plan for, without lost ones, whose models are then reloaded."""
        return [
            self._view_of(replica, pending)
            for replica in self._directory.of_service(service)
            if not _is_lost(replica, pending := self._sender.pending(replica))
        ]

    def _view_of(self, replica: Replica, pending: PendingOrders) -> ReplicaView:
        report = replica.report
        return ReplicaView(
            replica.replica_id,
            set(replica.holdings) - replica.retiring,
            pending.expected_models(),
            is_idle=self._can_accept_orders(replica, pending),
            data_centre=replica.record.data_centre,
            in_memory=report.in_memory if report else frozenset(),
            on_disk=report.on_disk if report else frozenset(),
            free_in_s=_free_in_s(pending),
        )

    def _can_accept_orders(self, replica: Replica, pending: PendingOrders) -> bool:
        busy = bool(replica.report and replica.report.busy)
        return (
            pending.is_fresh
            and pending.is_claimed_under(self._leadership.fence)
            and not pending.expected_models()
            and not busy
            and not replica.health.is_suspended()
            and not replica.backpressure.is_paused
        )

    def is_held_or_loading(self, key: ModelKey) -> bool:
        """Return whether any replica holds a model or is loading it."""
        model = Loadable(key.model)
        replicas = self._directory.of_service(key.service)
        is_loading = any(
            self._sender.pending(replica).is_load_expected(model) for replica in replicas
        )
        return is_loading or any(replica.holds(key.model) for replica in replicas)

    def loading_ready_times(self) -> dict[ModelKey, float]:
        """Return the models being loaded, with the time at which each should be ready.

        :returns: times on the boot clock.
        """
        earliest_s: dict[ModelKey, float] = {}
        for replica in self._directory.all():
            for (model, adapter), ready_s in (
                self._sender.pending(replica).expected_ready_s().items()
            ):
                if not adapter:
                    key = ModelKey(replica.record.service, model)
                    earliest_s[key] = min(ready_s, earliest_s.get(key, ready_s))
        return earliest_s


def _free_in_s(pending: PendingOrders) -> float:
    """Return how long the running loads of whole models on a replica are expected to take."""
    ready_s = [at_s for item, at_s in pending.expected_ready_s().items() if not item.adapter]
    return max(0.0, max(ready_s, default=0.0) - boottime_s())


def _is_lost(replica: Replica, pending: PendingOrders) -> bool:
    """Return whether a replica counts as lost, with all that it holds.

    A single missed poll is enough if calls cannot reach the replica either: while the only copy
    of a busy model still counts as present, its calls are refused.
    """
    return pending.is_lost or (pending.missed_polls > 0 and replica.health.is_suspended())
