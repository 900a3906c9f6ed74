"""Decides whether a call waits for a replica that can run it, or is refused at once.

Applies when no available replica holds what the call needs or, for a plain call, when its service
has no replica. A call is held only while it can still be served in time; a refusal states when the
model is expected. A call that was refused before is held as long as its caller waits, because
refusing it again costs more than serving it late.

Owns no state; :mod:`limeshelf.admission.wait_limits` defines how long a call may wait.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from limeshelf.admission import retry_after
from limeshelf.admission.wait_limits import (
    announced_left_s,
    first_event_timeout_left_s,
    hold_left_s,
)

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: Interval at which a held call requests a replica again; a change of replicas ends the wait
#: earlier.
RECHECK_INTERVAL_S = 0.05
#: Time allowed for the leader to announce when a missing model will be loaded, and its upper limit
#: as a share of the objective, which keeps a refusal early.
ANNOUNCEMENT_TIMEOUT_S = 0.5
ANNOUNCEMENT_OBJECTIVE_SHARE = 0.2


@dataclass(frozen=True)
class CallWithoutReplica:
    """A call for which no replica is available now.

    :param expected_wait_s: estimated time until a replica can run it, in seconds; 0 if one holds
        what the call needs, but refused it.
    :param waited_s: time since the call arrived, in seconds.
    :param left_s: time left for the call, in seconds.
    :param is_caller_retry: the caller retries after a refusal.
    :param announced: the leader has announced when the model will be loaded.
    :param excluded: some replicas are excluded because of their answers to this call.
    :param answer_started: part of the answer was already sent to the caller.
    """

    route: Route
    expected_wait_s: float
    waited_s: float
    left_s: float
    is_caller_retry: bool
    announced: bool
    excluded: bool
    answer_started: bool


@dataclass(frozen=True)
class Hold:
    """The call waits, then requests a replica again.

    :param wait_s: time until the next request, in seconds; changes end it earlier.
    :param retry_excluded: replicas that refused the call are tried again too.
    """

    wait_s: float
    retry_excluded: bool


@dataclass(frozen=True)
class RefuseUntilReady:
    """The call is refused until the model is expected.

    :param expected_wait_s: estimated time until a replica can run it, in seconds.
    :param retry_after_s: delay for the retry that the refusal states, in seconds.
    """

    expected_wait_s: float
    retry_after_s: float


def hold_or_refuse(call: CallWithoutReplica) -> Hold | RefuseUntilReady:
    """Return whether the call is held or refused."""
    retry_excluded = call.excluded and call.expected_wait_s <= 0
    # All replicas that could run it refused; they may accept it a little later.
    wait_s = RECHECK_INTERVAL_S if retry_excluded else call.expected_wait_s
    if call.answer_started or _announcement_due(call) or wait_s <= _max_wait_s(call):
        return Hold(min(RECHECK_INTERVAL_S, call.left_s), retry_excluded)
    return RefuseUntilReady(wait_s, retry_after.for_load_s(wait_s, call.left_s))


def _max_wait_s(call: CallWithoutReplica) -> float:
    """Return how much longer the call may be held, in seconds."""
    if call.is_caller_retry:
        return first_event_timeout_left_s(call.route, call.waited_s)
    if call.announced and not call.excluded:
        return announced_left_s(call.route, call.waited_s)
    return hold_left_s(call.route, call.waited_s)


def _announcement_due(call: CallWithoutReplica) -> bool:
    """Return whether to wait for the leader to announce how long the load takes.

    Holding the call reports the missing model to the leader, which then announces the load.
    """
    limit_s = min(ANNOUNCEMENT_TIMEOUT_S, ANNOUNCEMENT_OBJECTIVE_SHARE * call.route.objective_s)
    return not call.announced and call.waited_s < limit_s
