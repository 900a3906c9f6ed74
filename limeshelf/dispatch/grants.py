"""What a model call requests from the dispatcher, and the results it can get.

Owns only these types. The dispatcher relies on each grant to report its end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.dispatch.messages import DispatchProgress, Stage

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.call import ModelNeed
    from limeshelf.demand.keys import ModelKey


@attrs.frozen
class GrantRequest:
    """A call's request for a replica.

    :param priority: of the route; 0 is the most urgent.
    :param objective_s: time left until the first event is late.
    :param left_s: time left until the caller gives up waiting for the first event.
    :param pause_s: longest pause between events within the latency objective.
    :param excluded: ids of replicas that refused or failed this call, or that this gateway cannot
        reach.
    :param is_caller_retry: the caller retries after a refusal.
    """

    key: ModelKey
    need: ModelNeed
    priority: int
    objective_s: float
    left_s: float
    pause_s: float
    excluded: frozenset[str]
    is_caller_retry: bool


@attrs.frozen
class NoHolder:
    """No replica that is not excluded holds the model or adapter that the call needs."""


@attrs.frozen
class NoCapacity:
    """Some replicas hold what the call needs, but none is expected to have capacity in time.

    :param wait_s: estimated time until one has capacity.
    """

    wait_s: float


@attrs.define(eq=False)
class Grant:
    """A replica that the call may be sent to.

    The receiver must call :meth:`report_ended` once, whatever the outcome of the call; otherwise
    the dispatcher counts the call at the replica until the grant expires.

    :ivar replica_id: the replica to send the call to.
    :ivar has_permit: the grant includes a rate permit of the replica.
    """

    request_id: str
    replica_id: str
    _report: Callable[[DispatchProgress], None]
    has_permit: bool = False
    _prefill_reported: bool = False

    def report_prefilled(self) -> None:
        """Report the first event, which shows that the prefill has finished."""
        if not self._prefill_reported:
            self._prefill_reported = True
            self._report(DispatchProgress(self.request_id, Stage.READ))

    def report_ended(self) -> None:
        """Report that the replica no longer runs the call."""
        self._report(DispatchProgress(self.request_id, Stage.ENDED))
