"""Suspends a replica after failures, and decides when it is tried again.

Owns the failure state of one replica, from the outcomes of this gateway's calls. Effects of a
suspension:

* A plain call is sent to a suspended replica only if all replicas of its service are suspended
  (:mod:`limeshelf.routing.plain_selector`).
* A model call is never sent to a replica that its own gateway has suspended
  (:mod:`limeshelf.gateway.selection`), and to one that the dispatcher has suspended only
  if all replicas that hold the model are (:mod:`limeshelf.dispatch.selector`).

Causes of a suspension:

* The replica is unreachable (:data:`UNREACHABLE`): suspended at the first failure until a probe
  can open a connection. No real call is used as a probe, since it would be lost in a network
  partition.
* The connection broke or the response came from another replica: suspended after
  :data:`SUSPEND_AFTER_FAILURES` consecutive failures, for a time that doubles.
* The replica responded with an error or refused the call: not suspended, because it is
  reachable; its failure ratio adds to its cost (:mod:`limeshelf.replicas.penalties`).

A successful response ends any suspension.
"""

from __future__ import annotations

import enum

import attrs

from limeshelf.util.clock import boottime_s

#: Duration of the first suspension; doubled each time that the replica fails again.
FIRST_SUSPENSION_S = 0.5
#: Longest suspension. Would be 4 s if suspensions ended with a real call instead of a probe.
MAX_SUSPENSION_S = 1.5
#: Least time between two probes of a replica that calls need.
MIN_PROBE_INTERVAL_S = 0.25
#: Weight of the latest call in the moving average of failures.
FAILURE_RATIO_WEIGHT = 0.15
#: Consecutive failures after which a reachable replica is suspended.
SUSPEND_AFTER_FAILURES = 2


class Failure(enum.StrEnum):
    """How a call to a replica failed."""

    #: No connection could be opened, so no byte was sent.
    NO_CONNECTION = 'no_connection'
    #: The connection was lost before the response was complete.
    BROKEN = 'broken'
    #: No response head arrived in time.
    SILENT = 'silent'
    #: The response belongs to another call, or lacks the signature.
    FOREIGN = 'foreign'
    #: A complete response with a status of 500 or above.
    ERROR_STATUS = 'error_status'
    #: The replica responded that it did not run the call.
    REFUSED = 'refused'


#: Failures that show the replica to be unreachable.
UNREACHABLE = frozenset({Failure.NO_CONNECTION, Failure.SILENT})
#: Failures in which the replica itself responded.
ANSWERED = frozenset({Failure.ERROR_STATUS, Failure.REFUSED})


@attrs.define
class ReplicaHealth:
    """Failure ratio and suspension of one replica.

    :ivar failure_ratio: exponential moving average of failures, 0 to 1.
    :ivar suspended_until_s: end of the suspension, or of the time before the next probe, on the
        boot clock; 0 if there is none.
    :ivar awaits_probe: suspended until a probe can open a connection.
    :ivar heard_s: when something last arrived from the replica, on the boot clock.
    """

    failure_ratio: float = 0.0
    suspended_until_s: float = 0.0
    awaits_probe: bool = False
    heard_s: float = 0.0
    _check_requested: bool = False
    _consecutive_failures: int = 0
    _suspension_s: float = 0.0
    _probed_s: float = 0.0

    def is_suspended(self) -> bool:
        """Return whether calls avoid the replica now."""
        return self.awaits_probe or boottime_s() < self.suspended_until_s

    @property
    def needs_probe(self) -> bool:
        """Return whether a probe is due now or later."""
        return self.awaits_probe or self._check_requested

    @property
    def probe_due(self) -> bool:
        """Return whether a probe is due."""
        if self._check_requested:
            return True
        return self.awaits_probe and boottime_s() >= self.suspended_until_s

    def record_heard(self) -> None:
        """Record that something has arrived from the replica."""
        self.heard_s = boottime_s()

    def request_check(self) -> None:
        """Have the replica probed, although nothing shows yet that it is unreachable."""
        self._check_requested = not self.awaits_probe

    def request_probe(self) -> None:
        """Make a probe of an unreachable replica due, unless one failed a moment ago."""
        if self.awaits_probe and boottime_s() - self._probed_s >= MIN_PROBE_INTERVAL_S:
            self.suspended_until_s = 0.0

    def record_probe(self, reached: bool) -> None:
        """Record the outcome of a probe."""
        self._check_requested = False
        self._probed_s = boottime_s()
        if reached:
            self.awaits_probe = False
            self.record_heard()
        else:
            self.awaits_probe = True
            self._suspend()

    def record_success(self) -> None:
        """Record a successful response."""
        self.record_heard()
        self.failure_ratio += FAILURE_RATIO_WEIGHT * (0.0 - self.failure_ratio)
        self._consecutive_failures = 0
        self._suspension_s = 0.0
        self.suspended_until_s = 0.0
        self.awaits_probe = False

    def record_failure(self, failure: Failure) -> bool:
        """Record a failure; return whether it starts a suspension."""
        self.failure_ratio += FAILURE_RATIO_WEIGHT * (1.0 - self.failure_ratio)
        if failure in ANSWERED:
            self.record_heard()
            return False
        self._consecutive_failures += 1
        if failure not in UNREACHABLE and self._consecutive_failures < SUSPEND_AFTER_FAILURES:
            return False
        was_suspended = self.is_suspended()
        if failure in UNREACHABLE:
            self.awaits_probe = True
        if not was_suspended:
            self._suspend()
        return not was_suspended

    def _suspend(self) -> None:
        self._suspension_s = min(MAX_SUSPENSION_S, 2 * self._suspension_s or FIRST_SUSPENSION_S)
        self.suspended_until_s = boottime_s() + self._suspension_s
