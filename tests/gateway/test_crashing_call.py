"""All gateways refuse a call that crashes each replica that runs it, after a few crashes.

Guards against a request that crashes one replica after the other: its caller gets a 502 or a
broken stream, and retries with a new id at another gateway, which sends it to the next replica.
Eleven replicas of one service crashed within 14 s this way, and most calls of a route failed.

A gateway that records results only by replica and by call id cannot recognise the request. In a
simulation, 242 of the 243 calls that broke off in nine bursts of crashes had been sent once, so no
single gateway saw the pattern; each burst had one request in common. In this test, replicas then
crash for as long as the request is retried.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limeshelf.membership.crash_exchange import CrashExchange
from standins.users_platform.replica import Fault, ReplicaStandIn
from tests.support.fleet import CALLS_PER_S, DATA_CENTRES, FleetWorld, run_fleet, send_steady_load

CRASHING_BODY = b'deadly'
#: Time between two attempts of the caller, in seconds.
RETRY_S = 0.15
#: Time after the third crash, in seconds, in which gateways that do not know yet may still send
#: the call.
KNOWN_WITHIN_S = 3.0
#: Crashes allowed after that, over all gateways.
MAX_LATE_CRASHES = 3


def late_crashes(crashed_s: list[float]) -> int:
    """Return how many replicas crashed after all gateways must have known."""
    return sum(at_s > crashed_s[2] + KNOWN_WITHIN_S for at_s in crashed_s[3:])


async def keep_retrying(world: FleetWorld, path: str, for_s: float) -> list[int]:
    """Retry a call at one gateway after the other; return the statuses."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + for_s
    statuses = []
    while loop.time() < until_s:
        number = len(statuses) % len(DATA_CENTRES)
        if path == '/stream/x':
            statuses.append(await world.generate_at(number, CRASHING_BODY))
        else:
            statuses.append(await world.call_at(number, path, CRASHING_BODY))
        await asyncio.sleep(RETRY_S)
    return statuses


def test_crashes_stop_after_a_few() -> None:
    async def scenario(world: FleetWorld) -> None:
        statuses = await keep_retrying(world, '/stream/x', for_s=7.0)
        assert len(world.ends) >= 2
        assert late_crashes(world.ends) <= MAX_LATE_CRASHES
        assert statuses[-1] == 503

    run_fleet(scenario, crash_text=CRASHING_BODY)


def test_repeatable_call_crashes_no_third_replica_by_itself() -> None:
    async def scenario(world: FleetWorld) -> None:
        await keep_retrying(world, '/safe/x', for_s=4.0)
        assert 2 <= len(world.ends) <= 3

    run_fleet(scenario, crash_text=CRASHING_BODY)


def test_quarantine_survives_a_restart_of_all_gateways() -> None:
    async def scenario(world: FleetWorld) -> None:
        await keep_retrying(world, '/stream/x', for_s=1.5)
        ends = len(world.ends)
        for number in range(len(DATA_CENTRES)):
            await world.stop_gateway(number)
        for number in range(len(DATA_CENTRES)):
            await world.start_gateway(number)
        await world.until(world.all_know_all, limit_s=10.0)
        assert await world.generate_at(0, b'innocent') == 200
        statuses = await keep_retrying(world, '/stream/x', for_s=1.5)
        assert set(statuses) == {503}
        assert len(world.ends) == ends

    run_fleet(scenario, crash_text=CRASHING_BODY)


def test_partitioned_gateways_share_the_quarantine_through_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(CrashExchange, '_send_to', lambda exchange, addresses, states: None)

    async def scenario(world: FleetWorld) -> None:
        statuses = await keep_retrying(world, '/stream/x', for_s=5.0)
        # After two crashes that one gateway saw, its row in the store informs the others.
        assert len(world.ends) <= 2 * len(DATA_CENTRES)
        assert late_crashes(world.ends) == 0
        assert statuses[-1] == 503

    run_fleet(scenario, crash_text=CRASHING_BODY)


def test_gateways_without_the_store_share_the_quarantine_as_peers() -> None:
    async def scenario(world: FleetWorld) -> None:
        world.store.faults.status = 503
        statuses = await keep_retrying(world, '/stream/x', for_s=3.0)
        assert len(world.ends) <= len(DATA_CENTRES)
        assert statuses[-1] == 503

    run_fleet(scenario, crash_text=CRASHING_BODY)


def test_broken_answers_of_live_replicas_quarantine_no_call() -> None:
    async def scenario(world: FleetWorld) -> None:
        for replica in world.engines:
            replica.fault = Fault.RESET_MIDWAY
        for replica in world.plain:
            replica.fault = Fault.RESET_FIRST
        statuses = await keep_retrying(world, '/stream/x', for_s=1.5)
        statuses += await keep_retrying(world, '/safe/x', for_s=1.5)
        assert 503 not in statuses
        assert not any(
            len(world.components(number).suspects) for number in range(len(DATA_CENTRES))
        )

    run_fleet(scenario)


def test_concurrent_calls_are_not_quarantined() -> None:
    """Their content is repeated too, and runs at many of the replicas that crash."""

    async def scenario(world: FleetWorld) -> None:
        for replica in world.engines:
            replica.event_s = 0.02
        crashing = asyncio.create_task(keep_retrying(world, '/stream/x', for_s=4.0))
        statuses = []
        while not crashing.done():
            statuses += await asyncio.gather(
                *(
                    world.generate_at(number % len(DATA_CENTRES), b'innocent')
                    for number in range(6)
                )
            )
        assert len(world.ends) >= 2
        found = [world.components(number).suspects for number in range(len(DATA_CENTRES))]
        counts = [
            state.crash_count
            for suspects in found
            for state in suspects.states()
            if state.crash_count > 1
        ]
        # Each gateway suspects only the crashing call.
        assert len(counts) == len(DATA_CENTRES)
        assert statuses.count(200) > 0.8 * len(statuses)

    run_fleet(scenario, crash_text=CRASHING_BODY)


class _ThreeReplicas(FleetWorld):
    """A fleet whose plain service has three replicas."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.plain.append(ReplicaStandIn('p-3'))


def test_call_that_ran_at_all_replicas_when_they_crashed_at_once_is_served_again() -> None:
    async def scenario(world: FleetWorld) -> None:
        for replica in world.plain:
            replica.work_s = 0.2
        load = asyncio.create_task(send_steady_load(world, '/safe/x', 12.0))
        await asyncio.sleep(1.0)
        crashed = list(world.plain)
        for replica in crashed:
            await replica.crash()
        for replica in crashed:
            world.schedule_restart(replica)
        statuses = await load
        assert statuses[-2 * CALLS_PER_S :] == [200] * 2 * CALLS_PER_S

    run_fleet(scenario, world_class=_ThreeReplicas)
