"""A replica that crashes with calls in flight and restarts under the same id and address."""

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
    """Make a replica state its start time; the first statement does not count as a restart."""
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
def test_call_in_flight_may_have_run_and_runs_nowhere_else(states_its_start: bool) -> None:
    """Neither the restarted replica, which does not know it, nor another one gets it again."""

    async def scenario(world: GatewayWorld) -> None:
        for replica in world.plain:
            replica.fault = Fault.SILENT
            if states_its_start:
                await state_start(world, replica)
        task = asyncio.create_task(world.call('/unsafe/x'))
        await world.until(lambda: any(replica.runs for replica in world.plain))
        crashed = next(replica for replica in world.plain if replica.runs)
        for number in (1, 2):
            born_ms = BORN_MS + 1000 * number if states_its_start else None
            await restart(world, crashed, born_ms, BEAT + number)
        for replica in world.plain:
            replica.fault = Fault.NONE
        answer = await task
        assert answer.status == 502
        await asyncio.sleep(0.2)
        assert sum(len(replica.runs) for replica in world.plain) == 1

    run(scenario)


def test_restarted_replica_is_used_at_once_with_fresh_state() -> None:
    async def scenario(world: GatewayWorld) -> None:
        crashed = world.plain[0]
        await state_start(world, crashed)
        for replica in world.plain:
            replica.fault = Fault.RESET_FIRST
        for _ in range(6):
            await world.call('/unsafe/x')
        before = known(world, crashed.replica_id)
        assert before.health.failure_ratio > 0
        for replica in world.plain:
            replica.fault = Fault.NONE
        began_s = time.monotonic()
        await restart(world, crashed, BORN_MS + 1000)
        await world.until(lambda: known(world, crashed.replica_id) is not before)
        after = known(world, crashed.replica_id)
        assert (after.health.failure_ratio, after.own_load.calls) == (0, 0)
        runs = len(crashed.runs)
        while len(crashed.runs) == runs:
            await world.call('/safe/x')
        # Without a start time, its rows would count as delayed ones until they pass BEAT.
        assert time.monotonic() - began_s < 1.0

    run(scenario)


def test_models_held_before_a_restart_are_not_requested_after_it() -> None:
    async def scenario(world: GatewayWorld) -> None:
        await world.until(world.leader_can_order)
        crashed = world.engines[1]
        await state_start(world, crashed)
        before = known(world, crashed.replica_id)
        await restart(world, crashed, BORN_MS + 1000)
        await world.until(lambda: known(world, crashed.replica_id) is not before)
        assert known(world, crashed.replica_id).order_number is None
        seen = len(crashed.received_calls)
        answers = [await world.generate() for _ in range(4)]
        assert [answer.status for answer in answers] == [200] * 4
        assert all(
            not call.headers.get('Limeshelf-Model') for call in crashed.received_calls[seen:]
        ) or ('m1' in crashed.models)

    run(scenario)
