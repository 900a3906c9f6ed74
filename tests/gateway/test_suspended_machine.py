"""A machine is suspended with calls under way: its boot clock goes on, its loop does not."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator

import attrs
import pytest

from limeshelf.util import clock as clock_module
from standins.users_platform.replica import Fault
from tests.support.gateway import GatewayWorld, run

#: From waking to the final answer of a call whose time is over, in seconds: the users' bound.
ANSWERED_WITHIN_S = 0.5


@attrs.define
class SleptClock:
    """The real boot clock, and the time that the machine has slept beside.

    :ivar slept_s: that only the boot clock counts.
    """

    slept_s: float = 0.0

    @property
    def now_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self.slept_s


@pytest.fixture
def slept(monkeypatch: pytest.MonkeyPatch) -> Iterator[SleptClock]:
    """Return a clock that lets the machine sleep; time goes on beside."""
    clock = SleptClock()
    monkeypatch.setattr(clock_module, '_virtual', clock)
    yield clock


@pytest.mark.parametrize('slept_s', [2.0, 6.0, 60.0])
def test_call_whose_time_went_by_while_asleep_is_answered_at_once(
    slept: SleptClock, slept_s: float
) -> None:
    async def scenario(world: GatewayWorld) -> None:
        for replica in world.plain:
            replica.fault = Fault.SILENT
        task = asyncio.create_task(world.call('/unsafe/x', Limeshelf_Deadline_Ms='1900'))
        await world.until(lambda: any(replica.runs for replica in world.plain))
        slept.slept_s += slept_s
        began_s = time.monotonic()
        assert (await task).status == 504
        assert time.monotonic() - began_s < ANSWERED_WITHIN_S

    run(scenario)


def test_call_that_waited_for_a_replica_while_asleep_is_refused_and_sent_nowhere(
    slept: SleptClock,
) -> None:
    async def scenario(world: GatewayWorld) -> None:
        task = asyncio.create_task(world.generate(model='m3', Limeshelf_Deadline_Ms='2900'))
        await asyncio.sleep(0.05)
        slept.slept_s += 6.0
        began_s = time.monotonic()
        assert (await task).status == 503
        assert time.monotonic() - began_s < ANSWERED_WITHIN_S
        await asyncio.sleep(0.3)
        assert not any(
            'm3' in seen.headers.get('Limeshelf-Model', '')
            for replica in world.engines
            for seen in replica.seen
        )

    run(scenario)


def test_peers_and_replicas_are_not_taken_for_silent(slept: SleptClock) -> None:
    async def scenario(world: GatewayWorld) -> None:
        members = world.gateway.components.members
        peer = members.add('127.0.0.9:7001', 'z1')
        members.record_message(peer.address, 'z1')
        slept.slept_s += 6.0
        await asyncio.sleep(0.3)
        assert peer.is_active
        assert (await world.call('/safe/x')).status == 200
        assert not any(
            replica.health.is_suspended() for replica in world.gateway.components.directory.all()
        )

    run(scenario)
