"""Gateway processes, while the store comes back from an older copy beside other trouble."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

import aiohttp

from tests.platform_soak.callers import Callers
from tests.platform_soak.changes import ROUTE_UNKNOWN
from tests.platform_soak.link import Harm
from tests.platform_soak.world import KNOWN_S, GatewayProcess, World

Scenario = Callable[['Play'], Awaitable[None]]
GATEWAYS = 4
STARTED_S = 15.0
#: The copies that the store comes back from are this old, in seconds.
COPY_AGE_S = 1.5


class Play:
    """A deployment, and what the scenarios do to it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.callers = Callers(world, seed=1)

    async def return_store(self) -> None:
        """Let the store be away for a moment and come back; then change the configuration."""
        store = self.world.store
        store.faults.status = 503
        await asyncio.sleep(0.5)
        store.restore_from_age(COPY_AGE_S)
        store.faults.status = 0
        self.world.configure()

    async def who_lacks_the_change(self, gateways: list[GatewayProcess]) -> list[str]:
        """Return the gateways that do not serve the newest route."""
        kind, key = f'only{self.world.version}', self.callers.newest_key()
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            asks = [self.callers.call(session, one.ip, kind, key) for one in gateways]
            answers = await asyncio.gather(*asks)
        return [one.gateway for one in answers if one.status in (0, ROUTE_UNKNOWN)]

    async def all_know(self, gateways: list[GatewayProcess] | None = None) -> None:
        """See that gateways, or all, know the newest configuration in time."""
        await asyncio.sleep(KNOWN_S)
        assert await self.who_lacks_the_change(gateways or self.world.gateways) == []

    async def until_ready(self) -> None:
        async with asyncio.timeout(STARTED_S):
            while len(await self.callers.ready_gateways()) < len(self.world.gateways):
                await asyncio.sleep(0.05)


def run(scenario: Scenario) -> None:
    async def play() -> None:
        world = World(GATEWAYS)
        one = Play(world)
        try:
            await world.start()
            await one.until_ready()
            await asyncio.sleep(COPY_AGE_S)
            await scenario(one)
        finally:
            await one.callers.stop()
            await world.close()

    asyncio.run(play())


def test_change_after_a_return_is_known_to_a_gateway_that_was_suspended() -> None:
    async def scenario(play: Play) -> None:
        *others, suspended = play.world.gateways
        suspended.signal(signal.SIGSTOP)
        await asyncio.sleep(COPY_AGE_S)
        await play.return_store()
        await play.all_know(others)
        suspended.signal(signal.SIGCONT)
        await play.all_know()

    run(scenario)


def test_change_after_a_return_is_known_to_a_gateway_that_is_cut_off_from_the_store() -> None:
    async def scenario(play: Play) -> None:
        for harm in (Harm.SILENT, Harm.REFUSE):
            link = play.world.gateways[0].link
            link.harm = harm
            await play.return_store()
            await play.all_know()
            link.heal()
            await asyncio.sleep(COPY_AGE_S)

    run(scenario)


def test_changes_after_returns_are_known_while_gateways_restart_in_turn() -> None:
    async def scenario(play: Play) -> None:
        for gateway in play.world.gateways:
            gateway.signal(signal.SIGTERM)
            await play.return_store()
            await play.all_know([one for one in play.world.gateways if one is not gateway])
            while gateway.runs:
                await asyncio.sleep(0.05)
            gateway.start()
            await play.until_ready()
            assert await play.who_lacks_the_change([gateway]) == []

    run(scenario)
