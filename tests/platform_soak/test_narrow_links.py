"""Tests that news reaches every gateway in time over links of the width that sites state.

Each gateway is a process of its own whose link has that width in both directions; everything that
it sends and receives shares it. The store is sound and every gateway reaches it while calls are
judged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
import pytest

from tests.platform_soak.callers import Callers
from tests.platform_soak.test_lost_pollers import (
    call_repeatedly,
    late_calls,
    lose_store,
    polling_sequence,
    restore_store,
    wait_until_ready,
)
from tests.platform_soak.world import ROOT, Site, World

#: As many neighbours in its data centre as a gateway of the largest sites has.
GATEWAYS = 24
#: Of the sites with many gateways: width of most links, replicas that beat for each data centre,
#: time within which a configuration must be in force, and its most routes.
SITE = Site(link_mbps=10.0, data_centres=1, extra_routes=1400, idle_replicas=30, config_ms=3000.0)
CHANGES = 6
CHANGE_INTERVAL_S = 3.0
#: A gateway counts as in touch from this long after a fault.
CONTACT_S = 4.0
#: Longer than the store keeps its history at the stand-in's rate of changes, and than any limit.
STORE_OUTAGE_S = 8.0
#: Gateways that lose the store, the first ones in the polling order.
LOST = 3
FAILURE_LOGS = ROOT / 'target' / 'narrow-links'

Trouble = Callable[[World], Awaitable[set[str]]]


@attrs.frozen
class Judged:
    """Calls that were handled wrongly by gateways that are in touch.

    :param late: lines of calls that ran at a service that their route had left.
    :param failed: lines of calls that did not succeed although every configuration allows them.
    """

    late: list[str]
    failed: list[str]


async def no_trouble(world: World) -> set[str]:
    """Leave all gateways in touch."""
    return set()


async def store_comes_back(world: World) -> set[str]:
    """Let the store fail for a while, with its history lost."""
    world.store.faults.status = 503
    await asyncio.sleep(STORE_OUTAGE_S)
    world.store.forget_history()
    world.store.faults.status = 0
    await asyncio.sleep(CONTACT_S)
    return set()


async def first_gateways_lose_the_store(world: World) -> set[str]:
    """Cut the gateways that poll off from the store, for good; return their addresses."""
    cut_off = set(polling_sequence(world)[:LOST])
    for one in world.gateways:
        if one.ip in cut_off:
            lose_store(one)
    return cut_off


async def every_gateway_loses_its_connection(world: World) -> set[str]:
    """Break all connections to the store at one moment, and let them be opened again."""
    for one in world.gateways:
        lose_store(one)
    for one in world.gateways:
        restore_store(one)
    await asyncio.sleep(CONTACT_S)
    return set()


async def _play(trouble: Trouble) -> Judged:
    world = World(GATEWAYS, needs_keys=False, site=SITE)
    callers = Callers(world, seed=1)
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start()
        await wait_until_ready(callers, GATEWAYS)
        await asyncio.sleep(CONTACT_S)
        cut_off = await trouble(world)
        judged = {one.ip for one in world.gateways} - cut_off
        first = len(callers.history)
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            for ip in judged:
                tasks.append(asyncio.create_task(call_repeatedly(callers, session, ip)))
            changes = [world.moves[-1]]
            for _ in range(CHANGES):
                await asyncio.sleep(CHANGE_INTERVAL_S)
                world.configure()
                changes.append(world.moves[-1])
            await asyncio.sleep(2 * SITE.config_ms / 1000)
            calls = list(callers.history[first:])
            failed = [f'{one.gateway}: {one.status}' for one in calls if one.status >= 400]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        outcome = Judged(late_calls(world, callers, changes, judged), failed)
        if outcome != Judged([], []):
            world.copy_logs(FAILURE_LOGS / trouble.__name__)
        return outcome
    finally:
        for task in tasks:
            task.cancel()
        await callers.stop()
        await world.close()


@pytest.mark.parametrize(
    'trouble',
    [
        no_trouble,
        store_comes_back,
        first_gateways_lose_the_store,
        every_gateway_loses_its_connection,
    ],
)
def test_large_configuration_is_in_force_in_time_over_narrow_links(trouble: Trouble) -> None:
    outcome = asyncio.run(_play(trouble))
    assert not outcome.late, f'{len(outcome.late)} calls, {outcome.late[:5]}'
    assert not outcome.failed, f'{len(outcome.failed)} calls, {outcome.failed[:5]}'
