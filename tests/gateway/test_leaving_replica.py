"""A replica that says in an answer that it leaves gets no more calls, whatever its row says.

What users saw: calls went to a replica for seconds after its answers had said that it leaves.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.fleet import FleetWorld, load, run_fleet
from tests.support.needs import arrivals_after_leaving

if TYPE_CHECKING:
    from standins.users_platform.replica import ReplicaStandIn


def leaving(world: FleetWorld) -> list[ReplicaStandIn]:
    """Let one replica of each service say in its answers that it leaves; its row does not."""
    replicas = [world.plain[0], world.engines[0]]
    for replica in replicas:
        replica.needs.leaving = True
    return replicas


async def load_both(world: FleetWorld, for_s: float) -> None:
    await asyncio.gather(load(world, '/safe/x', for_s), load(world, '/stream/x', for_s))


def test_replicas_that_said_that_they_leave_get_no_calls() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = leaving(world)
        await load_both(world, 3.0)
        for replica in replicas:
            # Its row lapses, as while the store is away, and comes back as it was.
            world.store.drop('servers', replica.replica_id)
        await asyncio.sleep(0.5)
        for replica in replicas:
            world.announce(replica, beat=9)
        await load_both(world, 2.0)
        for replica in replicas:
            assert replica.stated
            assert arrivals_after_leaving(world, replica) == 0

    run_fleet(scenario)
