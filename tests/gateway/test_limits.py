"""Rate limits of organisations: calls beyond the limit get 429 and are not run."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import attrs

from limeshelf.settings.gateway import GatewaySettings, OrganisationSettings
from standins.users_platform.replica import Fault
from tests.support.gateway import PLAIN, GatewayWorld, configuration, route

WINDOW_S = 2.0
#: Allows four plain calls in a window; a limiter grants 0.95 of 0.95 of the limit.
LIMITED = {
    'Name': 'small',
    'Keys': ['key-of-small'],
    'Unit': 'tokens',
    'UncachedTokens': 200,
    'RatePerS': 450,
    'Burst': 0,
}
FREE = {'Name': 'free', 'Keys': ['key-of-free'], 'Unit': 'tokens', 'UncachedTokens': 200}
SMALL = {'Authorization': 'Token key-of-small'}
OTHER = {'Authorization': 'Token key-of-free'}


class LimitWorld(GatewayWorld):
    """A gateway under a configuration with limits."""

    def settings(self) -> GatewaySettings:
        return attrs.evolve(
            super().settings(),
            organisations=OrganisationSettings(limit_window_s=WINDOW_S, limit_overrun=0.1),
        )

    async def with_limits(self, version: int, *entries: dict[str, Any]) -> None:
        routes = (route('safe', 'safe', PLAIN), route('unsafe', 'unsafe', PLAIN))
        self.configure({**configuration(version, *routes), 'Tenants': list(entries)})
        assert self.gateway is not None
        active_config = self.gateway.components.active_config
        await self.until(lambda: active_config.version == version)

    def runs(self) -> int:
        return sum(len(replica.received_calls) for replica in self.plain)


def run(scenario: Any) -> None:
    async def main() -> None:
        async with LimitWorld() as world:
            await world.with_limits(2, LIMITED, FREE)
            # After a start, the use of the limit in the past window is not known.
            await asyncio.sleep(WINDOW_S)
            await scenario(world)

    asyncio.run(main())


def test_calls_beyond_the_limit_are_refused_with_a_retry_after() -> None:
    async def scenario(world: LimitWorld) -> None:
        answers = [await world.call('/unsafe/x', **SMALL) for _ in range(8)]
        statuses = [answer.status for answer in answers]
        assert statuses == [200] * 4 + [429] * 4
        assert world.runs() == 4
        wait_s = max(float(answer.headers['Retry-After']) for answer in answers[4:])
        assert 0.0 < wait_s <= WINDOW_S
        # Other organisations are not affected.
        assert (await world.call('/unsafe/x', **OTHER)).status == 200
        await asyncio.sleep(WINDOW_S + 0.5)
        assert (await world.call('/unsafe/x', **SMALL)).status == 200

    run(scenario)


def test_call_that_no_replica_runs_releases_its_reservation() -> None:
    async def scenario(world: LimitWorld) -> None:
        for replica in world.plain:
            replica.fault = Fault.FULL
        for _ in range(6):
            answer = await world.call('/unsafe/x', Limeshelf_Deadline_Ms='200', **SMALL)
            assert answer.status == 503
            await asyncio.sleep(0.3)
        for replica in world.plain:
            replica.fault = Fault.NONE
        assert (await world.call('/unsafe/x', **SMALL)).status == 200

    run(scenario)


def test_lowered_and_raised_limits_take_effect_at_once() -> None:
    async def scenario(world: LimitWorld) -> None:
        await world.with_limits(3, {**LIMITED, 'RatePerS': 120}, FREE)
        assert (await world.call('/unsafe/x', **SMALL)).status == 200
        assert (await world.call('/unsafe/x', **SMALL)).status == 429
        await world.with_limits(4, {**LIMITED, 'RatePerS': 45_000}, FREE)
        await asyncio.sleep(0.2)
        answers = [await world.call('/unsafe/x', **SMALL) for _ in range(20)]
        assert {answer.status for answer in answers} == {200}

    run(scenario)


def test_refusals_need_few_queries_to_the_limiter() -> None:
    """For a caller that keeps retrying, the limiter is queried at most every 0.1 s."""

    async def scenario(world: LimitWorld) -> None:
        limits = world.gateway.components.limits
        asked = 0
        decide = limits._decide

        async def count(*arguments: Any) -> Any:
            nonlocal asked
            asked += 1
            return await decide(*arguments)

        limits._decide = count
        began_s = asyncio.get_running_loop().time()
        answers = [await world.call('/unsafe/x', **SMALL) for _ in range(200)]
        took_s = asyncio.get_running_loop().time() - began_s
        refused = sum(answer.status == 429 for answer in answers)
        assert refused >= 200 - 4 * math.ceil(1 + took_s / WINDOW_S) * 2
        assert asked <= 8 + 4 * math.ceil(took_s / WINDOW_S) + took_s / 0.1

    run(scenario)
