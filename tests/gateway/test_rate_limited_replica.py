"""Replicas that name a rate get no more calls than that, from all gateways together.

What users saw: a replica in need said in its answers how many calls a second it takes from all
gateways together, and went on getting several times as many, from each gateway that it had told.
"""

from __future__ import annotations

import asyncio

from tests.support.fleet import CENTRES, FleetWorld, run_fleet
from tests.support.needs import most_in_window, tolerated

RATE_PER_S = 2.0
#: Calls of each kind, from all callers together.
CALLS_PER_S = 40
LOAD_S = 8.0


async def load(world: FleetWorld, path: str, for_s: float) -> list[int]:
    """Make calls at all gateways in turn, at a steady pace; return what they were told."""
    tasks = []
    for number in range(int(for_s * CALLS_PER_S)):
        at = number % len(CENTRES)
        if path.startswith('/stream'):
            call = world.generate_at(at, b'x')
        else:
            call = world.call_at(at, path, b'x')
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(1 / CALLS_PER_S)
    return list(await asyncio.gather(*tasks))


def test_replicas_in_need_get_no_more_than_they_take() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = [world.plain[0], world.engines[0]]
        for replica in replicas:
            replica.needs.rate_per_s = str(RATE_PER_S)
        await asyncio.gather(load(world, '/safe/x', LOAD_S), load(world, '/stream/x', LOAD_S))
        for replica in replicas:
            assert replica.stated
            assert most_in_window(world, replica) <= tolerated(RATE_PER_S)

    run_fleet(scenario)
