"""Chooses the replica for a call among those that can run it."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import ServiceSpec
    from limeshelf.replicas.directory import Replica, ReplicaDirectory

#: Costs in units of one replica's whole capacity.
OTHER_CENTRE_COST = 0.03
FAILING_COST = 2.0
SUSPENDED_COST = 50.0
QUEUED_COST = 1.0
#: Worth of a prompt part that the replica has lately read.
WARM_PART_WORTH = 0.04
WARM_PART_LIFE_S = 15.0
WARM_PARTS_KEPT = 512
#: Reports older than this say nothing about the queue.
REPORT_LIFE_S = 1.5


@attrs.frozen
class Candidate:
    """A replica with what speaks against it."""

    replica: Replica
    cost: float
    calls: int


@attrs.define
class Chooser:
    """Ranks the replicas of a service for a call.

    :param data_centre: of this process.
    """

    directory: ReplicaDirectory
    data_centre: str

    def candidates(
        self, call: Call, service: ServiceSpec, excluded: frozenset[str]
    ) -> list[Candidate]:
        """Return the replicas that can run the call now, the best first."""
        need = call.model_need
        able = [
            replica
            for replica in self.directory.of_service(service.name)
            if replica.replica_id not in excluded
            and (need is None or service.engine is None or replica.holds(need.model, need.adapter))
        ]
        ranked = [self._candidate(replica, call, service) for replica in able]
        random.shuffle(ranked)
        ranked.sort(key=lambda candidate: candidate.cost)
        return ranked

    def _candidate(self, replica: Replica, call: Call, service: ServiceSpec) -> Candidate:
        load = self.directory.load_of(replica)
        cost = load.calls / max(1, replica.record.slots)
        if service.engine is not None and service.engine.memory_tokens:
            cost = max(cost, load.tokens / service.engine.memory_tokens)
            cost += self._queued(replica)
            cost -= self._warmth(replica, call)
        if replica.record.data_centre != self.data_centre:
            cost += OTHER_CENTRE_COST
        cost += FAILING_COST * max(0.0, replica.health.failing - 0.2)
        if replica.health.is_suspended():
            cost += SUSPENDED_COST
        return Candidate(replica, cost, load.calls)

    def _queued(self, replica: Replica) -> float:
        report = replica.report
        if report is None or boottime_s() - replica.reported_s > REPORT_LIFE_S:
            return 0.0
        return QUEUED_COST * report.queued / max(1, replica.record.slots)

    def _warmth(self, replica: Replica, call: Call) -> float:
        need = call.model_need
        if need is None:
            return 0.0
        oldest_s = boottime_s() - WARM_PART_LIFE_S
        worth = 0.0
        for part in need.shared_parts:
            if replica.warm_parts.get(f'{need.model}/{need.adapter}/{part}', 0.0) < oldest_s:
                break
            worth += WARM_PART_WORTH
        return worth


def note_warm_parts(replica: Replica, call: Call) -> None:
    """Remember that the replica reads the call's shared parts now."""
    need = call.model_need
    if need is None:
        return
    now_s = boottime_s()
    for part in need.shared_parts:
        key = f'{need.model}/{need.adapter}/{part}'
        replica.warm_parts.pop(key, None)
        replica.warm_parts[key] = now_s
    while len(replica.warm_parts) > WARM_PARTS_KEPT:
        del replica.warm_parts[next(iter(replica.warm_parts))]
