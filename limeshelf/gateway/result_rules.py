"""What the result of one attempt says about its replica, and about the call.

The rules (:func:`classify_for_replica`, :func:`classify_for_call`) are separate from
their application: :func:`apply_finding` to the replica's health and to the directory, and
:mod:`limeshelf.gateway.quarantine` to the call.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from limeshelf.gateway.exchange import (
    Broken,
    Delivered,
    FailureCause,
    NeverRan,
    NotSent,
    WholeAnswer,
)
from limeshelf.replicas.health import Failure
from limeshelf.replicas.holdings import forget_holding

if TYPE_CHECKING:
    from limeshelf.calls.call import ModelNeed
    from limeshelf.gateway.exchange import AttemptResult
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Statuses from here on are the replica's own failures (RFC 9110, section 15.6).
STATUS_SERVER_ERROR = 500

_FAILURE_BY_CAUSE = {
    FailureCause.CONNECTION_BROKEN: Failure.BROKEN,
    FailureCause.SILENT: Failure.SILENT,
    FailureCause.FOREIGN_ANSWER: Failure.FOREIGN,
    FailureCause.CUT_SHORT: Failure.BROKEN,
    FailureCause.EVENT_TOO_LONG: Failure.BROKEN,
}


@dataclass(frozen=True)
class Served:
    """The replica answered."""


@dataclass(frozen=True)
class Failed:
    """The replica failed; its health says whether it is left alone for a while.

    :param excluded: this call is not sent there again.
    """

    failure: Failure
    excluded: bool


@dataclass(frozen=True)
class LacksModel:
    """The replica is there, but no longer holds the model or adapter."""


@dataclass(frozen=True)
class Replaced:
    """Another replica answered at the replica's address."""


@dataclass(frozen=True)
class NoFinding:
    """The call's own time was over, or it was withheld; that says nothing about the replica."""


ReplicaFinding = Served | Failed | LacksModel | Replaced | NoFinding


def classify_for_replica(result: AttemptResult, is_model_call: bool) -> ReplicaFinding:
    """Return what *result* says about the replica.

    :param is_model_call: whether the call was for a model; a plain replica that does not
        take a call for itself must be another one.
    """
    if isinstance(result, NeverRan):
        if not result.reached:
            return Failed(Failure.NO_CONNECTION, excluded=True)
        if result.misdirected:
            return LacksModel() if is_model_call else Replaced()
        return Failed(Failure.REFUSED, excluded=True)
    if isinstance(result, Broken | NotSent):
        if result.cause in (FailureCause.TIME_OVER, FailureCause.WITHHELD):
            return NoFinding()
        return Failed(_FAILURE_BY_CAUSE[result.cause], excluded=True)
    if isinstance(result, WholeAnswer) and result.head.status >= STATUS_SERVER_ERROR:
        # Not excluded: the answer may be the call's fault, and returns as it is.
        return Failed(Failure.ERROR_STATUS, excluded=False)
    return Served()


class CallFinding(enum.Enum):
    """What the result of an attempt says about the call."""

    #: A run came to its end, good or bad.
    FINISHED = enum.auto()
    #: The replica answered, and did not run it to its end.
    REFUSED = enum.auto()
    #: The connection ended before the answer was whole: the replica may have ended.
    DISCONNECTED = enum.auto()
    #: Nothing: the time was over, or nobody or another replica answered.
    NONE = enum.auto()


#: The connection itself ended; in all other cases the replica is there, or is silent.
_DISCONNECT_CAUSES = frozenset({FailureCause.CONNECTION_BROKEN, FailureCause.CUT_SHORT})


def classify_for_call(result: AttemptResult) -> CallFinding:
    """Return what *result* says about the call."""
    if isinstance(result, Delivered | WholeAnswer):
        return CallFinding.FINISHED
    if isinstance(result, NeverRan) and result.reached and not result.misdirected:
        return CallFinding.REFUSED
    if isinstance(result, Broken) and result.cause in _DISCONNECT_CAUSES:
        return CallFinding.DISCONNECTED
    return CallFinding.NONE


def excludes_replica(finding: ReplicaFinding) -> bool:
    """Return whether the call is not sent to that replica again."""
    return isinstance(finding, LacksModel | Replaced) or (
        isinstance(finding, Failed) and finding.excluded
    )


def apply_finding(
    finding: ReplicaFinding, replica: Replica, need: ModelNeed | None, directory: ReplicaDirectory
) -> bool:
    """Note a lesson; return whether the replica is left alone for a while from now on."""
    if isinstance(finding, Served):
        replica.health.succeeded()
    elif isinstance(finding, Failed):
        return replica.health.failed(finding.failure)
    elif isinstance(finding, LacksModel) and need is not None:
        forget_holding(replica, need.model, need.adapter)
    elif isinstance(finding, Replaced):
        directory.mark_gone(replica, 'misdirected')
    return False
