"""What a model call asks the dispatcher for, and the answers that the call can get.

Owns these types alone; the dispatcher relies on each grant to report its end.
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
    """What a call asks the dispatcher for.

    :param priority: of the route; 0 is the most urgent.
    :param objective_s: time left until the first event is late.
    :param left_s: time until the caller gives up waiting for the first event.
    :param pause_s: longest pause between events that keeps the answer in time.
    :param excluded: ids of replicas that refused or failed this call, or that this
        gateway cannot reach.
    :param returned: the caller was refused before and has come back.
    """

    key: ModelKey
    need: ModelNeed
    priority: int
    objective_s: float
    left_s: float
    pause_s: float
    excluded: frozenset[str]
    returned: bool


@attrs.frozen
class NoHolder:
    """No replica that is not excluded holds the model or adapter that the call needs."""


@attrs.frozen
class NoRoom:
    """Some replicas hold what the call needs, but none would have room in time.

    :param wait_s: time until one likely has room.
    """

    wait_s: float


@attrs.define(eq=False)
class Grant:
    """A replica that the call may be sent to.

    Whoever gets it has to call :meth:`report_ended` once, whatever becomes of the call;
    otherwise the dispatcher counts the call at the replica until its time is over.

    :ivar replica_id: where the call goes.
    :ivar has_turn: a turn at a replica that takes only so many calls a second goes with it.
    """

    request_id: str
    replica_id: str
    _report: Callable[[DispatchProgress], None]
    has_turn: bool = False
    _was_read: bool = False

    def report_read(self) -> None:
        """Report that the first event came, so that the prompt was read."""
        if not self._was_read:
            self._was_read = True
            self._report(DispatchProgress(self.request_id, Stage.READ))

    def report_ended(self) -> None:
        """Report that the call is no longer at the replica."""
        self._report(DispatchProgress(self.request_id, Stage.ENDED))
