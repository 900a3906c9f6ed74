"""The rule for when a replica is suspended, and when it is tried again.

Owns the outcomes of the latest exchanges with one replica, as this gateway saw them;
relies on the clock alone. What a suspension does:

* A plain call goes to a suspended replica only where all of its service are
  (:mod:`limeshelf.routing.plain_selector`).
* A model call never goes to one that its own gateway has suspended
  (:mod:`limeshelf.gateway.selection`), and to one that the dispatcher has suspended only
  where all holders are (:mod:`limeshelf.dispatch.selector`).

What suspends:

* Nothing was reached there (:data:`UNREACHABLE`): suspended at the first failure,
  until a connection can be made again. A real call is not used to find that out:
  behind a cut it would be lost.
* An exchange broke, or another replica's answer came: suspended after
  :data:`SUSPEND_AFTER` such failures in a row, for a pause that doubles.
* The replica answered with an error or refused: not suspended, because it is
  there; its share of failures adds to its cost (:mod:`limeshelf.replicas.penalties`).

An answer ends any suspension.
"""

from __future__ import annotations

import enum

import attrs

from limeshelf.util.clock import boottime_s

#: First pause of a suspended replica; doubled each time that it fails again.
SUSPEND_BASE_S = 0.5
#: Longest pause. 4 s before a pause ended with a probe in place of a call.
SUSPEND_LIMIT_S = 1.5
#: Weight of the newest exchange in the share of failures.
NEWEST_SHARE = 0.15
#: Failures in a row after which a replica that can be reached is suspended.
SUSPEND_AFTER = 2


class Failure(enum.StrEnum):
    """What went wrong with an exchange."""

    #: No connection was made, so no byte was sent.
    NO_CONNECTION = 'no_connection'
    #: The connection ended before the whole answer was there.
    BROKEN = 'broken'
    #: No head of an answer came in time.
    SILENT = 'silent'
    #: The answer belongs to another call, or lacks the signature.
    FOREIGN = 'foreign'
    #: A whole answer with a status of 500 or above.
    ERROR_STATUS = 'error_status'
    #: The replica said that it did not run the call.
    REFUSED = 'refused'


#: Nothing can be reached there.
UNREACHABLE = frozenset({Failure.NO_CONNECTION, Failure.SILENT})
#: The replica itself answered.
ANSWERED = frozenset({Failure.ERROR_STATUS, Failure.REFUSED})


@attrs.define
class ReplicaHealth:
    """Failures of one replica, and the suspension that follows from them.

    :ivar failing_share: share of failures among the latest exchanges, 0 to 1, an
        average in which older ones fade.
    :ivar suspended_until_s: end of the pause, on the steady clock; 0 if there is none.
    :ivar awaits_probe: suspended until a connection can be made again.
    """

    failing_share: float = 0.0
    suspended_until_s: float = 0.0
    awaits_probe: bool = False
    _failures_in_a_row: int = 0
    _pause_s: float = 0.0

    def is_suspended(self) -> bool:
        """Return whether the replica gets no call at this moment if there is another."""
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
            self._pause()

    def succeeded(self) -> None:
        """Note an answer that is no failure."""
        self.failing_share += NEWEST_SHARE * (0.0 - self.failing_share)
        self._failures_in_a_row = 0
        self._pause_s = 0.0
        self.suspended_until_s = 0.0
        self.awaits_probe = False

    def failed(self, failure: Failure) -> bool:
        """Note a failure; return whether it suspends the replica, which was not before."""
        self.failing_share += NEWEST_SHARE * (1.0 - self.failing_share)
        if failure in ANSWERED:
            return False
        self._failures_in_a_row += 1
        if failure not in UNREACHABLE and self._failures_in_a_row < SUSPEND_AFTER:
            return False
        was_suspended = self.is_suspended()
        if failure in UNREACHABLE:
            self.awaits_probe = True
        if not was_suspended:
            self._pause()
        return not was_suspended

    def _pause(self) -> None:
        self._pause_s = min(SUSPEND_LIMIT_S, 2 * self._pause_s or SUSPEND_BASE_S)
        self.suspended_until_s = boottime_s() + self._pause_s
