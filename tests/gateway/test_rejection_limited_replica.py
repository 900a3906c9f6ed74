"""A replica that falls over from rejections is not sent what it may have no room for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.fleet import run_fleet, send_steady_load

if TYPE_CHECKING:
    from tests.support.fleet import FleetWorld

#: Time from which all gateways must heed the statement.
CONTACT_S = 3.0
LIMIT_PER_S = 2
#: Times that the replicas of a service may fall over while they state a limit: a number, plus a
#: share of the number of replicas.
FALLS = 2
FALLS_SHARE = 0.1


def _falls(times_s: list[float], since_s: float) -> int:
    """Return how often more than the limit was rejected within a second."""
    falls = 0
    window: list[float] = []
    for at_s in sorted(one for one in times_s if one >= since_s):
        window = [*(one for one in window if one > at_s - 1.0), at_s]
        if len(window) > LIMIT_PER_S:
            falls += 1
            window = []
    return falls


def test_replicas_do_not_fall_over_from_rejections_under_more_load_than_they_bear() -> None:
    async def scenario(world: FleetWorld) -> None:
        for replica in world.plain:
            replica.room = 8
            replica.work_s = 0.6
            replica.notices.rejections_per_s = str(LIMIT_PER_S)
        # All gateways together send half as much again as the replicas bear.
        load = asyncio.create_task(send_steady_load(world, '/unsafe/x', CONTACT_S + 6.0))
        await asyncio.sleep(CONTACT_S)
        since_s = asyncio.get_running_loop().time()
        statuses = await load
        falls = sum(_falls(replica.rejected_s, since_s) for replica in world.plain)
        assert falls <= FALLS + FALLS_SHARE * len(world.plain)
        assert statuses.count(200) >= 0.3 * len(statuses)

    run_fleet(scenario)


def test_limit_on_rejections_ends_with_an_answer_that_does_not_state_it() -> None:
    async def scenario(world: FleetWorld) -> None:
        (replica, _) = world.plain
        for one in world.plain:
            one.notices.rejections_per_s = '4'
        await send_steady_load(world, '/safe/x', 0.5)

        def limits() -> set[float | None]:
            numbers = range(len(world.centres))
            replicas = [world.components(at).directory.get(replica.replica_id) for at in numbers]
            return {one.backpressure.rejections_per_s for one in replicas}

        assert limits() == {4.0}
        for one in world.plain:
            one.notices.rejections_per_s = None
        await send_steady_load(world, '/safe/x', 0.5)
        await world.until(lambda: limits() == {None})

    run_fleet(scenario)
