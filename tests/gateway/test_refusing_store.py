"""How many calls nine gateways send to a store that refuses all calls, and after it recovers."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway.test_restored_store import (
    KNOWN_S,
    MAX_CALLS_PER_S,
    all_serve,
    put_configuration,
)
from tests.support.fleet import FleetWorld, run_fleet

CENTRES = ('z1', 'z1', 'z1', 'z2', 'z2', 'z2', 'z3', 'z3', 'z3')
REFUSED_S = 4.0


@pytest.mark.parametrize('status', [429, 503])
def test_refusing_store_gets_few_calls_and_its_recovery_is_noticed_in_time(status: int) -> None:
    async def scenario(world: FleetWorld) -> None:
        most_calls = MAX_CALLS_PER_S * len(CENTRES) * REFUSED_S
        world.store.faults.status = status
        await asyncio.sleep(1.0)
        calls = world.store.calls
        await asyncio.sleep(REFUSED_S)
        assert world.store.calls - calls <= most_calls
        world.store.faults.status = 0
        put_configuration(world, 2)
        calls = world.store.calls
        await world.until(all_serve(world, 2), KNOWN_S)
        await asyncio.sleep(REFUSED_S)
        assert world.store.calls - calls <= most_calls

    run_fleet(scenario, centres=CENTRES)
