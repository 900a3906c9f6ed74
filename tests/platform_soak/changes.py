"""Changes the configuration and checks that every gateway applies it in time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from standins.users_platform.store import StoreFaults
from tests.platform_soak.world import PROPAGATION_LIMIT_S, STORE

if TYPE_CHECKING:
    from tests.platform_soak.callers import Callers
    from tests.platform_soak.world import World

#: A gateway is checked only if it had no fault from this long before the change on, in seconds,
#: and the store had none since the change: a store that does not respond has not confirmed it.
FAULT_FREE_S = 3.0
#: If no fault changes the configuration, it is changed after this time, in seconds.
CHANGE_INTERVAL_S = 2.7
ROUTE_UNKNOWN = 404
POLL_INTERVAL_S = 0.05


class ChangeChecker:
    """Checks each change that is not followed by another within :data:`PROPAGATION_LIMIT_S`.

    :ivar checked: number of gateway responses checked, over all changes.
    :ivar violations: one line for each gateway that did not apply a change in time.
    """

    def __init__(self, world: World, callers: Callers) -> None:
        self.checked = 0
        self.violations: list[str] = []
        self._world = world
        self._callers = callers

    async def run(self) -> None:
        """Change the configuration and check the gateways until cancelled."""
        world = self._world
        checked_version = world.version
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while True:
                await asyncio.sleep(POLL_INTERVAL_S)
                age_s = _now_s() - world.changed_s
                if age_s > CHANGE_INTERVAL_S:
                    world.configure()
                elif age_s > PROPAGATION_LIMIT_S and world.version != checked_version:
                    checked_version = world.version
                    await self._check(session, checked_version, world.changed_s)

    async def _check(self, session: aiohttp.ClientSession, version: int, changed_s: float) -> None:
        world = self._world
        calls = [
            self._callers.call(session, one.ip, f'only{version}', self._callers.newest_key())
            for one in world.gateways
        ]
        records = await asyncio.gather(*calls)
        if version != world.version or self._store_had_fault(changed_s):
            return
        for one in records:
            if self._had_fault(one.gateway, changed_s - FAULT_FREE_S):
                continue
            self.checked += 1
            if one.status == ROUTE_UNKNOWN:
                line = (
                    f'{one.gateway}: version {version} not applied after '
                    f'{PROPAGATION_LIMIT_S:.0f} s'
                )
                self.violations.append(line)

    def _store_had_fault(self, since_s: float) -> bool:
        fails_now = self._world.store.faults != StoreFaults()
        return fails_now or self._had_fault(STORE, since_s)

    def _had_fault(self, name: str, since_s: float) -> bool:
        return any(at_s > since_s for at_s in self._world.fault_times_s.get(name, []))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
