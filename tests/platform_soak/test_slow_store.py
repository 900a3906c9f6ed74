"""Tests that a store whose answers take long delays changes, but keeps nothing away for ever.

Each gateway is a process of its own. Every call to the store is carried out, and its answer comes
later than the gateways expect of a sound store.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from tests.platform_soak.callers import Callers
from tests.platform_soak.world import World

Scenario = Callable[['SlowStoreFixture'], Awaitable[None]]
GATEWAYS = 6
START_LIMIT_S = 20.0
#: The users' bound from the return of all machines until service is back.
RECOVERY_LIMIT_S = 12.0
#: The users' bound for a change, and by how much an unstable store may stretch it.
CHANGE_LIMIT_S = 2.0
STRETCH_S = 6.0
#: Answers of the store take this much longer, and whether calls need keys: these are refused
#: once the store's latest word on them is older than the time for revocation.
DELAYS_S = ((1.5, True), (3.0, True), (5.0, False))
#: How long the store is silent before a change, and how long gateways are called after it.
OLD_COPY_S = 3.0
#: Statuses by which a caller takes its call for wrong, and does not send it again.
FINAL_REFUSALS = (400, 401, 403, 404, 413, 431)
#: Calls that the store holds when it falls silent end within this time.
HELD_S = 1.1
POLL_S = 0.1
#: How long the store is slow before its connections fall silent, and how slow.
SLOW_PHASE_S = 6.0
SLOW_S = 1.5
#: A gateway counts as in touch again from this long after its connections were lost.
CONTACT_S = 3.0


class SlowStoreFixture:
    """A deployment and the operations of the scenarios on it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.callers = Callers(world, seed=1)

    async def call_each(self, session: aiohttp.ClientSession, kind: str, key: str) -> list[int]:
        """Call each gateway on a route; return the statuses."""
        calls = [self.callers.call(session, one.ip, kind, key) for one in self.world.gateways]
        return [record.status for record in await asyncio.gather(*calls)]

    async def until_ready(self) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            while len(await self.callers.ready_gateways()) < len(self.world.gateways):
                await asyncio.sleep(POLL_S)

    async def until_each_serves(self, kind: str, key: str, limit_s: float) -> list[int]:
        """Call each gateway until all serve a route, or until the limit.

        :return: the statuses of the last calls.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while True:
                statuses = await self.call_each(session, kind, key)
                if set(statuses) == {200} or loop.time() > end_s:
                    return statuses
                await asyncio.sleep(POLL_S)


def run(scenario: Scenario, *, needs_keys: bool = True, gateways: int = GATEWAYS) -> None:
    async def run_scenario() -> None:
        world = World(gateways, needs_keys=needs_keys)
        fixture = SlowStoreFixture(world)
        try:
            await world.start()
            await fixture.until_ready()
            await scenario(fixture)
        finally:
            await fixture.callers.stop()
            await world.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize(('delay_s', 'needs_keys'), DELAYS_S)
def test_gateways_that_start_while_the_store_is_slow_come_to_serve(
    delay_s: float, needs_keys: bool
) -> None:
    async def scenario(fixture: SlowStoreFixture) -> None:
        world = fixture.world
        world.store.faults.answer_delay_s = delay_s
        for gateway in world.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in world.gateways:
            assert gateway.process is not None
            gateway.process.wait(5)
            gateway.start()
        key = fixture.callers.newest_key()
        statuses = await fixture.until_each_serves('safe', key, RECOVERY_LIMIT_S)
        assert statuses == [200] * GATEWAYS

    run(scenario, needs_keys=needs_keys)


@pytest.mark.parametrize(('delay_s', 'needs_keys'), DELAYS_S)
def test_changes_come_into_force_while_the_store_is_slow(delay_s: float, needs_keys: bool) -> None:
    async def scenario(fixture: SlowStoreFixture) -> None:
        world = fixture.world
        world.store.faults.answer_delay_s = delay_s
        for _ in range(2):
            world.configure()
            kind, key = f'only{world.version}', fixture.callers.newest_key()
            limit_s = CHANGE_LIMIT_S + STRETCH_S
            statuses = await fixture.until_each_serves(kind, key, limit_s)
            assert statuses == [200] * GATEWAYS

    run(scenario, needs_keys=needs_keys)


def test_added_routes_are_not_answered_404_from_an_old_copy() -> None:
    async def scenario(fixture: SlowStoreFixture) -> None:
        world, loop = fixture.world, asyncio.get_running_loop()
        world.store.faults.silent = True
        await asyncio.sleep(OLD_COPY_S)
        world.configure()
        # From here on, a copy from before the change is older than any change may take.
        await asyncio.sleep(CHANGE_LIMIT_S)
        key, newest = fixture.callers.newest_key(), f'only{world.version}'
        seen: set[int] = set()
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            end_s = loop.time() + OLD_COPY_S
            while loop.time() < end_s:
                for kind in (newest, 'safe'):
                    seen.update(await fixture.call_each(session, kind, key))
                await asyncio.sleep(POLL_S)
            assert not seen & set(FINAL_REFUSALS), seen
            world.store.faults.silent = False
            assert await fixture.until_each_serves(newest, key, STRETCH_S) == [200] * GATEWAYS
            # A route that never existed is refused for good as soon as the copy is fresh again.
            await asyncio.sleep(CHANGE_LIMIT_S)
            assert await fixture.call_each(session, 'never', key) == [404] * GATEWAYS

    run(scenario)


def test_added_keys_are_not_answered_401_from_an_old_copy() -> None:
    async def scenario(fixture: SlowStoreFixture) -> None:
        world, loop = fixture.world, asyncio.get_running_loop()
        world.store.faults.silent = True
        await asyncio.sleep(HELD_S)
        world.configure()
        await asyncio.sleep(CHANGE_LIMIT_S)
        seen: set[int] = set()
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            end_s = loop.time() + OLD_COPY_S
            while loop.time() < end_s:
                seen.update(await fixture.call_each(session, 'safe', fixture.callers.newest_key()))
                await asyncio.sleep(POLL_S)
            assert not seen & set(FINAL_REFUSALS), seen
            world.store.faults.silent = False
            key = fixture.callers.newest_key()
            assert await fixture.until_each_serves('safe', key, STRETCH_S) == [200] * GATEWAYS
            await asyncio.sleep(CHANGE_LIMIT_S)
            statuses = await fixture.call_each(session, 'safe', 'secret-of-nobody')
            assert statuses == [401] * GATEWAYS

    run(scenario)


def test_connections_that_fall_silent_after_a_slow_phase_do_not_keep_a_change_away() -> None:
    async def scenario(fixture: SlowStoreFixture) -> None:
        world, loop = fixture.world, asyncio.get_running_loop()
        await fixture.until_each_serves('safe', fixture.callers.newest_key(), CHANGE_LIMIT_S)
        world.store.faults.answer_delay_s = SLOW_S
        await asyncio.sleep(SLOW_PHASE_S)
        # The gateway begins its next call when it has a change.
        world.configure()
        kind, key = f'only{world.version}', fixture.callers.newest_key()
        assert await fixture.until_each_serves(kind, key, SLOW_PHASE_S) == [200]
        world.store.faults.answer_delay_s = 0.0
        world.gateways[0].link.silence_open()
        silenced_s = loop.time()
        world.configure()
        kind, key = f'only{world.version}', fixture.callers.newest_key()
        statuses = await fixture.until_each_serves(kind, key, CONTACT_S)
        assert statuses == [200], f'after {loop.time() - silenced_s:.2f} s'

    run(scenario, needs_keys=False, gateways=1)
