"""A clock that tests move by hand, and an event loop that moves it."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

from limeshelf.util.clock import VIRTUAL_EPOCH_S, VirtualClock, virtual_clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

fake_time = virtual_clock


def wall(clock: VirtualClock) -> float:
    """Return the wall clock time that a virtual clock stands for."""
    return VIRTUAL_EPOCH_S + clock.now_s


class _Jump(selectors.DefaultSelector):
    """Lets time go on at once, where the loop would wait for it."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None:
            self._clock.advance(timeout)
        return super().select(0.0 if timeout is not None else None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a virtual clock: what runs takes no time, what waits takes all of it."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__(_Jump(clock))
        self._clock = clock

    def time(self) -> float:
        return self._clock.now_s

    def hold_up(self, seconds: float) -> None:
        """Let what runs take some time."""
        self._clock.advance(seconds)


def run_virtual(play: Coroutine[Any, Any, None]) -> None:
    """Run *play* on a loop and clocks of its own; its pauses take no real time."""
    with (
        virtual_clock() as clock,
        asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner,
    ):
        runner.run(play)
