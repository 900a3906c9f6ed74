"""A replica that says in an answer that it leaves gets no more calls, whatever its row says.

What users saw: calls went to a replica for seconds after its answers had said that it leaves.

Order of events: the store is away; a replica that is to go away says so in its answers and writes
its row, which is taken 12 s later; gateways bring its answers to callers, and send it calls.

Cause: that a replica leaves was learned from its row, and of model replicas from the reports
that the leader asks for. Its answers to calls were not read for it. And what reports had said was
forgotten where the row lapsed and came back.

Evidence: in a play of such a day all gateways went on sending for 8 s, with no ``replica_leaving``
line. Here, 58 calls came of gateways that had known for over 2 s.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.users_platform.replica import Needs
from tests.support.fleet import FleetWorld, load, run_fleet
from tests.support.needs import LEAVING_AFTER_S, arrivals_after_leaving

if TYPE_CHECKING:
    from standins.users_platform.replica import ReplicaStandIn


RESTART_MS = 1_784_591_736_000


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


def test_replica_that_says_it_leaves_as_it_lacks_the_model_gets_no_calls_once_it_has_it() -> None:
    """Orders that arrive late load a model there, after its refusals have said that it leaves."""

    async def scenario(world: FleetWorld) -> None:
        replica = world.engines[0]
        replica.models.clear()
        replica.needs = Needs(leaving=True, to_callers_alone=True)
        await load(world, '/stream/x', 0.5)
        assert {stated.status for stated in replica.stated} == {421}
        replica.models['m1'] = []
        world.announce(replica, beat=9)
        await asyncio.sleep(LEAVING_AFTER_S)
        await load(world, '/stream/x', 1.5)
        assert arrivals_after_leaving(world, replica) == 0

    run_fleet(scenario)


def test_later_start_of_the_replica_gets_calls() -> None:
    async def scenario(world: FleetWorld) -> None:
        (replica, _) = leaving(world)
        await load(world, '/safe/x', 0.5)
        await replica.restart(RESTART_MS, beat=1)
        replica.born_ms = RESTART_MS
        world.announce(replica, beat=2)
        await asyncio.sleep(0.3)
        # The first start stated no time, so the row tells no later one; the next row does.
        await replica.restart(RESTART_MS + 1, beat=2)
        world.announce(replica, beat=3)
        await asyncio.sleep(0.3)
        before = len(replica.seen)
        await load(world, '/safe/x', 0.5)
        assert len(replica.seen) > before

    run_fleet(scenario)
