"""Time limits end by the boot clock, whenever and however long the machine is suspended."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.util import suspension
from limeshelf.util.clock import VirtualClock, virtual_clock
from limeshelf.util.suspension import SuspensionWatch, boot_timeout

SUSPENSIONS_S = (0.1, 2.0, 6.0, 60.0)
#: Real time within which an expired limit must have ended.
END_WITHIN_S = 0.5


@pytest.fixture(autouse=True)
def short_check_period(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspension, 'CHECK_PERIOD_S', 0.005)


async def step(clock: VirtualClock, seconds: float = 0.01) -> None:
    """Advance both clocks."""
    for _ in range(round(seconds / 0.005)):
        await asyncio.sleep(0.005)
        clock.advance(0.005)


async def wait_in_limit(limit_s: float) -> bool:
    """Return whether the limit ended an indefinite wait."""
    try:
        async with boot_timeout(limit_s):
            await asyncio.Event().wait()
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize('suspended_s', SUSPENSIONS_S)
def test_limit_that_expired_during_suspension_ends_at_once(suspended_s: float) -> None:
    async def scenario(clock: VirtualClock) -> None:
        woke: list[float] = []
        watch = asyncio.create_task(SuspensionWatch(woke.append).run())
        waiting = asyncio.create_task(wait_in_limit(suspended_s - 0.05))
        await step(clock)
        clock.advance(suspended_s)
        assert await asyncio.wait_for(waiting, END_WITHIN_S)
        assert len(woke) == 1
        assert woke[0] == pytest.approx(suspended_s, abs=0.05)
        watch.cancel()

    with virtual_clock() as clock:
        asyncio.run(scenario(clock))


def test_limit_that_has_not_expired_continues() -> None:
    async def scenario(clock: VirtualClock) -> None:
        watch = asyncio.create_task(SuspensionWatch(lambda suspended_s: None).run())
        waiting = asyncio.create_task(wait_in_limit(6.2))
        await step(clock)
        clock.advance(6.0)
        await step(clock, 0.05)
        assert not waiting.done()
        assert await asyncio.wait_for(waiting, END_WITHIN_S)
        watch.cancel()

    with virtual_clock() as clock:
        asyncio.run(scenario(clock))


def test_limits_that_ended_or_were_not_entered_are_unchanged() -> None:
    async def scenario(clock: VirtualClock) -> None:
        watch = asyncio.create_task(SuspensionWatch(lambda suspended_s: None).run())
        unused = boot_timeout(1.0)
        async with boot_timeout(1.0) as ended:
            await step(clock)
        clock.advance(6.0)
        await step(clock, 0.05)
        assert not ended.expired() and not unused.expired()
        assert not watch.done()
        watch.cancel()

    with virtual_clock() as clock:
        asyncio.run(scenario(clock))


@settings(max_examples=15, deadline=None)
@given(
    st.lists(st.sampled_from(SUSPENSIONS_S), min_size=1, max_size=3),
    st.lists(st.floats(0.02, 70.0), min_size=1, max_size=5),
)
def test_exactly_the_expired_limits_end_after_any_suspensions(
    suspensions_s: list[float], limits_s: list[float]
) -> None:
    async def scenario(clock: VirtualClock) -> None:
        watch = asyncio.create_task(SuspensionWatch(lambda suspended_s: None).run())
        began_s = clock.now_s
        waits = [(limit_s, asyncio.create_task(wait_in_limit(limit_s))) for limit_s in limits_s]
        for suspended_s in suspensions_s:
            await step(clock)
            clock.advance(suspended_s)
        await step(clock, 0.03)
        elapsed_s = clock.now_s - began_s
        for limit_s, waiting in waits:
            # Skips limits close to the end, as the clocks of the test differ by milliseconds.
            if abs(limit_s - elapsed_s) > 0.1:
                assert waiting.done() == (limit_s < elapsed_s)
            waiting.cancel()
        watch.cancel()

    with virtual_clock() as clock:
        asyncio.run(scenario(clock))
