"""The replicas that the leader plans for: polls, claims and what they held at first.

Polls them, claims those that have not noted the term's fence, remembers what each
held when it was first seen, and describes them to the planner. Owns the times of the
polls; relies on the directory and on what is pending at each replica.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.demand.keys import ModelKey
from limeshelf.orders.task import Loadable
from limeshelf.placement.survey import ReplicaCopies
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

#: The leader polls every replica this often.
POLL_INTERVAL_S = 0.5
#: Replicas of a service that start together are found within this time.
STABLE_AFTER_S = 2.0


class ReplicaWatch:
    """Polls the replicas of a leader and describes them to the planner."""

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
        """Make every replica of a service note the fence of the term."""
        replicas = self._directory.of_service(service)
        claims = (self._sender.claim(replica, engine) for replica in replicas)
        await asyncio.gather(*claims)

    def record_initial_copies(self, service: str) -> None:
        """Count what replicas hold when they are first seen; it shows what is busy."""
        copies = self._initial_copies.setdefault(service, {})
        for replica in self._directory.of_service(service):
            if replica.start in self._counted_starts:
                continue
            self._counted_starts.add(replica.start)
            self._last_found_s[service] = boottime_s()
            for model in replica.holdings:
                copies[model] = copies.get(model, 0) + 1

    def first_copies(self, service: str) -> dict[str, int]:
        """Return the copies of each model that were found at the start."""
        return self._initial_copies.get(service, {})

    def is_replica_set_stable(self, service: str) -> bool:
        """Return whether no replica of a service was found lately."""
        return boottime_s() - self._last_found_s.get(service, 0.0) >= STABLE_AFTER_S

    def start_due_polls(self, service: str, engine: EngineSpec) -> None:
        """Start the polls whose time has come."""
        now_s = boottime_s()
        for replica in self._directory.of_service(service):
            if now_s - self._polled_s.get(replica.start, 0.0) >= POLL_INTERVAL_S:
                self._polled_s[replica.start] = now_s
                self._tasks.spawn(self._poll(replica, engine), 'poll')

    async def _poll(self, replica: Replica, engine: EngineSpec) -> None:
        if not await self._sender.poll(replica):
            return
        if not self._sender.pending(replica).is_claimed_under(self._leadership.fence):
            # New in this term, or back in reach: what was ordered before may
            # arrive just now (tests/orders/test_sender.py::test_replica_back_in_reach).
            await self._sender.claim(replica, engine)

    def copies(self, service: str) -> list[ReplicaCopies]:
        """Return the replicas to plan for; the models of lost ones come up elsewhere."""
        return [
            self._view_of(replica, pending)
            for replica in self._directory.of_service(service)
            if not _is_lost(replica, pending := self._sender.pending(replica))
        ]

    def _view_of(self, replica: Replica, pending: PendingOrders) -> ReplicaCopies:
        report = replica.report
        return ReplicaCopies(
            replica.replica_id,
            set(replica.holdings) - replica.retiring,
            pending.models_expected(),
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
            and not pending.models_expected()
            and not busy
            and not replica.health.is_suspended()
            and not replica.backpressure.is_paused
        )

    def is_held_or_loading(self, key: ModelKey) -> bool:
        """Return whether a model is at some replica or on its way to one."""
        model = Loadable(key.model)
        replicas = self._directory.of_service(key.service)
        coming = any(self._sender.pending(replica).expects(model) for replica in replicas)
        return coming or any(replica.holds(key.model) for replica in replicas)

    def loading_ready_times(self) -> dict[ModelKey, float]:
        """Return the models on their way, with the boot clock's time when each is likely there."""
        earliest_s: dict[ModelKey, float] = {}
        for replica in self._directory.all():
            for (model, adapter), ready_s in self._sender.pending(replica).ready_times_s().items():
                if not adapter:
                    key = ModelKey(replica.record.service, model)
                    earliest_s[key] = min(ready_s, earliest_s.get(key, ready_s))
        return earliest_s


def _free_in_s(pending: PendingOrders) -> float:
    """Return how long the loads of whole models under way at a replica likely take yet."""
    ready_s = [at_s for item, at_s in pending.ready_times_s().items() if not item.adapter]
    return max(0.0, max(ready_s, default=0.0) - boottime_s())


def _is_lost(replica: Replica, pending: PendingOrders) -> bool:
    """Return whether what stands at a replica counts as lost.

    One missed poll is enough where calls cannot reach it either: each second that the only
    copy of a busy model counts as there, its calls are refused.
    """
    return pending.is_lost or (pending.missed_polls > 0 and replica.health.is_suspended())
