"""Records when this process sent orders to replicas."""

from __future__ import annotations

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
    _open: int = 0

    @contextlib.contextmanager
    def sending(self) -> Iterator[None]:
        """Record an order from its sending to its answer, or until it is given up."""
        self._open += 1
        try:
            yield
        finally:
            self._open -= 1
            self._last_s = boottime_s()

    def last_s(self) -> float:
        """Return when an order may last have arrived, on the boot clock.

        Minus infinity before the first order.
        """
        return boottime_s() if self._open else self._last_s
