"""Clocks: one that goes on through suspension, one for people."""

from __future__ import annotations

import time


def boottime_s() -> float:
    """Return seconds of ``CLOCK_BOOTTIME``, which never jumps or pauses.

    Leases are judged on it, because wall clocks jump and because
    ``CLOCK_MONOTONIC`` stands still while a machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return wall clock seconds since the epoch, for records that people read."""
    return time.time()
