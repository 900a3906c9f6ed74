"""Keeps loads from the weight store below the rate that it allows.

Loads from a machine's own disk or memory do not count.
"""

from __future__ import annotations

from collections import deque

from limeshelf.util.clock import boottime_s

#: Loads above the steady rate that a window may contain. The platform counts more than three
#: as a fault; checked by tests/placement/test_store_load_limiter.py.
BURST_LOADS = 1.5


class StoreLoadLimiter:
    """Counts the loads that this process started in a sliding window.

    A new lease holder does not know its predecessor's loads. It therefore starts as if all but
    one of the loads that fill a window had been started, evenly spaced over the window.

    :param window_s: length of the window over which the platform counts loads.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._load_times_s: deque[float] = deque()

    def reset(self, loads_per_s: float) -> None:
        """Start a new term of the lease."""
        now_s = boottime_s()
        steady_loads = int(loads_per_s * self._window_s)
        step_s = self._window_s / max(1, steady_loads)
        start_s = now_s - self._window_s
        self._load_times_s = deque(start_s + step_s * (n + 1) for n in range(steady_loads - 1))

    def may_load(self, loads_per_s: float) -> bool:
        """Return whether one more load may start now.

        :param loads_per_s: the steady rate that the configuration allows.
        """
        oldest_s = boottime_s() - self._window_s
        while self._load_times_s and self._load_times_s[0] < oldest_s:
            self._load_times_s.popleft()
        return len(self._load_times_s) + 1 <= loads_per_s * self._window_s + BURST_LOADS

    def record_load(self) -> None:
        """Record a load that starts now."""
        self._load_times_s.append(boottime_s())
