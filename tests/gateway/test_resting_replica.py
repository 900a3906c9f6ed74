"""A replica that asks a gateway for rest gets no call from it until that is over.

What users saw: replicas that had turned a gateway away, and asked it for some seconds of rest, got
more calls of that gateway than before, most of them turned away again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.users_platform.replica import Fault
from tests.support.fleet import FleetWorld, load, run_fleet
from tests.support.needs import TOLERATED_IN_REST, most_in_a_rest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from standins.users_platform.replica import ReplicaStandIn

REST_S = 3.0


def turn_away(replicas: Iterable[ReplicaStandIn], rest_s: str = str(REST_S)) -> None:
    """Let replicas refuse all calls and ask for rest."""
    for replica in replicas:
        replica.fault = Fault.FULL
        replica.needs.rest_s = rest_s


def test_replicas_that_ask_for_rest_get_it() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = [*world.plain, *world.engines]
        turn_away(replicas)
        await asyncio.gather(load(world, '/safe/x', 6.0), load(world, '/stream/x', 6.0))
        for replica in replicas:
            assert replica.stated
            assert most_in_a_rest(world, replica) <= TOLERATED_IN_REST

    run_fleet(scenario)
