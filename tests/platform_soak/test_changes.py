"""The watch finds gateways that know a change late, and excuses those that were struck."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import attrs
import pytest

from standins.users_platform.store import StoreStandIn
from tests.platform_soak.callers import Asked
from tests.platform_soak.changes import CALM_S, ROUTE_UNKNOWN, ChangeWatch
from tests.platform_soak.world import KNOWN_S, STORE
from tests.support.clock import run_virtual

IPS = ('127.0.1.1', '127.0.1.2')


@attrs.define
class FakeGateway:
    ip: str


class FakeWorld:
    def __init__(self) -> None:
        self.gateways = [FakeGateway(ip) for ip in IPS]
        self.version = 1
        self.changed_s = 0.0
        self.struck_s: dict[str, list[float]] = {}
        self.store = StoreStandIn()

    def configure(self) -> None:
        self.version += 1
        self.changed_s = asyncio.get_running_loop().time()


class FakeCallers:
    """One of the gateways knows no change."""

    def newest_key(self) -> str:
        return ''

    async def call(self, session: object, ip: str, kind: str, key: str) -> Asked:
        status = ROUTE_UNKNOWN if ip == IPS[1] else 200
        return Asked('', kind, '', status, gateway=ip)


@pytest.mark.parametrize(
    ('struck', 'after_s', 'judged', 'broken'),
    [
        ('', 0.0, 2, 1),
        (IPS[1], 0.5 - CALM_S, 1, 0),
        (IPS[0], 0.5, 1, 1),
        (STORE, 0.5, 0, 0),
        (STORE, -0.5, 2, 1),
        (STORE, -1.5, 0, 0),
    ],
)
def test_change_that_one_gateway_does_not_know(
    struck: str, after_s: float, judged: int, broken: int
) -> None:
    async def play() -> None:
        world = FakeWorld()
        watch = ChangeWatch(cast(Any, world), cast(Any, FakeCallers()))
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0)
        world.configure()
        world.struck_s[struck] = [world.changed_s + after_s]
        world.store.faults.status = 503 if struck == STORE and after_s < -1.0 else 0
        await asyncio.sleep(KNOWN_S + 0.5)
        task.cancel()
        assert (watch.judged, len(watch.broken)) == (judged, broken)

    run_virtual(play())
