"""Virtual time for tests: a manually advanced clock and an event loop that advances it."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

from limeshelf.util.clock import VIRTUAL_EPOCH_S, VirtualClock, virtual_clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

fake_time = virtual_clock


def wall_time_s(clock: VirtualClock) -> float:
    """Return the Unix time that corresponds to a virtual clock's current time."""
    return VIRTUAL_EPOCH_S + clock.now_s


class _ClockAdvancingSelector(selectors.DefaultSelector):
    """Advances the clock by the selection time-out instead of waiting for it."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None:
            self._clock.advance(timeout)
        return super().select(0.0 if timeout is not None else None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a virtual clock, which advances only while no task is runnable."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__(_ClockAdvancingSelector(clock))
        self._clock = clock

    def time(self) -> float:
        return self._clock.now_s

    def hold_up(self, seconds: float) -> None:
        """Advance the clock as if the running task had blocked the loop."""
        self._clock.advance(seconds)


def run_virtual(scenario: Coroutine[Any, Any, None]) -> None:
    """Run *scenario* on its own loop and virtual clock; its sleeps take no real time."""
    with (
        virtual_clock() as clock,
        asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner,
    ):
        runner.run(scenario)
