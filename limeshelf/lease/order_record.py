"""Records when this process sent orders to replicas, and which may still be on their way."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterator


@attrs.define
class OrderRecord:
    """The orders of this process, under all its terms."""

    _last_s: float = -math.inf
    _unanswered_s: float = -math.inf
    _open: int = 0
    _none_open: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Begin without an open order."""
        self._none_open.set()

    @contextlib.contextmanager
    def sending(self) -> Iterator[None]:
        """Record an order from its sending to its answer, or until it is given up."""
        self._open += 1
        self._none_open.clear()
        is_answered = False
        try:
            yield
            is_answered = True
        finally:
            self._open -= 1
            self._last_s = boottime_s()
            if not is_answered:
                self._unanswered_s = self._last_s
            if not self._open:
                self._none_open.set()

    async def wait_until_answered(self) -> None:
        """Wait until each order has been answered or given up."""
        await self._none_open.wait()

    def unanswered_within(self, period_s: float) -> bool:
        """Return whether an order was given up in this period, and may still arrive."""
        return boottime_s() - self._unanswered_s < period_s

    def last_s(self) -> float:
        """Return when an order may last have arrived, on the boot clock.

        Minus infinity before the first order.
        """
        return boottime_s() if self._open else self._last_s
