"""Selects the replica for a plain call, or for a call to a model service that names no model.

Each gateway selects on its own, from the loads that gateways report to one another. Model calls go
through :mod:`limeshelf.dispatch` instead and never fall back to this module.

Owns no state. Records, loads and health come from :mod:`limeshelf.replicas.directory`.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.replicas.penalties import with_penalties
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import ServiceSpec
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Additional cost of a suspended replica, in units of a replica's whole capacity. Higher than any
#: load, so that suspended replicas are tried only if all are suspended.
SUSPENDED_COST = 50.0
#: Cost of a request queued at the replica, in slots.
QUEUED_COST = 1.0
#: The queue length in a report older than this counts as zero. The held models in a report are
#: valid for longer (``REPORT_LIFE_S`` of :mod:`limeshelf.replicas.freshness`).
QUEUE_REPORT_TTL_S = 1.5


@attrs.frozen
class PlainLoad:
    """The load that the calls of all gateways put on a replica.

    :param calls: calls in progress.
    :param slots: calls that the replica runs concurrently.
    :param memory_share: share of its accelerator memory in use; 0 without an accelerator.
    :param queued: requests queued at the replica itself.
    """

    calls: int
    slots: int
    memory_share: float = 0.0
    queued: int = 0

    @property
    def cost(self) -> float:
        """Return the load in units of one replica's whole capacity."""
        slots = max(1, self.slots)
        return max(self.calls / slots, self.memory_share) + QUEUED_COST * self.queued / slots


@attrs.define
class PlainReplicaSelector:
    """Selects among the replicas of a service.

    :param data_centre: of this process.
    :ivar gateways: returns the number of gateways that may send to a replica.
    """

    directory: ReplicaDirectory
    data_centre: str
    gateways: Callable[[], int] = lambda: 1

    def choose(self, service: ServiceSpec, excluded: frozenset[str]) -> Replica | None:
        """Return the cheapest replica of a service; a random one of several with equal cost.

        Replicas that asked this gateway to pause are never selected, nor are those that fall over
        from rejections unless they have a free slot.

        :param excluded: ids of replicas that refused or failed this call.
        """
        replicas = [
            replica
            for replica in self.directory.of_service(service.name)
            if replica.replica_id not in excluded
            and not replica.backpressure.is_paused
            and self._has_room(replica)
        ]
        costs = [(self._cost(replica, service), replica) for replica in replicas]
        # Gateways that see the same loads must not all select the same replica.
        random.shuffle(costs)
        cheapest = min(costs, key=lambda entry: entry[0], default=None)
        return cheapest[1] if cheapest is not None else None

    def _has_room(self, replica: Replica) -> bool:
        """Return whether a replica that falls over from rejections surely has a free slot.

        The loads of other gateways are known late, so each uses its share of the slots only.
        """
        if replica.backpressure.rejections_per_s is None:
            return True
        slots = replica.record.slots
        own_slots = max(1, slots // max(1, self.gateways()))
        has_own_slot = replica.own_load.calls < own_slots
        return has_own_slot and self.directory.load_of(replica).calls < slots

    def _cost(self, replica: Replica, service: ServiceSpec) -> float:
        load = self._load(replica, service)
        cost = with_penalties(load.cost, replica, self.data_centre)
        return cost + SUSPENDED_COST if replica.health.is_suspended() else cost

    def _load(self, replica: Replica, service: ServiceSpec) -> PlainLoad:
        load = self.directory.load_of(replica)
        slots = replica.record.slots
        engine = service.engine
        if engine is None or not engine.memory_tokens:
            return PlainLoad(load.calls, slots)
        return PlainLoad(
            load.calls, slots, load.tokens / engine.memory_tokens, _reported_queue(replica)
        )


def _reported_queue(replica: Replica) -> int:
    report = replica.report
    if report is None or boottime_s() - replica.reported_s > QUEUE_REPORT_TTL_S:
        return 0
    return report.queued
