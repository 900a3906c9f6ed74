"""The slots of the engine stand-in: how many requests generate at one time."""

from __future__ import annotations

import asyncio
import heapq
import itertools


class Slots:
    """Gives slots by priority, and by arrival among equals."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self.reset()

    def reset(self) -> None:
        """Forget who holds and who waits, as a restart does."""
        self.running = 0
        self.queue: list[tuple[int, int, asyncio.Future]] = []

    async def take(self, priority: int, slots: int) -> None:
        """Return with a slot; the lower *priority* goes first.

        :param slots: slots there are at present.
        """
        if self.running < slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.queue, (priority, next(self._numbers), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.give_back()
            raise

    def give_back(self) -> None:
        """Pass a slot on to the next that waits."""
        self.running = max(0, self.running - 1)
        while self.queue:
            _, _, turn = heapq.heappop(self.queue)
            if not turn.done():
                self.running += 1
                turn.set_result(None)
                return
