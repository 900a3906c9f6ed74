"""Checks that gateways send no calls to replicas that their store rows mark as draining."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.platform_soak.world import PROPAGATION_LIMIT_S, STORE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.users_platform.replica import ReplicaStandIn
    from tests.platform_soak.notices import Observations
    from tests.platform_soak.world import Drain


def find_drain_violations(
    drains: list[Drain], replicas: list[ReplicaStandIn], observations: Observations
) -> Iterator[str]:
    """Yield one line for each draining replica that gateways still sent calls to.

    A drain is not checked if the store had a fault while the drain was propagating.
    """
    replica_by_id = {replica.replica_id: replica for replica in replicas}
    for drain in drains:
        if observations.had_fault(
            STORE, drain.confirmed_s, drain.confirmed_s + PROPAGATION_LIMIT_S
        ):
            continue
        replica = replica_by_id[drain.replica_id]
        late = [
            seen
            for seen in replica.received_calls
            if drain.confirmed_s + PROPAGATION_LIMIT_S
            < seen.at_s
            < replica.next_restart_s(drain.confirmed_s)
            and observations.is_conclusive(replica, seen, drain.confirmed_s)
        ]
        if late:
            gateways = sorted({observations.gateway_of(seen.call_id) for seen in late})
            yield f'{drain.replica_id}: draining, {len(late)} calls from {gateways}'
