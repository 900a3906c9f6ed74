"""Time limits that include the time for which the machine was suspended, and its detection.

While a machine is suspended, the boot clock continues and the clock of the event loop stops, so
that a plain timer ends late by the length of the suspension. Owns the open time limits of this
process. Waits that a guarantee depends on use :func:`boot_timeout`; the other waits imply
nothing when they end, and are listed in ``docs/design/suspension.rst``.
"""

from __future__ import annotations

import asyncio
import weakref
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

#: Period at which the clocks are compared, and thus the maximum delay after a wake-up until
#: the limits are corrected.
CHECK_PERIOD_S = 0.1
#: Smallest difference that counts as a suspension: the two clocks are read one after the other.
MIN_SUSPENSION_S = 0.05

#: Open time limits, with their end times on the boot clock.
_ends_s: weakref.WeakKeyDictionary[asyncio.Timeout, float] = weakref.WeakKeyDictionary()


def boot_timeout(limit_s: float) -> asyncio.Timeout:
    """Return a time limit like :func:`asyncio.timeout`, but on the boot clock.

    :param limit_s: time from now, in seconds; negative values count as zero.
    """
    limit_s = max(0.0, limit_s)
    limit = asyncio.timeout(limit_s)
    _ends_s[limit] = boottime_s() + limit_s
    return limit


def _reschedule_open_limits() -> None:
    """Reschedule the open limits to end at their time on the boot clock."""
    loop_offset_s = asyncio.get_running_loop().time() - boottime_s()
    for limit, end_s in list(_ends_s.items()):
        try:
            limit.reschedule(loop_offset_s + end_s)
        except RuntimeError:
            # The limit has ended or has not been entered; the object does not tell which. One
            # that has not been entered was created in the current step of the loop.
            del _ends_s[limit]


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
