"""Whether a call waits for a replica that can run it, or is refused at once.

Asked when no replica that may be used holds what the call needs, or, for a plain call,
when its service has no replica. Holding is right only while the call can still be served
in time; a refusal says when the model is expected. What was refused before is held as
long as its caller waits: refusing it again costs more than serving it late.
Owns nothing; relies on :mod:`limeshelf.admission.patience` for how long a call may wait.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from limeshelf.admission import come_back
from limeshelf.admission.patience import announced_left_s, hold_left_s, patience_left_s

if TYPE_CHECKING:
    from limeshelf.calls.routes import Route

#: Pause before a waiting call asks for a replica again; changes wake it earlier.
RECHECK_S = 0.05
#: Time in which the leader says when an absent model will be there, at the most this share of
#: the objective, so that a refusal still comes early.
ANNOUNCE_S = 0.5
ANNOUNCE_SHARE = 0.2


@dataclass(frozen=True)
class AbsentModel:
    """A call without a replica that can run it now.

    :param expected_wait_s: until a replica likely can, in seconds; 0 where one holds
        what the call needs, but refused it.
    :param waited_s: since the call arrived, in seconds.
    :param left_s: until the call's time is over, in seconds.
    :param returned: the caller was refused before and has come back.
    :param announced: the leader has said when the model will be there.
    :param excluded: replicas of this call are left out because of what they answered.
    :param answer_started: a part of the answer is with the caller already.
    """

    route: Route
    expected_wait_s: float
    waited_s: float
    left_s: float
    returned: bool
    announced: bool
    excluded: bool
    answer_started: bool


@dataclass(frozen=True)
class Hold:
    """The call waits, and asks for a replica again.

    :param wait_s: until it asks again, in seconds, unless a change comes earlier.
    :param retry_excluded: replicas that refused it are asked again too.
    """

    wait_s: float
    retry_excluded: bool


@dataclass(frozen=True)
class RefuseUntilReady:
    """The call is refused; it comes back when the model is expected.

    :param expected_wait_s: until a replica can likely run it, in seconds.
    :param retry_after_s: the time to come back that the refusal states, in seconds.
    """

    expected_wait_s: float
    retry_after_s: float


def decide_absent(absent: AbsentModel) -> Hold | RefuseUntilReady:
    """Return whether the call is held."""
    retry_excluded = absent.excluded and absent.expected_wait_s <= 0
    # All that could run it refused; they may take it a little later.
    wait_s = RECHECK_S if retry_excluded else absent.expected_wait_s
    if absent.answer_started or _announcement_due(absent) or wait_s <= _bearable_s(absent):
        return Hold(min(RECHECK_S, absent.left_s), retry_excluded)
    return RefuseUntilReady(wait_s, come_back.when_ready_s(wait_s, absent.left_s))


def _bearable_s(absent: AbsentModel) -> float:
    """Return how much longer the call may be held, in seconds."""
    if absent.returned:
        return patience_left_s(absent.route, absent.waited_s)
    if absent.announced and not absent.excluded:
        return announced_left_s(absent.route, absent.waited_s)
    return hold_left_s(absent.route, absent.waited_s)


def _announcement_due(absent: AbsentModel) -> bool:
    """Return whether the leader has yet to say how long the model takes.

    The call that waits is what reports the need to it.
    """
    limit_s = min(ANNOUNCE_S, ANNOUNCE_SHARE * absent.route.objective_s)
    return not absent.announced and absent.waited_s < limit_s
