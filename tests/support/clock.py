"""A clock that tests move by hand."""

from __future__ import annotations

from limeshelf.util.clock import VIRTUAL_EPOCH_S, VirtualClock, virtual_clock

fake_time = virtual_clock


def wall(clock: VirtualClock) -> float:
    """Return the wall clock time that a virtual clock stands for."""
    return VIRTUAL_EPOCH_S + clock.now_s
