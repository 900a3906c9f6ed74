"""Time limits that count the time for which the machine was suspended, and who notices that.

While a machine is suspended, the boot clock goes on and the clock of the event loop stands still,
so that a plain timer ends late by as long. Owns the limits that are open in this process; relies
on :mod:`limeshelf.util.clock` for the boot clock. A wait on which a promise rests uses
:func:`boot_timeout`; the others say nothing by their end, and are listed in
``docs/design/suspension.rst``.
"""

from __future__ import annotations

import asyncio
import weakref
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

#: Between two comparisons of the clocks, in seconds: this long after waking, at the most,
#: limits are right again.
CHECK_S = 0.1
#: Less than this is no suspension, in seconds: the two clocks are read one after the other.
LEAST_SLEPT_S = 0.05

#: Open time limits, with their ends on the boot clock.
_ends_s: weakref.WeakKeyDictionary[asyncio.Timeout, float] = weakref.WeakKeyDictionary()


def boot_timeout(limit_s: float) -> asyncio.Timeout:
    """Return a time limit as :func:`asyncio.timeout` does, on the boot clock.

    :param limit_s: from now, in seconds; below zero as zero.
    """
    limit_s = max(0.0, limit_s)
    limit = asyncio.timeout(limit_s)
    _ends_s[limit] = boottime_s() + limit_s
    return limit


def _set_right() -> None:
    """Let each open limit end when the boot clock says so."""
    ahead_s = asyncio.get_running_loop().time() - boottime_s()
    for limit, end_s in list(_ends_s.items()):
        try:
            limit.reschedule(ahead_s + end_s)
        except RuntimeError:
            # Over already, or not begun; nothing in the object tells which. One that is not
            # begun yet began in this very step of the loop.
            del _ends_s[limit]


@attrs.define
class SuspensionWatch:
    """Notices that the machine was suspended, and sets open limits right.

    :param on_wake: called with how long it was, in seconds.
    """

    on_wake: Callable[[float], None]

    async def run(self) -> None:
        """Compare the clocks, again and again."""
        loop = asyncio.get_running_loop()
        lead_s = boottime_s() - loop.time()
        while True:
            await asyncio.sleep(CHECK_S)
            now_s = boottime_s() - loop.time()
            slept_s, lead_s = now_s - lead_s, now_s
            if slept_s >= LEAST_SLEPT_S:
                _set_right()
                self.on_wake(slept_s)
