"""Replicas that state a rate limit get no more calls than that, from all gateways together.

Guards against gateways that ignore the limit, or that each apply it alone. An overloaded replica
states in the head of its answers how many calls a second it accepts from all gateways together.
If nothing counts the calls of all gateways, the replica gets several times its limit although no
gateway exceeds the limit by itself: in a simulation, eight of nine gateways went on sending. The
three gateways of this test sent 91 calls in 4 s where 17 are allowed. A ``replica_rate`` line
logs the limit that each gateway received.
"""

from __future__ import annotations

import asyncio

from limeshelf.dispatch.rate_limiter import REDUCED_RATE_PERIOD_S
from tests.support.fleet import DATA_CENTRES, FleetWorld, run_fleet, send_steady_load
from tests.support.notices import max_calls_in_window, tolerated_calls

RATE_PER_S = 2.0
LOAD_S = 8.0
#: Least share of the rate that must be used where there are more calls than it allows.
MIN_USED_SHARE = 0.9


def test_replicas_get_no_more_calls_than_their_limit() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = [world.plain[0], world.engines[0]]
        for replica in replicas:
            replica.notices.rate_per_s = str(RATE_PER_S)
        await asyncio.gather(
            send_steady_load(world, '/safe/x', LOAD_S),
            send_steady_load(world, '/stream/x', LOAD_S),
        )
        for replica in replicas:
            assert replica.sent_notices
            assert max_calls_in_window(world, replica) <= tolerated_calls(RATE_PER_S)
            # The rate is still used; a new pacer allows half of it at first.
            assert (
                len(replica.received_calls)
                >= RATE_PER_S * (LOAD_S - REDUCED_RATE_PERIOD_S / 2) * MIN_USED_SHARE
            )

    run_fleet(scenario)


def test_limit_ends_with_an_answer_that_states_none() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = [world.plain[0], world.engines[0]]
        for replica in replicas:
            replica.notices.rate_per_s = str(RATE_PER_S)
        await asyncio.gather(
            send_steady_load(world, '/safe/x', 1.0), send_steady_load(world, '/stream/x', 1.0)
        )
        for replica in replicas:
            replica.notices.rate_per_s = None
        await asyncio.gather(
            send_steady_load(world, '/safe/x', 2.0), send_steady_load(world, '/stream/x', 2.0)
        )
        seen = [len(replica.received_calls) for replica in replicas]
        await asyncio.gather(
            send_steady_load(world, '/safe/x', 2.0), send_steady_load(world, '/stream/x', 2.0)
        )
        for replica, before in zip(replicas, seen, strict=True):
            assert len(replica.received_calls) - before > 2 * RATE_PER_S * 2.0

    run_fleet(scenario)


def test_calls_are_refused_at_once_with_the_time_until_the_next_permit() -> None:
    async def scenario(world: FleetWorld) -> None:
        for replica in world.plain:
            replica.notices.rate_per_s = '0.5'
        await send_steady_load(world, '/safe/x', 1.0)
        before_s = asyncio.get_running_loop().time()
        answered = await world.call('/safe/x')
        assert answered.status == 503
        assert asyncio.get_running_loop().time() - before_s < 0.1
        assert 0.2 <= float(answered.headers['Retry-After']) <= 4.0

    run_fleet(scenario)


def test_nine_gateways_of_three_data_centres_keep_to_one_limit() -> None:
    """Guards against two gateways that issue permits for one replica.

    Second relays, which own the replicas of their data centres, lost contact with one another, and
    each then issued permits for the replicas of the others: 20 calls in 4 s at each,
    where 18.8 are tolerated, and twice the rate for as long as calls arrived.
    """

    async def scenario(world: FleetWorld) -> None:
        replicas = [*world.plain, *world.engines]
        for replica in replicas:
            replica.notices.rate_per_s = '2.3'
        await asyncio.gather(
            send_steady_load(world, '/safe/x', 12.0), send_steady_load(world, '/stream/x', 12.0)
        )
        for replica in replicas:
            assert max_calls_in_window(world, replica) <= tolerated_calls(2.3)
            owners = [world.components(n).dispatchers for n in range(len(world.centres))]
            assert all(
                one.of_centre(centre) is not None for one in owners for centre in DATA_CENTRES
            )

    run_fleet(scenario, centres=('z1', 'z2', 'z3') * 3)
