"""Whether gateways keep from replicas whose rows say that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.platform_soak.world import KNOWN_S, STORE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.users_platform.replica import ReplicaStandIn
    from tests.platform_soak.needs import Watch
    from tests.platform_soak.world import Drain


def broken_drains(
    drains: list[Drain], replicas: list[ReplicaStandIn], watch: Watch
) -> Iterator[str]:
    """Yield one line for each drain that a gateway did not keep to.

    A drain during which the store fails before all must know it is not judged.
    """
    of_id = {replica.replica_id: replica for replica in replicas}
    for drain in drains:
        if watch.is_struck(STORE, drain.said_s, drain.said_s + KNOWN_S):
            continue
        replica = of_id[drain.replica_id]
        late = [
            seen
            for seen in replica.received_calls
            if drain.said_s + KNOWN_S < seen.at_s < replica.next_restart_s(drain.said_s)
            and watch.is_judged(replica, seen, drain.said_s)
        ]
        if late:
            gateways = sorted({watch.gateway_of(seen.call_id) for seen in late})
            yield f'{drain.replica_id}: leaves by its row, {len(late)} calls of {gateways}'
