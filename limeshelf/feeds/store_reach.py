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
from limeshelf.util.backoff import equal_jitter_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

#: Pause after a failed call: bound after the first failure, and the largest.
RETRY_BASE_S = 0.15
RETRY_LIMIT_S = 1.0
#: How long the pause is judged anew after this time.
PAUSE_STEP_S = 0.25


class StoreReach:
    """Whether the store is in reach of this process, for all tables that it follows.

    While it is not, one table at a time tries it: with three tables, each on its own, 20
    gateways made some 60 calls a second to a store that was away. A try is to be a call that
    the store answers at once: one that it held back for 8 s kept all other tables from
    asking, and configurations were in force up to 8 s late
    (tests/feeds/test_late_configuration.py).
    """

    def __init__(self) -> None:
        self._failures = 0
        self._failed_s = 0.0
        self._trying = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def attempt(self, spread_s: Callable[[], float]) -> AsyncIterator[bool]:
        """Wait for this process's turn to ask the store; note what became of the call.

        Yields whether the call is a try, which the store is not to hold back.

        :param spread_s: returns the longest further pause after a failure, in seconds; asked
            again while it lasts, since a gateway may lose its peers meanwhile.
        """
        if self._failures:
            async with self._trying:
                # A call that succeeded meanwhile has freed all tables.
                if self._failures:
                    await self._pause(spread_s)
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

    async def _pause(self, spread_s: Callable[[], float]) -> None:
        """Wait until the pause after the last failure is over.

        A process that had no reason to ask since owes none: counted from its next call, the
        pause of a failure of long ago made gateways that were cut off from their peers up to
        9 s late.
        """
        end_s = self._failed_s + equal_jitter_s(self._failures, RETRY_BASE_S, RETRY_LIMIT_S)
        share = random.random()
        while True:
            left_s = end_s + share * spread_s() - boottime_s()
            if left_s <= 0.0:
                return
            await asyncio.sleep(min(left_s, PAUSE_STEP_S))
