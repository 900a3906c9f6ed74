"""Tests that gateways apply changes made after the store was restored from an older copy.

The restore coincides with suspended, disconnected or restarting gateways. A change must reach them
although the restored store's versions are older than those that they have already applied.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

import aiohttp

from tests.platform_soak.callers import Callers
from tests.platform_soak.changes import ROUTE_UNKNOWN
from tests.platform_soak.link import Impairment
from tests.platform_soak.world import PROPAGATION_LIMIT_S, GatewayProcess, World

Scenario = Callable[['RestoreFixture'], Awaitable[None]]
GATEWAYS = 4
START_LIMIT_S = 15.0
#: Age of the copies that the store is restored from, in seconds.
COPY_AGE_S = 1.5


class RestoreFixture:
    """A deployment and the operations of the scenarios on it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.callers = Callers(world, seed=1)

    async def restore_store(self) -> None:
        """Restore the store after a short outage; then change the configuration."""
        store = self.world.store
        store.faults.status = 503
        await asyncio.sleep(0.5)
        store.restore_from_age(COPY_AGE_S)
        store.faults.status = 0
        self.world.configure()

    async def gateways_without_change(self, gateways: list[GatewayProcess]) -> list[str]:
        """Return the addresses of gateways that do not serve the newest route."""
        kind, key = f'only{self.world.version}', self.callers.newest_key()
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            calls = [self.callers.call(session, one.ip, kind, key) for one in gateways]
            records = await asyncio.gather(*calls)
        return [one.gateway for one in records if one.status in (0, ROUTE_UNKNOWN)]

    async def assert_all_applied(self, gateways: list[GatewayProcess] | None = None) -> None:
        """Check that the given gateways, or all, apply the newest configuration in time."""
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        assert await self.gateways_without_change(gateways or self.world.gateways) == []

    async def until_ready(self) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            while len(await self.callers.ready_gateways()) < len(self.world.gateways):
                await asyncio.sleep(0.05)


def run(scenario: Scenario) -> None:
    async def run_scenario() -> None:
        world = World(GATEWAYS)
        fixture = RestoreFixture(world)
        try:
            await world.start()
            await fixture.until_ready()
            await asyncio.sleep(COPY_AGE_S)
            await scenario(fixture)
        finally:
            await fixture.callers.stop()
            await world.close()

    asyncio.run(run_scenario())


def test_change_after_a_restore_reaches_a_suspended_gateway() -> None:
    async def scenario(fixture: RestoreFixture) -> None:
        *others, suspended = fixture.world.gateways
        suspended.signal(signal.SIGSTOP)
        await asyncio.sleep(COPY_AGE_S)
        await fixture.restore_store()
        await fixture.assert_all_applied(others)
        suspended.signal(signal.SIGCONT)
        await fixture.assert_all_applied()

    run(scenario)


def test_change_after_a_restore_reaches_a_gateway_disconnected_from_the_store() -> None:
    async def scenario(fixture: RestoreFixture) -> None:
        for impairment in (Impairment.SILENT, Impairment.REFUSE):
            link = fixture.world.gateways[0].link
            link.impairment = impairment
            await fixture.restore_store()
            await fixture.assert_all_applied()
            link.restore()
            await asyncio.sleep(COPY_AGE_S)

    run(scenario)


def test_changes_after_restores_reach_gateways_that_restart_in_turn() -> None:
    async def scenario(fixture: RestoreFixture) -> None:
        for gateway in fixture.world.gateways:
            gateway.signal(signal.SIGTERM)
            await fixture.restore_store()
            await fixture.assert_all_applied(
                [one for one in fixture.world.gateways if one is not gateway]
            )
            while gateway.is_running:
                await asyncio.sleep(0.05)
            gateway.start()
            await fixture.until_ready()
            assert await fixture.gateways_without_change([gateway]) == []

    run(scenario)
