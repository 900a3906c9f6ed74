"""Actions on a virtual clock, run in the order of their times.

Owns the actions to come, and moves the clock on; relies on nothing else.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from limeshelf.util.clock import VirtualClock


class EventQueue:
    """Owns what is to happen; moves the clock on."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, action: Any, *arguments: Any) -> None:
        """Call *action* when *delay_s* has passed; equal times keep their order."""
        event = (self._clock.now_s + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, end_s: float) -> None:
        """Run all events up to *end_s*, and set the clock to it."""
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action, arguments = heapq.heappop(self._events)
            self._clock.now_s = max(self._clock.now_s, at_s)
            action(*arguments)
        self._clock.now_s = end_s
