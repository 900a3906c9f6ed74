"""Clocks: the boot clock, which includes suspension, and the wall clock.

All code that measures durations or checks expiry reads the time here, so that tests and
experiments can replace both clocks by a :class:`VirtualClock`.
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
    """A manually advanced clock for experiments and tests.

    :ivar now_s: value that :func:`boottime_s` returns; its origin is arbitrary.
    """

    now_s: float = 1000.0

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now_s += seconds


#: Wall clock at the origin of a virtual clock, in seconds since the epoch.
VIRTUAL_EPOCH_S = 1.7e9

_virtual: VirtualClock | None = None


def boottime_s() -> float:
    """Return seconds of ``CLOCK_BOOTTIME``, which never jumps or pauses.

    Leases are checked with it, because wall clocks jump and ``CLOCK_MONOTONIC`` stops while a
    machine is suspended.
    """
    if _virtual is not None:
        return _virtual.now_s
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return wall clock seconds since the epoch, for logs and other records."""
    if _virtual is not None:
        return VIRTUAL_EPOCH_S + _virtual.now_s
    return time.time()


@contextlib.contextmanager
def virtual_clock() -> Iterator[VirtualClock]:
    """Replace both clocks of this process by a manually advanced one.

    Timers of the event loop are not affected.
    """
    global _virtual
    before = _virtual
    _virtual = VirtualClock()
    try:
        yield _virtual
    finally:
        _virtual = before
