"""A replica that crashes with calls at work and comes back under its id and address."""

from __future__ import annotations

import asyncio
import time

import pytest

from limeshelf.replicas.replica import Replica
from standins.users_platform.replica import Fault, ReplicaStandIn
from tests.support.gateway import GatewayWorld, run

BORN_MS = 1_784_591_736_000
BEAT = 7


async def state_start(world: GatewayWorld, replica: ReplicaStandIn) -> None:
    """Let a replica begin to state its start; the first that it states makes no other one."""
    replica.born_ms = BORN_MS
    world.announce(replica, beat=BEAT)
    await world.until(lambda: known(world, replica.replica_id).known_start.born_ms == BORN_MS)


async def restart(
    world: GatewayWorld, replica: ReplicaStandIn, born_ms: int | None, beat: int = BEAT
) -> None:
    await replica.restart(born_ms, beat)
    world.announce(replica, beat=beat + 1)


def known(world: GatewayWorld, replica_id: str) -> Replica:
    assert world.gateway is not None
    replica = world.gateway.components.directory.get(replica_id)
    assert replica is not None
    return replica


@pytest.mark.parametrize('states_its_start', [True, False])
def test_call_at_work_may_have_run_and_runs_nowhere_else(states_its_start: bool) -> None:
    """Neither the new start, which knows nothing of it, nor another replica gets it again."""

    async def scenario(world: GatewayWorld) -> None:
        for replica in world.plain:
            replica.fault = Fault.SILENT
            if states_its_start:
                await state_start(world, replica)
        task = asyncio.create_task(world.call('/unsafe/x'))
        await world.until(lambda: any(replica.runs for replica in world.plain))
        struck = next(replica for replica in world.plain if replica.runs)
        for number in (1, 2):
            born_ms = BORN_MS + 1000 * number if states_its_start else None
            await restart(world, struck, born_ms, BEAT + number)
        for replica in world.plain:
            replica.fault = Fault.NONE
        answer = await task
        assert answer.status == 502
        await asyncio.sleep(0.2)
        assert sum(len(replica.runs) for replica in world.plain) == 1

    run(scenario)


def test_restarted_replica_is_used_again_at_once_and_learned_anew() -> None:
    async def scenario(world: GatewayWorld) -> None:
        struck = world.plain[0]
        await state_start(world, struck)
        for replica in world.plain:
            replica.fault = Fault.RESET_FIRST
        for _ in range(6):
            await world.call('/unsafe/x')
        before = known(world, struck.replica_id)
        assert before.health.failure_ratio > 0
        for replica in world.plain:
            replica.fault = Fault.NONE
        began_s = time.monotonic()
        await restart(world, struck, BORN_MS + 1000)
        await world.until(lambda: known(world, struck.replica_id) is not before)
        after = known(world, struck.replica_id)
        assert (after.health.failure_ratio, after.own_load.calls) == (0, 0)
        runs = len(struck.runs)
        while len(struck.runs) == runs:
            await world.call('/safe/x')
        # Where nothing tells the starts apart, its rows stay late until they have passed BEAT.
        assert time.monotonic() - began_s < 1.0

    run(scenario)


def test_models_of_an_earlier_start_are_not_asked_for_at_the_later_one() -> None:
    async def scenario(world: GatewayWorld) -> None:
        await world.until(world.leader_can_order)
        struck = world.engines[1]
        await state_start(world, struck)
        before = known(world, struck.replica_id)
        await restart(world, struck, BORN_MS + 1000)
        await world.until(lambda: known(world, struck.replica_id) is not before)
        assert known(world, struck.replica_id).order_number is None
        seen = len(struck.seen)
        answers = [await world.generate() for _ in range(4)]
        assert [answer.status for answer in answers] == [200] * 4
        assert all(not call.headers.get('Limeshelf-Model') for call in struck.seen[seen:]) or (
            'm1' in struck.models
        )

    run(scenario)
