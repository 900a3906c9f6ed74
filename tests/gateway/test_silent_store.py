"""Calls made in the last moments of a silent outage of the store are answered, and changes follow.

What is guarded against: while the store takes calls and answers nothing, each gateway has a call
there that ends only by its own time limit. One that is made in the last moments of the outage ends
well after it; callers must not notice, and the next configurations must be in force in time.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.support.fleet import FleetWorld, load, run_fleet
from tests.support.gateway import PLAIN, configuration, route

#: Within which a configuration must be in force on all gateways, in seconds.
IN_FORCE_S = 2.0
#: After the end of the outage, in seconds, gateways count as in touch with the store again.
IN_TOUCH_S = 3.0


@pytest.mark.parametrize('seed', [1, 2])
def test_calls_and_changes_after_a_silent_outage(seed: int) -> None:
    drawn = random.Random(seed)

    async def scenario(world: FleetWorld) -> None:
        world.store.faults.silent = True
        outage_s = drawn.uniform(1.5, 3.5)
        told = await load(world, '/safe/x', outage_s)
        last = asyncio.create_task(load(world, '/safe/x', 0.5))
        await asyncio.sleep(0.1)
        world.store.faults.silent = False
        assert set(told) == {200}
        assert set(await last) == {200}
        await asyncio.sleep(IN_TOUCH_S)
        for version in (2, 3):
            world.configure(configuration(version, route(f'only{version}', 'safe', PLAIN)))
            await asyncio.sleep(IN_FORCE_S)
            assert set(await load(world, f'/only{version}/x', 0.2)) == {200}

    run_fleet(scenario)
