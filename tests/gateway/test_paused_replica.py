"""A replica that refuses with a ``Retry-After`` gets no call from that gateway until it is over.

Guards against gateways that ignore the ``Retry-After`` of a replica's 503. A refusal then only
raises the cost of a replica, so where all replicas of a service refuse, the cheapest still gets
each call; a refused call is sent again to the same replicas every 50 ms. In a simulation one
replica refused 90 calls of nine gateways in 6 s, three of one gateway within 0.1 s. In this test,
one gateway sent 21 calls within a pause of 3 s.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.users_platform.replica import Fault
from tests.support.fleet import DATA_CENTRES, FleetWorld, run_fleet, send_steady_load
from tests.support.gateway import fill_retry_budgets
from tests.support.notices import TOLERATED_CALLS_IN_PAUSE, max_calls_in_pause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from standins.users_platform.replica import ReplicaStandIn

PAUSE_S = 3.0


def refuse_all(replicas: Iterable[ReplicaStandIn], pause_s: str = str(PAUSE_S)) -> None:
    """Make replicas refuse all calls with a ``Retry-After``."""
    for replica in replicas:
        replica.fault = Fault.FULL
        replica.notices.retry_after_s = pause_s


def test_replicas_that_ask_for_a_pause_get_it() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = [*world.plain, *world.engines]
        refuse_all(replicas)
        await asyncio.gather(
            send_steady_load(world, '/safe/x', 6.0), send_steady_load(world, '/stream/x', 6.0)
        )
        for replica in replicas:
            assert replica.sent_notices
            assert max_calls_in_pause(world, replica) <= TOLERATED_CALLS_IN_PAUSE

    run_fleet(scenario)


def test_calls_are_refused_at_once_with_the_pause_left() -> None:
    async def scenario(world: FleetWorld) -> None:
        refuse_all(world.plain)
        await send_steady_load(world, '/safe/x', 1.0)
        before_s = asyncio.get_running_loop().time()
        answered = await world.call('/safe/x')
        assert answered.status == 503
        assert asyncio.get_running_loop().time() - before_s < 0.1
        # Callers honour a Retry-After of up to a third of their 3 s time-out.
        assert 0.9 < float(answered.headers['Retry-After']) <= 1.0

    run_fleet(scenario)


def test_replicas_are_used_again_after_their_pause() -> None:
    async def scenario(world: FleetWorld) -> None:
        # A gateway that does not know how many share the retry budget makes no retries, and one
        # that has just started few.
        parts = [world.components(number) for number in range(len(DATA_CENTRES))]
        await world.until(lambda: all(one.budgets.gateways for one in parts))
        for one in parts:
            fill_retry_budgets(one)
        refuse_all([world.plain[0], *world.engines], pause_s='0.7')
        statuses = await send_steady_load(world, '/safe/x', 0.5)
        # One of two replicas serves the calls that the other refuses.
        assert set(statuses) == {200}
        await send_steady_load(world, '/stream/x', 0.5)
        for replica in [world.plain[0], *world.engines]:
            replica.fault = Fault.NONE
            replica.notices.retry_after_s = None
        await asyncio.sleep(0.8)
        runs = len(world.plain[0].runs)
        assert set(await send_steady_load(world, '/safe/x', 0.5)) == {200}
        assert set(await send_steady_load(world, '/stream/x', 0.5)) == {200}
        assert len(world.plain[0].runs) > runs

    run_fleet(scenario)
