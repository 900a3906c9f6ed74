"""Clocks: one that goes on through suspension, one for people.

Whatever measures, ages or expires reads time here, so that tests and experiments can
put a :class:`VirtualClock` in place of both.
"""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator


MS_PER_S = 1000


@attrs.define
class VirtualClock:
    """A clock that is moved by hand, for experiments and tests.

    :ivar now_s: what :func:`boottime_s` returns; its start has no meaning.
    """

    now_s: float = 1000.0

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now_s += seconds


#: Added to a virtual clock for the wall clock, in seconds since the epoch.
VIRTUAL_EPOCH_S = 1.7e9

_virtual: VirtualClock | None = None


def boottime_s() -> float:
    """Return seconds of ``CLOCK_BOOTTIME``, which never jumps or pauses.

    Leases are judged on it, because wall clocks jump and because
    ``CLOCK_MONOTONIC`` stands still while a machine is suspended.
    """
    if _virtual is not None:
        return _virtual.now_s
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return wall clock seconds since the epoch, for records that people read."""
    if _virtual is not None:
        return VIRTUAL_EPOCH_S + _virtual.now_s
    return time.time()


@contextlib.contextmanager
def virtual_clock() -> Iterator[VirtualClock]:
    """Replace both clocks of this process by one that is moved by hand.

    Pauses of the event loop are not affected.
    """
    global _virtual
    before = _virtual
    _virtual = VirtualClock()
    try:
        yield _virtual
    finally:
        _virtual = before
