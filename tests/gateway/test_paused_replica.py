"""A replica that asks a gateway for rest gets no call from it until that is over.

What users saw: replicas that had turned a gateway away, and asked it for some seconds of rest, got
more calls of that gateway than before, most of them turned away again.

Order of events: a replica answers 503 with a time to come back; the call goes to the next replica,
and after 50 ms to those that have refused it, again and again; other calls come meanwhile.

Cause: the time to come back was read, and used for nothing. A refusal adds to the cost of a
replica, and where all of a service refuse, the cheapest still gets the call.

Evidence: in a play of such a day one replica turned away 90 calls of nine gateways in 6 s, three
of one gateway within 0.1 s. Here, 21 calls of one gateway came within one rest of 3 s.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.users_platform.replica import Fault
from tests.support.fleet import CENTRES, FleetWorld, load, run_fleet
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


def test_calls_are_refused_at_once_with_the_rest_that_is_left() -> None:
    async def scenario(world: FleetWorld) -> None:
        turn_away(world.plain)
        await load(world, '/safe/x', 1.0)
        before_s = asyncio.get_running_loop().time()
        answered = await world.call('/safe/x')
        assert answered.status == 503
        assert asyncio.get_running_loop().time() - before_s < 0.1
        # Callers heed a third of the 3 s that they have.
        assert 0.9 < float(answered.headers['Retry-After']) <= 1.0

    run_fleet(scenario)


def test_replicas_are_used_again_when_their_rest_is_over() -> None:
    async def scenario(world: FleetWorld) -> None:
        # Who does not know how many share the budget of retries sends no call again.
        parts = [world.components(number) for number in range(len(CENTRES))]
        await world.until(lambda: all(one.budgets.gateways for one in parts))
        turn_away([world.plain[0], *world.engines], rest_s='0.7')
        told = await load(world, '/safe/x', 0.5)
        # One of two replicas serves what the other turns away.
        assert set(told) == {200}
        await load(world, '/stream/x', 0.5)
        for replica in [world.plain[0], *world.engines]:
            replica.fault = Fault.NONE
            replica.needs.rest_s = None
        await asyncio.sleep(0.8)
        runs = len(world.plain[0].runs)
        assert set(await load(world, '/safe/x', 0.5)) == {200}
        assert set(await load(world, '/stream/x', 0.5)) == {200}
        assert len(world.plain[0].runs) > runs

    run_fleet(scenario)
