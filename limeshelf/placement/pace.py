"""Keeps loads from the weight store below the rate that it allows."""

from __future__ import annotations

from collections import deque

from limeshelf.util.clock import boottime_s

#: Loads beyond the steady rate that a window may hold, less than the rule's own.
BURST = 1.5


class LoadPace:
    """Counts the loads that began in a sliding window.

    A new holder of the lease does not know what its predecessor began, so it
    starts as if the window were full but for a moment's worth of loads.

    :param window_s: length of the window that the rule slides.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._begun: deque[float] = deque()

    def reset(self, loads_per_s: float) -> None:
        """Start a new term."""
        now_s = boottime_s()
        full = int(loads_per_s * self._window_s)
        step_s = self._window_s / max(1, full)
        self._begun = deque(now_s - self._window_s + step_s * (n + 1) for n in range(full - 1))

    def allows(self, loads_per_s: float) -> bool:
        """Return whether one more load may begin now."""
        oldest_s = boottime_s() - self._window_s
        while self._begun and self._begun[0] < oldest_s:
            self._begun.popleft()
        return len(self._begun) + 1 <= loads_per_s * self._window_s + BURST

    def note(self) -> None:
        """Count a load that begins now."""
        self._begun.append(boottime_s())
