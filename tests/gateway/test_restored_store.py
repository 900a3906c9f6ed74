"""After the store is restored from an older copy, gateways notice new changes in time.

Guards against gateways that ignore such changes: the restored store assigns versions a second
time, and gateways took the versions that they had read before the restore for newer ones.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from limeshelf.util.clock import boottime_s
from tests.support.fleet import FleetWorld, run_fleet
from tests.support.gateway import PLAIN, configuration, encode_row_value, route

if TYPE_CHECKING:
    from collections.abc import Callable

#: Time within which all gateways must know a confirmed change, in seconds.
KNOWN_S = 2.0
#: Largest number of calls to the store a second by one gateway.
MAX_CALLS_PER_S = 4
#: Number of versions that heartbeats of the replicas add.
MANY_VERSIONS = 40


def write_heartbeats(world: FleetWorld, times: int, first: int) -> None:
    """Write the rows of all replicas repeatedly, as their heartbeats do."""
    for number in range(times):
        for replica in [*world.plain, *world.engines]:
            world.announce(replica, beat=first + number)


def put_configuration(world: FleetWorld, version: int) -> None:
    world.configure(configuration(version, route(f'only{version}', 'safe', PLAIN)))


async def copy_before_heartbeats(world: FleetWorld) -> int:
    """Return the version of a copy that lacks 8 heartbeats of all replicas."""
    write_heartbeats(world, 3, first=2)
    await asyncio.sleep(0.5)
    copied = world.store.version
    write_heartbeats(world, 8, first=10)
    return copied


async def restore(world: FleetWorld, version: int, outage_s: float = 0.5) -> None:
    world.store.faults.status = 503
    await asyncio.sleep(outage_s)
    world.store.restore_version(version)
    world.store.faults.status = 0


def all_serve(world: FleetWorld, version: int) -> Callable[[], bool]:
    return lambda: all(
        world.components(number).active_config.version == version
        for number in range(len(world.centres))
    )


def all_stopped_using(world: FleetWorld, replica_id: str) -> Callable[[], bool]:
    def known() -> bool:
        found = [
            world.components(number).directory.get(replica_id)
            for number in range(len(world.centres))
        ]
        return all(one is not None and not one.takes_calls for one in found)

    return known


async def check_changes_are_known(world: FleetWorld, version: int) -> None:
    """Change the configuration, drain a replica, and check that all gateways know in time."""
    replica = world.plain[0]
    put_configuration(world, version)
    world.announce(replica, 'draining', beat=500)
    await world.until(all_serve(world, version), KNOWN_S)
    await world.until(all_stopped_using(world, replica.replica_id), KNOWN_S)


@pytest.mark.parametrize('lost', [0, 1, MANY_VERSIONS])
@pytest.mark.parametrize('others', [0, 60])
def test_changes_after_a_restore_are_known_in_time(lost: int, others: int) -> None:
    async def scenario(world: FleetWorld) -> None:
        write_heartbeats(world, 3, first=2)
        await asyncio.sleep(1.0)
        copied = world.store.version
        for number in range(lost):
            world.announce(world.plain[1], beat=10 + number)
        await asyncio.sleep(0.8)
        await restore(world, copied)
        for number in range(others):
            world.store.put('other', f'k{number}', '')
        write_heartbeats(world, 1, first=200)
        calls, began_s = world.store.calls, boottime_s()
        await check_changes_are_known(world, 2)
        await asyncio.sleep(1.5)
        calls_a_second = (world.store.calls - calls) / (boottime_s() - began_s)
        assert calls_a_second <= MAX_CALLS_PER_S * len(world.centres)

    run_fleet(scenario)


def test_changes_after_two_restores_and_a_restart_are_known_in_time() -> None:
    async def scenario(world: FleetWorld) -> None:
        copied = await copy_before_heartbeats(world)
        await asyncio.sleep(0.5)
        await restore(world, copied)
        await world.stop_gateway(1)
        write_heartbeats(world, 3, first=100)
        await restore(world, copied - 2, outage_s=0.2)
        await world.start_gateway(1)
        write_heartbeats(world, 1, first=200)
        await asyncio.sleep(KNOWN_S)
        await check_changes_are_known(world, 2)

    run_fleet(scenario)


def test_gateway_without_the_store_knows_changes_after_a_restore_from_its_peers() -> None:
    async def scenario(world: FleetWorld) -> None:
        copied = await copy_before_heartbeats(world)
        await asyncio.sleep(0.5)
        world.components(2).store.change_address('127.0.0.1:1')
        await restore(world, copied)
        write_heartbeats(world, 1, first=200)
        await check_changes_are_known(world, 2)

    run_fleet(scenario)


def test_long_poll_across_a_restore_delivers_changes_in_time() -> None:
    async def scenario(world: FleetWorld) -> None:
        copied = await copy_before_heartbeats(world)
        await asyncio.sleep(0.9)
        world.store.restore_version(copied)
        write_heartbeats(world, 1, first=200)
        await check_changes_are_known(world, 2)

    run_fleet(scenario)


def test_confirmed_configuration_that_the_store_has_lost_stays_active() -> None:
    """Also at gateways that start before the operator writes it again."""

    async def scenario(world: FleetWorld) -> None:
        copied = world.store.version
        put_configuration(world, 7)
        await world.until(all_serve(world, 7), KNOWN_S)
        await restore(world, copied)
        await asyncio.sleep(1.0)
        assert all_serve(world, 7)()
        await world.stop_gateway(2)
        await world.start_gateway(2)
        await world.until(all_serve(world, 7), KNOWN_S)
        put_configuration(world, 9)
        await world.until(all_serve(world, 9), KNOWN_S)

    run_fleet(scenario)


def test_replica_that_was_known_to_be_leaving_or_gone_is_not_used_again() -> None:
    async def scenario(world: FleetWorld) -> None:
        leaving, gone = world.plain[0], world.engines[0]
        write_heartbeats(world, 3, first=2)
        await asyncio.sleep(0.6)
        copied = world.store.version
        world.announce(leaving, 'draining', beat=9)
        world.announce(gone, beat=9)
        world.store.drop('servers', gone.replica_id)
        for replica in (leaving, gone):
            await world.until(all_stopped_using(world, replica.replica_id), KNOWN_S)
        await restore(world, copied)
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert all_stopped_using(world, leaving.replica_id)()
            assert all_stopped_using(world, gone.replica_id)()

    run_fleet(scenario)


def test_replica_whose_row_is_lost_serves_until_its_next_row_is_overdue() -> None:
    async def scenario(world: FleetWorld) -> None:
        lost = world.plain[0]
        world.store.drop('servers', lost.replica_id)
        await asyncio.sleep(0.6)
        copied = world.store.version
        world.announce(lost, beat=9)
        found = world.components(0).directory
        await world.until(lambda: found.get(lost.replica_id).takes_calls, KNOWN_S)
        await restore(world, copied)
        await asyncio.sleep(1.0)
        assert found.get(lost.replica_id).takes_calls
        await world.until(lambda: not found.get(lost.replica_id).takes_calls, 4.0)

    run_fleet(scenario)


def test_rows_of_gateways_and_the_lease_are_written_again() -> None:
    async def scenario(world: FleetWorld) -> None:
        await world.until(lambda: any(fences(world)), 10.0)
        before = max(fences(world))
        world.store.drop('lease', 'placement')
        for number in range(3):
            world.store.drop('members', f'g-{number}')
        copied = world.store.version
        for number in range(3):
            value = encode_row_value(
                {
                    'address': world.components(number).node.address,
                    'data_centre': world.centres[number],
                    'weight': 1.0,
                }
            )
            world.store.put('members', f'g-{number}', value)
        await asyncio.sleep(1.2)
        await restore(world, copied)
        began_s = boottime_s()
        while boottime_s() - began_s < 6.0:
            assert len([fence for fence in fences(world) if fence]) <= 1
            await asyncio.sleep(0.02)
        assert max(fences(world)) > before
        members = {row['Key'] for row in world.store.rows('members')}
        assert members == {'g-0', 'g-1', 'g-2'}

    def fences(world: FleetWorld) -> list[int]:
        return [world.components(number).leadership.fence for number in range(3)]

    run_fleet(scenario)


def test_store_that_permanently_lacks_history_gets_few_calls() -> None:
    async def scenario(world: FleetWorld) -> None:
        world.store.faults.status = 410
        await asyncio.sleep(1.0)
        calls = world.store.calls
        await asyncio.sleep(4.0)
        assert (world.store.calls - calls) / 4.0 <= MAX_CALLS_PER_S * len(world.centres)
        world.store.faults.status = 0
        put_configuration(world, 2)
        await world.until(all_serve(world, 2), KNOWN_S)

    run_fleet(scenario)
