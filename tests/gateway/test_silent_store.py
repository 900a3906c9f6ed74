"""Calls are served and configurations take effect right after a silent outage of the store.

Guards against late effects of a store that accepts calls but does not answer. Each gateway has a
call to it that ends only by its own time-out; one made right before the end of the outage ends
well after it. Callers must not notice, and new configurations must take effect in time.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.support.fleet import FleetWorld, run_fleet, send_steady_load
from tests.support.gateway import PLAIN, configuration, route

#: Time within which a configuration must take effect on all gateways, in seconds.
IN_FORCE_S = 2.0
#: Time after the outage within which gateways reach the store again, in seconds.
REACHED_S = 3.0


@pytest.mark.parametrize('seed', [1, 2])
def test_calls_and_changes_after_a_silent_outage(seed: int) -> None:
    rng = random.Random(seed)

    async def scenario(world: FleetWorld) -> None:
        world.store.faults.silent = True
        outage_s = rng.uniform(1.5, 3.5)
        statuses = await send_steady_load(world, '/safe/x', outage_s)
        late_load = asyncio.create_task(send_steady_load(world, '/safe/x', 0.5))
        await asyncio.sleep(0.1)
        world.store.faults.silent = False
        assert set(statuses) == {200}
        assert set(await late_load) == {200}
        await asyncio.sleep(REACHED_S)
        for version in (2, 3):
            world.configure(configuration(version, route(f'only{version}', 'safe', PLAIN)))
            await asyncio.sleep(IN_FORCE_S)
            assert set(await send_steady_load(world, f'/only{version}/x', 0.2)) == {200}

    run_fleet(scenario)
