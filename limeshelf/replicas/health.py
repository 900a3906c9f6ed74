"""How a replica does, from the answers that it gave or did not give."""

from __future__ import annotations

import enum

import attrs

from limeshelf.util.clock import boottime_s

#: A replica that failed is left alone this long; doubled with each failure in a row.
SUSPEND_BASE_S = 0.5
SUSPEND_LIMIT_S = 1.5
#: Weight of the newest answer in the averages.
NEWEST_SHARE = 0.15
#: Failures in a row of these kinds that suspend.
SUSPEND_AFTER = 2


class Failure(enum.StrEnum):
    """What went wrong with an exchange."""

    NO_CONNECTION = 'no_connection'
    BROKEN = 'broken'
    SILENT = 'silent'
    FOREIGN = 'foreign'
    ERROR_STATUS = 'error_status'
    REFUSED = 'refused'


#: Failures that suspend at the first time: nothing can be reached there.
_AT_ONCE = frozenset({Failure.NO_CONNECTION, Failure.SILENT})


@attrs.define
class ReplicaHealth:
    """Failure and latency averages, and the suspension that follows from them.

    :ivar failing: share of failures among the latest exchanges, 0 to 1.
    :ivar awaits_probe: left alone until a connection could be made again.
    :ivar first_s: average time to the first byte, in seconds; 0 if unknown.
    """

    failing: float = 0.0
    first_s: float = 0.0
    suspended_until_s: float = 0.0
    awaits_probe: bool = False
    _in_a_row: int = 0
    _suspensions: int = 0

    def is_suspended(self) -> bool:
        """Return whether the replica is left alone at this moment."""
        return self.awaits_probe or boottime_s() < self.suspended_until_s

    @property
    def probe_due(self) -> bool:
        """Return whether it is time to see if a connection can be made."""
        return self.awaits_probe and boottime_s() >= self.suspended_until_s

    def probed(self, reached: bool) -> None:
        """Take the outcome of an attempt to connect."""
        if reached:
            self.awaits_probe = False
        else:
            self._extend()

    def succeeded(self, first_s: float) -> None:
        """Note an answer whose first byte came after *first_s* seconds."""
        self.failing += NEWEST_SHARE * (0.0 - self.failing)
        self.first_s += (NEWEST_SHARE if self.first_s else 1.0) * (first_s - self.first_s)
        self._in_a_row = 0
        self._suspensions = 0
        self.suspended_until_s = 0.0
        self.awaits_probe = False

    def failed(self, failure: Failure) -> bool:
        """Note a failure; return whether it suspends the replica."""
        self.failing += NEWEST_SHARE * (1.0 - self.failing)
        if failure in (Failure.ERROR_STATUS, Failure.REFUSED):
            return False
        self._in_a_row += 1
        if failure not in _AT_ONCE and self._in_a_row < SUSPEND_AFTER:
            return False
        was = self.is_suspended()
        if failure in _AT_ONCE:
            self.awaits_probe = True
        if not was:
            self._extend()
        return not was

    def _extend(self) -> None:
        pause_s = min(SUSPEND_LIMIT_S, SUSPEND_BASE_S * 2**self._suspensions)
        self._suspensions += 1
        self.suspended_until_s = boottime_s() + pause_s
