"""Limit on the requests that the engine stand-in generates at the same time."""

from __future__ import annotations

import asyncio
import heapq
import itertools


class Slots:
    """Grants slots in order of priority; equal priorities in order of arrival."""

    def __init__(self) -> None:
        self._arrival_numbers = itertools.count()
        self.reset()

    def reset(self) -> None:
        """Discard running and waiting requests, as a restart does."""
        self.running = 0
        self.queue: list[tuple[int, int, asyncio.Future]] = []

    async def acquire(self, priority: int, slots: int) -> None:
        """Wait for a free slot and occupy it; a lower *priority* is served first.

        :param slots: current number of slots.
        """
        if self.running < slots:
            self.running += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self.queue, (priority, next(self._arrival_numbers), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Free a slot and grant it to the next waiting request."""
        self.running = max(0, self.running - 1)
        while self.queue:
            _, _, waiter = heapq.heappop(self.queue)
            if not waiter.done():
                self.running += 1
                waiter.set_result(None)
                return
