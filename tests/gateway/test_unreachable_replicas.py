"""A gateway that reaches no replica serves its callers as others do, through one that does."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import pytest

from limeshelf.membership.contention import CONTEND_AFTER_S
from limeshelf.membership.messages import ReplicaStates
from tests.support.fleet import run_fleet
from tests.support.partition import Cut, PartitionedFleet

if TYPE_CHECKING:
    from tests.support.fleet import FleetWorld

#: Time after the beginning of a cut from which callers must be served as elsewhere.
CONTACT_S = 3.0
#: Least share of the calls at gateways that are cut off that are served at the first attempt,
#: relative to the others; and most that may fail there: a number, plus a share of all.
LEAST_SHARE = 2 / 3
MOST_FAILED = 10
MOST_FAILED_SHARE = 1 / 50
CALLS_PER_S = 40
#: Time in which another gateway leads, once the leader knows that it reaches no replica: that in
#: which gateways that are no first relay contend, and one second more.
TAKEN_OVER_S = CONTEND_AFTER_S + 1.0
PATHS = ('/safe/x', '/unsafe/x', '/stream/x')


async def _load(world: FleetWorld, for_s: float) -> dict[int, collections.Counter[int]]:
    """Send calls of each kind to all gateways in turn; return the statuses by gateway."""
    statuses: dict[int, collections.Counter[int]] = collections.defaultdict(collections.Counter)

    async def send(at: int, path: str) -> None:
        if path.startswith('/stream'):
            status = await world.generate_at(at, b'x')
        else:
            status = await world.call_at(at, path, b'x')
        statuses[at][status] += 1

    calls = []
    gateways = len(world.centres)
    for number in range(int(for_s * CALLS_PER_S)):
        path = PATHS[number // gateways % len(PATHS)]
        calls.append(asyncio.create_task(send(number % gateways, path)))
        await asyncio.sleep(1 / CALLS_PER_S)
    await asyncio.gather(*calls)
    return statuses


@pytest.mark.parametrize('how', list(Cut))
def test_callers_of_a_gateway_that_reaches_no_replica_are_served(how: Cut) -> None:
    async def scenario(world: PartitionedFleet) -> None:
        cut_off = [0, 2]
        await _load(world, 1.0)
        for number in cut_off:
            await world.cut_off(number, how)
        await _load(world, CONTACT_S)
        statuses = await _load(world, 3.0)
        shares = {at: counts[200] / counts.total() for at, counts in statuses.items()}
        total = sum(counts.total() for counts in statuses.values())
        failed = sum(statuses[at].total() - statuses[at][200] for at in cut_off)
        assert shares[1] == 1.0
        assert min(shares[at] for at in cut_off) >= LEAST_SHARE, statuses
        assert failed <= MOST_FAILED + MOST_FAILED_SHARE * total, statuses
        for number in cut_off:
            await world.reconnect(number)
        await _load(world, 2.0)
        after = await _load(world, 1.0)
        assert all(set(counts) == {200} for counts in after.values()), after

    run_fleet(scenario, world_class=PartitionedFleet)


def test_gateway_that_reaches_no_replica_does_not_keep_placement_from_others() -> None:
    async def scenario(world: PartitionedFleet) -> None:
        numbers = range(len(world.centres))

        def leaders() -> list[int]:
            return [at for at in numbers if world.components(at).leadership.fence]

        await world.until(leaders, limit_s=15.0)
        (before,) = leaders()
        told: list[bool] = []
        for at in set(numbers) - {before}:
            handle = lambda envelope: told.append(not envelope.message.may_order)  # noqa: E731
            world.components(at).node.add_handler(ReplicaStates, handle)
        await world.cut_off(before, Cut.RESET)
        load = asyncio.create_task(_load(world, 2 * CONTACT_S))
        await world.until(world.components(before).engine_reach.is_cut_off, limit_s=CONTACT_S)
        await world.until(lambda: leaders() and before not in leaders(), limit_s=TAKEN_OVER_S)
        # The others are told, so that none waits until the former claim to lead has expired.
        assert any(told)
        await load
        assert leaders() and before not in leaders()
        await world.reconnect(before)
        await _load(world, 2.0)
        assert len(leaders()) == 1

    run_fleet(scenario, world_class=PartitionedFleet, centres=('z1', 'z1', 'z1'))
