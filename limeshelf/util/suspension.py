"""Time limits that include the time for which the machine was suspended, and its detection.

While a machine is suspended, the boot clock continues and the clock of the event loop stops, so
that a plain timer ends late by the length of the suspension. Owns the open time limits of this
process. Waits that a guarantee depends on use :func:`boot_timeout`; the other waits imply
nothing when they end, and are listed in ``docs/design/suspension.rst``.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

#: Period at which the clocks are compared, and thus the maximum delay after a wake-up until
#: the limits are corrected.
CHECK_PERIOD_S = 0.1
#: Smallest difference that counts as a suspension: the two clocks are read one after the other.
MIN_SUSPENSION_S = 0.05


class BootTimeout:
    """A time limit like :class:`asyncio.Timeout`, but on the boot clock.

    :param limit_s: time from now, in seconds; negative values count as zero.
    """

    def __init__(self, limit_s: float) -> None:
        limit_s = max(0.0, limit_s)
        self._end_s = boottime_s() + limit_s
        self._limit = asyncio.timeout(limit_s)

    async def __aenter__(self) -> BootTimeout:
        """Begin to limit the current task."""
        await self._limit.__aenter__()
        _open_limits.add(self)
        return self

    async def __aexit__(
        self,
        error_class: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the limit.

        :raises TimeoutError: the limit has expired.
        """
        _open_limits.discard(self)
        await self._limit.__aexit__(error_class, error, traceback)

    def expired(self) -> bool:
        """Return whether the limit has expired."""
        return self._limit.expired()

    def reschedule(self, loop_offset_s: float) -> None:
        """Let the limit end at its time on the boot clock.

        :param loop_offset_s: time of the event loop less the boot clock, in seconds.
        """
        if not self._limit.expired():
            self._limit.reschedule(loop_offset_s + self._end_s)


#: Limits that were entered and have not ended; only these can be rescheduled.
_open_limits: set[BootTimeout] = set()


def boot_timeout(limit_s: float) -> BootTimeout:
    """Return a time limit like :func:`asyncio.timeout`, but on the boot clock.

    :param limit_s: time from now, in seconds; negative values count as zero.
    """
    return BootTimeout(limit_s)


def _reschedule_open_limits() -> None:
    """Reschedule the open limits to end at their time on the boot clock."""
    loop_offset_s = asyncio.get_running_loop().time() - boottime_s()
    for limit in _open_limits:
        limit.reschedule(loop_offset_s)


@attrs.define
class SuspensionWatch:
    """Detects suspensions of the machine and corrects the open limits.

    :param on_wake: called with the length of the suspension, in seconds.
    """

    on_wake: Callable[[float], None]

    async def run(self) -> None:
        """Compare the clocks periodically."""
        loop = asyncio.get_running_loop()
        offset_s = boottime_s() - loop.time()
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            new_offset_s = boottime_s() - loop.time()
            suspended_s, offset_s = new_offset_s - offset_s, new_offset_s
            if suspended_s >= MIN_SUSPENSION_S:
                _reschedule_open_limits()
                self.on_wake(suspended_s)
