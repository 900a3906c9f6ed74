"""Changes the configuration, and asks every gateway for it once all must know it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from standins.users_platform.store import StoreFaults
from tests.platform_soak.world import KNOWN_S, STORE

if TYPE_CHECKING:
    from tests.platform_soak.callers import Callers
    from tests.platform_soak.world import World

#: A gateway is judged if nothing struck it from this long before the change on, in seconds, and
#: the store does not fail from the change on: one that answers nobody has confirmed nothing.
CALM_S = 3.0
#: Where nobody else changes the configuration, it is changed after this time, in seconds.
CHANGE_S = 2.7
ROUTE_UNKNOWN = 404
PAUSE_S = 0.05


class ChangeWatch:
    """Judges each change that no other one follows within :data:`KNOWN_S`.

    :ivar judged: answers of gateways, over all changes.
    :ivar broken: one line for each gateway that did not know one.
    """

    def __init__(self, world: World, callers: Callers) -> None:
        self.judged = 0
        self.broken: list[str] = []
        self._world = world
        self._callers = callers

    async def run(self) -> None:
        """Change and judge until cancelled."""
        world = self._world
        asked = world.version
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while True:
                await asyncio.sleep(PAUSE_S)
                age_s = _now_s() - world.changed_s
                if age_s > CHANGE_S:
                    world.configure()
                elif age_s > KNOWN_S and world.version != asked:
                    asked = world.version
                    await self._judge(session, asked, world.changed_s)

    async def _judge(self, session: aiohttp.ClientSession, version: int, changed_s: float) -> None:
        world = self._world
        asks = [
            self._callers.call(session, one.ip, f'only{version}', self._callers.newest_key())
            for one in world.gateways
        ]
        answers = await asyncio.gather(*asks)
        if version != world.version or self._store_failed(changed_s):
            return
        for one in answers:
            if self._was_struck(one.gateway, changed_s - CALM_S):
                continue
            self.judged += 1
            if one.status == ROUTE_UNKNOWN:
                line = f'{one.gateway}: version {version} not known after {KNOWN_S:.0f} s'
                self.broken.append(line)

    def _store_failed(self, since_s: float) -> bool:
        fails_now = self._world.store.faults != StoreFaults()
        return fails_now or self._was_struck(STORE, since_s)

    def _was_struck(self, name: str, since_s: float) -> bool:
        return any(at_s > since_s for at_s in self._world.struck_s.get(name, []))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
