"""Exponential backoff for adapters whose moves fail.

Without it, an adapter that can never be loaded would cause another one to be evicted in every
round.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.demand.keys import ModelKey

#: Backoff after the first failure; doubled with each further one.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
#: An adapter is forgotten when its last failure is this long ago.
FORGET_AFTER_S = 60.0


@attrs.define
class _Failures:
    """Consecutive failures of one adapter.

    :ivar last_s: time of the last one, on the boot clock.
    """

    last_s: float
    backoff_s: float = INITIAL_BACKOFF_S


class AdapterBackoff:
    """Decides when an adapter whose moves failed may be ordered again."""

    def __init__(self) -> None:
        self._failures: dict[ModelKey, _Failures] = {}

    def may_try(self, key: ModelKey) -> bool:
        """Return whether an adapter may be ordered now."""
        failures = self._failures.get(key)
        if failures is None:
            return True
        return boottime_s() - failures.last_s >= failures.backoff_s

    def record_result(self, key: ModelKey, succeeded: bool) -> None:
        """Record how a move of an adapter ended.

        :param succeeded: whether the adapter was loaded.
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
