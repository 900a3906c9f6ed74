"""Tests that news reaches every gateway in time over links of the width that sites state.

Each gateway is a process of its own whose link has that width in both directions; everything that
it sends and receives shares it. Nothing fails: the store is sound and every gateway reaches it.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import attrs

from tests.platform_soak.callers import Callers
from tests.platform_soak.test_lost_pollers import (
    call_repeatedly,
    late_calls,
    wait_until_ready,
)
from tests.platform_soak.world import ROOT, Site, World

#: As many neighbours in its data centre as a gateway of the largest sites has.
GATEWAYS = 24
#: Most machines of the sites with many gateways have such a link, and the configuration must be
#: known everywhere within this time there.
LINK_MBPS = 10.0
CONFIG_MS = 3000.0
#: Routes of the largest configuration that the sites state.
ROUTES = 1400
CHANGES = 6
CHANGE_INTERVAL_S = 3.0
CALL_INTERVAL_S = 0.1
FAILURE_LOGS = ROOT / 'target' / 'narrow-links'


@attrs.frozen
class Judged:
    """Calls that were handled wrongly although every gateway reached a sound store.

    :param late: lines of calls that ran at a service that their route had left.
    :param refused: statuses other than 200 of calls that the configuration always allowed.
    """

    late: list[str]
    refused: list[str]


async def _play(site: Site, logs: Path) -> Judged:
    world = World(GATEWAYS, needs_keys=False, site=site)
    callers = Callers(world, seed=1)
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start()
        await wait_until_ready(callers, GATEWAYS)
        await asyncio.sleep(2 * site.config_ms / 1000)
        first = len(callers.history)
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            for one in world.gateways:
                tasks.append(asyncio.create_task(call_repeatedly(callers, session, one.ip)))
            changes = [world.moves[-1]]
            for _ in range(CHANGES):
                await asyncio.sleep(CHANGE_INTERVAL_S)
                world.configure()
                changes.append(world.moves[-1])
            await asyncio.sleep(2 * site.config_ms / 1000)
            calls = callers.history[first:]
            refused = [f'{one.gateway}: {one.status}' for one in calls if one.status >= 400]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        late = late_calls(world, callers, changes, {one.ip for one in world.gateways})
        if late or refused:
            world.copy_logs(logs)
        return Judged(late, refused)
    finally:
        for task in tasks:
            task.cancel()
        await callers.stop()
        await world.close()


def test_large_configuration_is_in_force_in_time_over_narrow_links() -> None:
    site = Site(LINK_MBPS, data_centres=1, extra_routes=ROUTES, config_ms=CONFIG_MS)
    judged = asyncio.run(_play(site, FAILURE_LOGS / 'large'))
    assert not judged.late, f'{len(judged.late)} calls, {judged.late[:5]}'
    assert not judged.refused, f'{len(judged.refused)} calls, {judged.refused[:5]}'
