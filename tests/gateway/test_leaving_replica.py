"""A replica whose answers say that it is leaving gets no more calls, whatever its row says.

Guards against gateways that detect a leaving replica only from its row in the store or, for model
replicas, from the reports that the leader requests. While the store is unreachable, the row
arrives late (by 12 s in one outage), and gateways went on sending calls, for 8 s in a simulation,
though answers to calls said that the replica was leaving. The state from reports was also lost
when the row expired and was written again. In this test, gateways that had received such an
answer more than 2 s before then sent 58 calls.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.users_platform.replica import ReplicaNotices
from tests.support.fleet import FleetWorld, run_fleet, send_steady_load
from tests.support.notices import LEAVING_TOLERANCE_S, calls_after_leaving_notice

if TYPE_CHECKING:
    from standins.users_platform.replica import ReplicaStandIn


RESTART_MS = 1_784_591_736_000


def make_leaving(world: FleetWorld) -> list[ReplicaStandIn]:
    """Make one replica of each service announce in its answers, not its row, that it leaves."""
    replicas = [world.plain[0], world.engines[0]]
    for replica in replicas:
        replica.notices.leaving = True
    return replicas


async def load_both(world: FleetWorld, for_s: float) -> None:
    await asyncio.gather(
        send_steady_load(world, '/safe/x', for_s), send_steady_load(world, '/stream/x', for_s)
    )


def test_replicas_that_announced_leaving_get_no_calls() -> None:
    async def scenario(world: FleetWorld) -> None:
        replicas = make_leaving(world)
        await load_both(world, 3.0)
        for replica in replicas:
            # Its row expires, as while the store is unreachable, and is restored unchanged.
            world.store.drop('servers', replica.replica_id)
        await asyncio.sleep(0.5)
        for replica in replicas:
            world.announce(replica, beat=9)
        await load_both(world, 2.0)
        for replica in replicas:
            assert replica.sent_notices
            assert calls_after_leaving_notice(world, replica) == 0

    run_fleet(scenario)


def test_replica_that_announced_leaving_in_refusals_gets_no_calls_after_a_load() -> None:
    """A late order loads the model after refusals for lack of it announced that it leaves."""

    async def scenario(world: FleetWorld) -> None:
        replica = world.engines[0]
        replica.models.clear()
        replica.notices = ReplicaNotices(leaving=True, call_answers_only=True)
        await send_steady_load(world, '/stream/x', 0.5)
        assert {stated.status for stated in replica.sent_notices} == {421}
        replica.models['m1'] = []
        world.announce(replica, beat=9)
        await asyncio.sleep(LEAVING_TOLERANCE_S)
        await send_steady_load(world, '/stream/x', 1.5)
        assert calls_after_leaving_notice(world, replica) == 0

    run_fleet(scenario)


def test_restarted_replica_gets_calls() -> None:
    async def scenario(world: FleetWorld) -> None:
        (replica, _) = make_leaving(world)
        await send_steady_load(world, '/safe/x', 0.5)
        await replica.restart(RESTART_MS, beat=1)
        replica.born_ms = RESTART_MS
        world.announce(replica, beat=2)
        await asyncio.sleep(0.3)
        # The first start stated no start time, so this row shows no restart; the next one does.
        await replica.restart(RESTART_MS + 1, beat=2)
        world.announce(replica, beat=3)
        await asyncio.sleep(0.3)
        before = len(replica.received_calls)
        await send_steady_load(world, '/safe/x', 0.5)
        assert len(replica.received_calls) > before

    run_fleet(scenario)
