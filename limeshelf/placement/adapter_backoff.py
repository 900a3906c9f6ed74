"""When an adapter whose move failed is tried again.

Owns the pause of each adapter that failed. Relies on the clock alone. Without a pause, an adapter
that never comes would cost another one its place in every round.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.demand.keys import ModelKey

#: Pause after the first failure; doubled with each further one.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
#: An adapter that was not tried within this time is forgotten.
FORGET_AFTER_S = 60.0


@attrs.define
class _Failures:
    """Failures in a row; the last one on the steady clock."""

    last_s: float
    backoff_s: float = INITIAL_BACKOFF_S


class AdapterBackoff:
    """Says when each adapter may be tried again."""

    def __init__(self) -> None:
        self._failures: dict[ModelKey, _Failures] = {}

    def may_try(self, key: ModelKey) -> bool:
        """Return whether an adapter may be ordered now."""
        failures = self._failures.get(key)
        if failures is None:
            return True
        return boottime_s() - failures.last_s >= failures.backoff_s

    def record_result(self, key: ModelKey, succeeded: bool) -> None:
        """Note that a move of an adapter has ended.

        :param came: whether the adapter is there.
        """
        now_s = boottime_s()
        if succeeded:
            self._failures.pop(key, None)
            return
        failures = self._failures.get(key)
        if failures is None:
            self._failures[key] = _Failures(now_s)
        else:
            failures.last_s = now_s
            failures.backoff_s = min(MAX_BACKOFF_S, 2 * failures.backoff_s)
        self._forget_old(now_s)

    def _forget_old(self, now_s: float) -> None:
        old = [key for key, one in self._failures.items() if now_s - one.last_s > FORGET_AFTER_S]
        for key in old:
            del self._failures[key]
