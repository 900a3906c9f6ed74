"""Tests that the change check finds late gateways and excuses those with faults."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import attrs
import pytest

from standins.users_platform.store import StoreStandIn
from tests.platform_soak.callers import CallRecord
from tests.platform_soak.changes import FAULT_FREE_S, ROUTE_UNKNOWN, ChangeChecker
from tests.platform_soak.world import PROPAGATION_LIMIT_S, STORE
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
        self.fault_times_s: dict[str, list[float]] = {}
        self.store = StoreStandIn()

    def configure(self) -> None:
        self.version += 1
        self.changed_s = asyncio.get_running_loop().time()


class FakeCallers:
    """The second gateway never applies a change."""

    def newest_key(self) -> str:
        return ''

    async def call(self, session: object, ip: str, kind: str, key: str) -> CallRecord:
        status = ROUTE_UNKNOWN if ip == IPS[1] else 200
        return CallRecord('', kind, '', status, gateway=ip)


@pytest.mark.parametrize(
    ('faulty', 'after_s', 'checked', 'violations'),
    [
        ('', 0.0, 2, 1),
        (IPS[1], 0.5 - FAULT_FREE_S, 1, 0),
        (IPS[0], 0.5, 1, 1),
        (STORE, 0.5, 0, 0),
        (STORE, -0.5, 2, 1),
        (STORE, -1.5, 0, 0),
    ],
)
def test_change_that_one_gateway_does_not_apply(
    faulty: str, after_s: float, checked: int, violations: int
) -> None:
    async def scenario() -> None:
        world = FakeWorld()
        checker = ChangeChecker(cast(Any, world), cast(Any, FakeCallers()))
        task = asyncio.create_task(checker.run())
        await asyncio.sleep(0)
        world.configure()
        world.fault_times_s[faulty] = [world.changed_s + after_s]
        world.store.faults.status = 503 if faulty == STORE and after_s < -1.0 else 0
        await asyncio.sleep(PROPAGATION_LIMIT_S + 0.5)
        task.cancel()
        assert (checker.checked, len(checker.violations)) == (checked, violations)

    run_virtual(scenario())
