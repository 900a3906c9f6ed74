"""Delays calls to the store after failed ones.

Owns the number of consecutive failed calls of this process, over all tables that it follows.
A call failed if it raised :exc:`~limeshelf.errors.PlatformUnavailable` or
:exc:`~limeshelf.errors.PlatformUnknown`.
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

#: Base and limit of the exponential back-off after failed calls.
RETRY_BASE_S = 0.15
RETRY_LIMIT_S = 1.0
#: Interval at which the remaining pause is computed again, because its spread may change.
PAUSE_CHECK_INTERVAL_S = 0.25


class StoreBackoff:
    """Back-off of calls to the store, shared by all tables that this process follows.

    While the latest call has failed, only one table at a time calls the store, as a probe: with
    three tables that retried independently, 20 gateways sent about 60 calls per second to an
    unavailable store. The store must answer a probe at once: a probe that it held for 8 s
    blocked all other tables, and configurations became active up to 8 s late
    (tests/feeds/test_late_configuration.py).
    """

    def __init__(self) -> None:
        self._failures = 0
        self._last_failure_s = 0.0
        self._probe_lock = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def attempt(self, spread_s: Callable[[], float]) -> AsyncIterator[bool]:
        """Wait until this process may call the store, and record whether the call fails.

        Yields whether the call is a probe, which the store must not hold.

        :param spread_s: returns the longest additional pause after a failure, in seconds; called
            repeatedly during the pause, since a gateway may become isolated meanwhile.
        """
        if self._failures:
            async with self._probe_lock:
                # If another table's probe succeeded meanwhile, no pause is needed.
                if self._failures:
                    await self._pause(spread_s)
                    with self._recording_result():
                        yield True
                    return
        with self._recording_result():
            yield False

    @contextlib.contextmanager
    def _recording_result(self) -> Iterator[None]:
        try:
            yield
        except (PlatformUnavailable, PlatformUnknown):
            self._failures += 1
            self._last_failure_s = boottime_s()
            raise
        self.record_answer()

    def record_answer(self) -> None:
        """Record that the store has answered; pauses end."""
        self._failures = 0

    async def _pause(self, spread_s: Callable[[], float]) -> None:
        """Wait until the pause that began with the last failure is over.

        The pause does not begin with the next call: then a failure long ago delayed gateways that
        had become isolated from their peers by up to 9 s.
        """
        end_s = self._last_failure_s + equal_jitter_s(self._failures, RETRY_BASE_S, RETRY_LIMIT_S)
        spread_ratio = random.random()
        while self._failures:
            left_s = end_s + spread_ratio * spread_s() - boottime_s()
            if left_s <= 0.0:
                return
            await asyncio.sleep(min(left_s, PAUSE_CHECK_INTERVAL_S))
