"""Which replica a plain call goes to, and a call that names no model to a model service.

Each gateway chooses by itself, from the loads that the gateways send one another.
Model calls go through :mod:`limeshelf.dispatch` instead; no call falls back from there
to here.
Owns nothing; relies on the records, loads and health of
:mod:`limeshelf.replicas.directory`.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.replicas.penalties import with_penalties
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.routes import ServiceSpec
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Cost of a suspended replica, in whole replicas: above what any load costs, so that one is
#: tried only where all are suspended.
SUSPENDED_COST = 50.0
#: Cost of a request that waits at the replica, in slots.
QUEUED_COST = 1.0
#: The queue in a report that is older than this counts as empty. What it holds counts for
#: longer (``REPORT_LIFE_S`` of :mod:`limeshelf.replicas.freshness`).
QUEUED_LIFE_S = 1.5


@attrs.frozen
class PlainLoad:
    """What the calls of all gateways take of a replica.

    :param calls: under way.
    :param slots: calls that the replica runs at once.
    :param memory_share: of its accelerator memory that is taken; 0 without one.
    :param queued: requests that wait at the replica itself.
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
class Chooser:
    """Chooses among the replicas of a service.

    :param data_centre: of this process.
    """

    directory: ReplicaDirectory
    data_centre: str

    def choose(self, service: ServiceSpec, excluded: frozenset[str]) -> Replica | None:
        """Return the cheapest replica of a service, any of them where several are alike.

        One that asked this gateway for a pause gets none, whatever else there is.

        :param excluded: ids of replicas that refused or failed this call.
        """
        replicas = [
            replica
            for replica in self.directory.of_service(service.name)
            if replica.replica_id not in excluded and not replica.backpressure.is_paused
        ]
        costs = [(self._cost(replica, service), replica) for replica in replicas]
        # Gateways that see the same loads must not all choose the same replica.
        random.shuffle(costs)
        cheapest = min(costs, key=lambda cost: cost[0], default=None)
        return cheapest[1] if cheapest is not None else None

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
            load.calls, slots, load.tokens / engine.memory_tokens, _queued_at(replica)
        )


def _queued_at(replica: Replica) -> int:
    report = replica.report
    if report is None or boottime_s() - replica.reported_s > QUEUED_LIFE_S:
        return 0
    return report.queued
