"""Time limits end when the boot clock says so, whenever the machine sleeps and for how long."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.util import suspension
from limeshelf.util.clock import VirtualClock, virtual_clock
from limeshelf.util.suspension import SuspensionWatch, boot_timeout

SLEEPS_S = (0.1, 2.0, 6.0, 60.0)
#: Of real time, within which a limit that is over must have ended.
SOON_S = 0.5


@pytest.fixture(autouse=True)
def quick_checks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspension, 'CHECK_S', 0.005)


async def step(clock: VirtualClock, seconds: float = 0.01) -> None:
    """Let both clocks go on."""
    for _ in range(round(seconds / 0.005)):
        await asyncio.sleep(0.005)
        clock.advance(0.005)


async def wait_in_limit(limit_s: float) -> bool:
    """Return whether the limit ended a wait without an end."""
    try:
        async with boot_timeout(limit_s):
            await asyncio.Event().wait()
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize('slept_s', SLEEPS_S)
def test_limit_that_is_over_at_waking_ends_at_once(slept_s: float) -> None:
    async def scenario(clock: VirtualClock) -> None:
        woke: list[float] = []
        watch = asyncio.create_task(SuspensionWatch(woke.append).run())
        waiting = asyncio.create_task(wait_in_limit(slept_s - 0.05))
        await step(clock)
        clock.advance(slept_s)
        assert await asyncio.wait_for(waiting, SOON_S)
        assert len(woke) == 1
        assert woke[0] == pytest.approx(slept_s, abs=0.05)
        watch.cancel()

    with virtual_clock() as clock:
        asyncio.run(scenario(clock))


def test_limit_that_is_not_over_goes_on_for_the_rest() -> None:
    async def scenario(clock: VirtualClock) -> None:
        watch = asyncio.create_task(SuspensionWatch(lambda slept_s: None).run())
        waiting = asyncio.create_task(wait_in_limit(6.2))
        await step(clock)
        clock.advance(6.0)
        await step(clock, 0.05)
        assert not waiting.done()
        assert await asyncio.wait_for(waiting, SOON_S)
        watch.cancel()

    with virtual_clock() as clock:
        asyncio.run(scenario(clock))


def test_limits_that_ended_or_have_not_begun_are_left_alone() -> None:
    async def scenario(clock: VirtualClock) -> None:
        watch = asyncio.create_task(SuspensionWatch(lambda slept_s: None).run())
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
    st.lists(st.sampled_from(SLEEPS_S), min_size=1, max_size=3),
    st.lists(st.floats(0.02, 70.0), min_size=1, max_size=5),
)
def test_whenever_it_sleeps_what_is_over_has_ended_and_nothing_else(
    sleeps_s: list[float], limits_s: list[float]
) -> None:
    async def scenario(clock: VirtualClock) -> None:
        watch = asyncio.create_task(SuspensionWatch(lambda slept_s: None).run())
        began_s = clock.now_s
        waits = [(limit_s, asyncio.create_task(wait_in_limit(limit_s))) for limit_s in limits_s]
        for slept_s in sleeps_s:
            await step(clock)
            clock.advance(slept_s)
        await step(clock, 0.03)
        passed_s = clock.now_s - began_s
        for limit_s, waiting in waits:
            # Beside the end, the two clocks of the test differ by some milliseconds.
            if abs(limit_s - passed_s) > 0.1:
                assert waiting.done() == (limit_s < passed_s)
            waiting.cancel()
        watch.cancel()

    with virtual_clock() as clock:
        asyncio.run(scenario(clock))
