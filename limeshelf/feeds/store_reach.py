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

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

#: Pause after a failed call: bound after the first failure, and the largest. Chosen, not
#: measured.
RETRY_BASE_S = 0.15
RETRY_LIMIT_S = 1.0


class StoreReach:
    """Whether the store is in reach of this process, for all tables that it follows.

    While it is not, one table at a time tries it: with three tables, each on its own, 20
    gateways made some 60 calls a second to a store that was away.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._trying = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def attempt(self, spread_s: float) -> AsyncIterator[None]:
        """Wait for this process's turn to ask the store; note what became of the call.

        :param spread_s: longest further pause after a failure.
        """
        if not self._failures:
            with self._noting():
                yield
            return
        async with self._trying:
            if self._failures:
                await asyncio.sleep(self._pause_s(spread_s))
            with self._noting():
                yield

    @contextlib.contextmanager
    def _noting(self) -> Iterator[None]:
        try:
            yield
        except (PlatformUnavailable, PlatformUnknown):
            self._failures += 1
            raise
        self._failures = 0

    def _pause_s(self, spread_s: float) -> float:
        pause_s = full_jitter_s(self._failures, RETRY_BASE_S, RETRY_LIMIT_S)
        return pause_s + random.uniform(0.0, spread_s)
