"""Replicas that name a rate get no more calls than that, from all gateways together.

What users saw: a replica in need said in its answers how many calls a second it takes from all
gateways together, and went on getting several times as many, from each gateway that it had told.

Order of events: a replica answers with its rate in the head; the gateway brings head and body to
the caller; the gateway, the owner that grants model calls and all others choose the replica
as before, each by itself.

Cause: the head of an answer was read for whether the call had run, and for nothing else. What a
replica asks of all gateways together was known to none, and nobody counted for all.

Evidence: in a play of such a day eight of nine gateways went on sending at their pace, none of
them more than the whole rate allows. With the three gateways of this test, 91 calls came in 4 s
where 17 are allowed. A line ``replica_rate`` tells what each gateway heard.
"""

from __future__ import annotations

import asyncio

from limeshelf.dispatch.rate_limiter import REDUCED_RATE_PERIOD_S
from tests.support.fleet import CENTRES, FleetWorld, load, run_fleet
from tests.support.needs import most_in_window, tolerated

RATE_PER_S = 2.0
LOAD_S = 8.0
#: Least part of the turns that is used where there are more calls than turns.
USED_SHARE = 0.9


def test_replicas_in_need_get_no_more_than_they_take() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = [world.plain[0], world.engines[0]]
        for replica in replicas:
            replica.needs.rate_per_s = str(RATE_PER_S)
        await asyncio.gather(load(world, '/safe/x', LOAD_S), load(world, '/stream/x', LOAD_S))
        for replica in replicas:
            assert replica.stated
            assert most_in_window(world, replica) <= tolerated(RATE_PER_S)
            # It is used all the same, at half of its rate at first.
            assert (
                len(replica.seen) >= RATE_PER_S * (LOAD_S - REDUCED_RATE_PERIOD_S / 2) * USED_SHARE
            )

    run_fleet(scenario)


def test_rate_ends_with_an_answer_that_names_none() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = [world.plain[0], world.engines[0]]
        for replica in replicas:
            replica.needs.rate_per_s = str(RATE_PER_S)
        await asyncio.gather(load(world, '/safe/x', 1.0), load(world, '/stream/x', 1.0))
        for replica in replicas:
            replica.needs.rate_per_s = None
        await asyncio.gather(load(world, '/safe/x', 2.0), load(world, '/stream/x', 2.0))
        seen = [len(replica.seen) for replica in replicas]
        await asyncio.gather(load(world, '/safe/x', 2.0), load(world, '/stream/x', 2.0))
        for replica, before in zip(replicas, seen, strict=True):
            assert len(replica.seen) - before > 2 * RATE_PER_S * 2.0

    run_fleet(scenario)


def test_calls_are_refused_at_once_with_the_time_of_the_next_turn() -> None:
    async def scenario(world: FleetWorld) -> None:
        for replica in world.plain:
            replica.needs.rate_per_s = '0.5'
        await load(world, '/safe/x', 1.0)
        before_s = asyncio.get_running_loop().time()
        answered = await world.call('/safe/x')
        assert answered.status == 503
        assert asyncio.get_running_loop().time() - before_s < 0.1
        assert 0.2 <= float(answered.headers['Retry-After']) <= 4.0

    run_fleet(scenario)


def test_nine_gateways_of_three_data_centres_keep_to_one_rate() -> None:
    """Second relays, which own the replicas of their data centres, lost sight of one another.

    Each then gave turns at the replicas of the others: 20 calls in 4 s at each, where 18.8 are
    tolerated, twice the rate for as long as the calls came.
    """

    async def scenario(world: FleetWorld) -> None:
        replicas = [*world.plain, *world.engines]
        for replica in replicas:
            replica.needs.rate_per_s = '2.3'
        await asyncio.gather(load(world, '/safe/x', 12.0), load(world, '/stream/x', 12.0))
        for replica in replicas:
            assert most_in_window(world, replica) <= tolerated(2.3)
            owners = [world.components(n).dispatchers for n in range(len(world.centres))]
            assert all(one.of_centre(centre) is not None for one in owners for centre in CENTRES)

    run_fleet(scenario, centres=('z1', 'z2', 'z3') * 3)
