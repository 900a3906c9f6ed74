"""A machine is suspended with calls in flight: its boot clock goes on, its event loop does not."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator

import attrs
import pytest

from limeshelf.util import clock as clock_module
from standins.users_platform.replica import Fault
from tests.support.gateway import GatewayWorld, run

#: Largest time from waking to the final answer of a call past its deadline, in seconds: the
#: users' requirement.
ANSWERED_WITHIN_S = 0.5


@attrs.define
class SuspendableClock:
    """The real boot clock plus simulated time in suspension.

    :ivar suspended_s: simulated time in suspension.
    """

    suspended_s: float = 0.0

    @property
    def now_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self.suspended_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[SuspendableClock]:
    """Replace the clock by one that simulates suspensions."""
    suspendable = SuspendableClock()
    monkeypatch.setattr(clock_module, '_virtual', suspendable)
    yield suspendable


@pytest.mark.parametrize('suspended_s', [2.0, 6.0, 60.0])
def test_call_past_its_deadline_after_a_suspension_is_answered_at_once(
    clock: SuspendableClock, suspended_s: float
) -> None:
    async def scenario(world: GatewayWorld) -> None:
        for replica in world.plain:
            replica.fault = Fault.SILENT
        task = asyncio.create_task(world.call('/unsafe/x', Limeshelf_Deadline_Ms='1900'))
        await world.until(lambda: any(replica.runs for replica in world.plain))
        clock.suspended_s += suspended_s
        began_s = time.monotonic()
        assert (await task).status == 504
        assert time.monotonic() - began_s < ANSWERED_WITHIN_S

    run(scenario)


def test_call_that_waited_for_a_replica_in_a_suspension_is_refused_and_not_sent(
    clock: SuspendableClock,
) -> None:
    async def scenario(world: GatewayWorld) -> None:
        task = asyncio.create_task(world.generate(model='m3', Limeshelf_Deadline_Ms='2900'))
        await asyncio.sleep(0.05)
        clock.suspended_s += 6.0
        began_s = time.monotonic()
        assert (await task).status == 503
        assert time.monotonic() - began_s < ANSWERED_WITHIN_S
        await asyncio.sleep(0.3)
        assert not any(
            'm3' in seen.headers.get('Limeshelf-Model', '')
            for replica in world.engines
            for seen in replica.received_calls
        )

    run(scenario)


def test_peers_and_replicas_do_not_count_as_silent_after_a_suspension(
    clock: SuspendableClock,
) -> None:
    async def scenario(world: GatewayWorld) -> None:
        members = world.gateway.components.members
        peer = members.add('127.0.0.9:7001', 'z1')
        members.record_message(peer.address, 'z1')
        clock.suspended_s += 6.0
        await asyncio.sleep(0.3)
        assert peer.is_active
        assert (await world.call('/safe/x')).status == 200
        assert not any(
            replica.health.is_suspended() for replica in world.gateway.components.directory.all()
        )

    run(scenario)
