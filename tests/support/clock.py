"""A clock that tests move by hand."""

from __future__ import annotations

import contextlib
import time
from unittest import mock

import limeshelf.util.clock


class FakeTime:
    """Stands in for the time module inside limeshelf.util.clock."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def __init__(self) -> None:
        self.now_s = 1000.0

    def clock_gettime(self, _: int) -> float:
        return self.now_s

    def time(self) -> float:
        return 1.7e9 + self.now_s

    def advance(self, seconds: float) -> None:
        self.now_s += seconds


@contextlib.contextmanager
def fake_time():
    clock = FakeTime()
    with mock.patch.object(limeshelf.util.clock, 'time', clock):
        yield clock
