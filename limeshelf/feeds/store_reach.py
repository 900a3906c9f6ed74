"""When a process asks the store again that was out of reach.

Owns the failures in a row of one process, over all tables that it follows. Relies on its
callers to raise what the store's port raises.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.util.backoff import full_jitter_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

#: Pause after a failed call: bound after the first failure, and the largest. Chosen, not
#: measured.
RETRY_BASE_S = 0.15
RETRY_LIMIT_S = 1.0


class StoreReach:
    """Whether the store is in reach of this process, for all tables that it follows.

    While it is not, one table at a time tries it: with three tables, each on its own, 20
    gateways made some 60 calls a second to a store that was away. A try is to be a call that
    the store answers at once: one that it held back for 8 s kept all other tables from
    asking, and configurations were in force up to 8 s late
    (tests/incidents/test_late_configuration.py).
    """

    def __init__(self) -> None:
        self._failures = 0
        self._failed_s = 0.0
        self._trying = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def attempt(self, spread_s: float) -> AsyncIterator[bool]:
        """Wait for this process's turn to ask the store; note what became of the call.

        Yields whether the call is a try, which the store is not to hold back.

        :param spread_s: longest further pause after a failure.
        """
        if self._failures:
            async with self._trying:
                # A call that succeeded meanwhile has freed all tables.
                if self._failures:
                    await asyncio.sleep(self._pause_left_s(spread_s))
                    with self._noting():
                        yield True
                    return
        with self._noting():
            yield False

    @contextlib.contextmanager
    def _noting(self) -> Iterator[None]:
        try:
            yield
        except (PlatformUnavailable, PlatformUnknown):
            self._failures += 1
            self._failed_s = boottime_s()
            raise
        self._failures = 0

    def _pause_left_s(self, spread_s: float) -> float:
        """Return what is left of the pause after the last failure, in seconds.

        A process that had no reason to ask since owes none: counted from its next call, the
        pause of a failure of long ago made gateways that were cut off from their peers up to
        9 s late.
        """
        pause_s = full_jitter_s(self._failures, RETRY_BASE_S, RETRY_LIMIT_S)
        pause_s += random.uniform(0.0, spread_s)
        return max(0.0, self._failed_s + pause_s - boottime_s())
