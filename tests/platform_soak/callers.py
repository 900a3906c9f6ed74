"""Callers behind a balancer; they keep what they asked and what they got."""

from __future__ import annotations

import asyncio
import itertools
import random

import aiohttp
import attrs

from tests.platform_soak.world import World
from tests.support.gateway import HOST

DEADLINE_MS = 3000
NOT_RUN = frozenset({408, 421, 429, 503})
KINDS = ('safe', 'unsafe', 'stream', 'resume')


@attrs.define
class Asked:
    """A call and its answer.

    :ivar status: 0 where the connection ended before a whole answer.
    :ivar key: that the call carries.
    :ivar sent_s: when it was sent, on the clock of the loop.
    :ivar gateway: address of the gateway at which it was made.
    """

    call_id: str
    kind: str
    model: str
    status: int = 0
    body: bytes = b''
    stamp: str = ''
    key: str = ''
    sent_s: float = 0.0
    gateway: str = ''


class Callers:
    """Some callers, each with connections that it keeps.

    :param count: callers that call at the same time.
    """

    def __init__(self, world: World, seed: int, count: int = 6) -> None:
        self.history: list[Asked] = []
        self._world = world
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._seed = seed
        self._ready: list[str] = []
        self._sessions = [aiohttp.ClientSession(auto_decompress=False) for _ in range(count)]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to call."""
        self._tasks.append(asyncio.create_task(self._watch()))
        self._tasks += [asyncio.create_task(self._call_on(one)) for one in self._sessions]

    async def stop(self) -> None:
        """End the calls; those under way are waited for."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for session in self._sessions:
            await session.close()

    def newest_key(self) -> str:
        """Return a key that should be known everywhere soon, and has no limit."""
        return self._world.keys.newest()

    async def ready_gateways(self) -> list[str]:
        """Return the addresses of the gateways that call themselves ready."""
        found = await asyncio.gather(*(self._is_ready(one.ip) for one in self._world.gateways))
        return [one.ip for one, ready in zip(self._world.gateways, found, strict=True) if ready]

    async def _is_ready(self, ip: str) -> bool:
        url = f'http://{ip}:{self._world.ports["ready"]}/readyz'
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _watch(self) -> None:
        while True:
            self._ready = await self.ready_gateways()
            await asyncio.sleep(0.25)

    async def _call_on(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.0, 0.06))
            if self._ready:
                ip = self._random.choice(self._ready)
                await self.call(session, ip, self._random.choice(KINDS))

    async def call(
        self, session: aiohttp.ClientSession, ip: str, kind: str, key: str = ''
    ) -> Asked:
        """Make one call and keep it."""
        asked = Asked(f's{self._seed}-{next(self._numbers)}', kind, '', gateway=ip)
        asked.key = key or self._world.keys.draw()
        asked.sent_s = asyncio.get_running_loop().time()
        headers = {
            'Authorization': f'Token {asked.key}',
            'Limeshelf-Tenant': 'whoever',
            'Host': HOST,
            'Limeshelf-Attempt-Id': asked.call_id,
            'Limeshelf-Deadline-Ms': str(DEADLINE_MS),
        }
        if kind in ('stream', 'resume'):
            asked.model = self._random.choice(['m1', 'm1', 'm2', 'm3', 'm1/a1', 'm2/a2'])
            headers['Limeshelf-Model'] = asked.model
            headers['Limeshelf-Token-Count'] = '100,20'
            headers['Limeshelf-Prompt-Prefix'] = f'aa:40,{asked.call_id[-4:]}:60'
        self.history.append(asked)
        url = f'http://{ip}:{self._world.ports["calls"]}/{kind}/x'
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 1.0)
        try:
            async with session.post(
                url, data=b'body', headers=headers, timeout=timeout, allow_redirects=False
            ) as answer:
                asked.body = await answer.read()
                asked.stamp = answer.headers.get('Limeshelf-Server-Stamp', '')
                asked.status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            asked.status = 0
        return asked
