"""Rules for what the result of one attempt means for its replica, and for the call.

The rules (:func:`classify_for_replica`, :func:`classify_for_call`) have no side effects.
:func:`apply_finding` updates the replica's health and the directory, and
:mod:`limeshelf.gateway.quarantine` updates the state of the call.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from limeshelf.gateway.results import (
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
    from limeshelf.gateway.results import ReplicaResult
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Lowest status that reports a failure of the replica itself (RFC 9110, section 15.6).
STATUS_SERVER_ERROR = 500

_FAILURE_BY_CAUSE = {
    FailureCause.CONNECTION_BROKEN: Failure.BROKEN,
    FailureCause.SILENT: Failure.SILENT,
    FailureCause.FOREIGN_ANSWER: Failure.FOREIGN,
    FailureCause.CUT_SHORT: Failure.BROKEN,
    FailureCause.EVENT_TOO_LONG: Failure.BROKEN,
    FailureCause.BUFFERS_FULL: Failure.BROKEN,
}


@dataclass(frozen=True)
class Served:
    """The replica answered."""


@dataclass(frozen=True)
class Failed:
    """The replica failed; its health decides whether it is suspended.

    :param excluded: whether this call must not be sent to the replica again.
    """

    failure: Failure
    excluded: bool


@dataclass(frozen=True)
class LacksModel:
    """The replica is reachable, but no longer holds the model or adapter."""


@dataclass(frozen=True)
class Replaced:
    """Another replica answered at the replica's address."""


@dataclass(frozen=True)
class NoFinding:
    """The call's deadline passed, or it was withheld; neither is a fault of the replica."""


ReplicaFinding = Served | Failed | LacksModel | Replaced | NoFinding


def classify_for_replica(result: ReplicaResult, is_model_call: bool) -> ReplicaFinding:
    """Return what *result* means for the replica.

    :param is_model_call: whether the call was for a model. A plain service has no models, so a
        misdirected answer there means that another replica uses the address.
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
        # Not excluded: the call itself may cause the error, which the caller gets unchanged.
        return Failed(Failure.ERROR_STATUS, excluded=False)
    return Served()


class CallFinding(enum.Enum):
    """What the result of an attempt means for the call."""

    #: A run finished, with success or an error.
    FINISHED = enum.auto()
    #: The replica refused it.
    REFUSED = enum.auto()
    #: The connection ended before the answer was complete: the replica may have crashed.
    DISCONNECTED = enum.auto()
    #: This gateway gave it up; the replica may still run it.
    ABANDONED = enum.auto()
    #: No connection to the replica could be opened.
    NOT_CONNECTED = enum.auto()
    #: Not sent, or an answer of another replica.
    NONE = enum.auto()


#: The connection itself ended; in all other cases the replica is up, or silent.
_DISCONNECT_CAUSES = frozenset({FailureCause.CONNECTION_BROKEN, FailureCause.CUT_SHORT})


def classify_for_call(result: ReplicaResult) -> CallFinding:
    """Return what *result* means for the call."""
    if isinstance(result, Delivered | WholeAnswer):
        return CallFinding.FINISHED
    if isinstance(result, NeverRan) and result.reached and not result.misdirected:
        return CallFinding.REFUSED
    if isinstance(result, NeverRan) and not result.reached:
        return CallFinding.NOT_CONNECTED
    if isinstance(result, Broken) and result.cause in _DISCONNECT_CAUSES:
        return CallFinding.DISCONNECTED
    if isinstance(result, Broken) and result.cause is not FailureCause.FOREIGN_ANSWER:
        return CallFinding.ABANDONED
    return CallFinding.NONE


def excludes_replica(finding: ReplicaFinding) -> bool:
    """Return whether the call must not be sent to that replica again."""
    return isinstance(finding, LacksModel | Replaced) or (
        isinstance(finding, Failed) and finding.excluded
    )


def was_reached(result: ReplicaResult) -> bool:
    """Return whether there was a connection to the replica."""
    if isinstance(result, NeverRan):
        return result.reached
    return not isinstance(result, NotSent)


def apply_finding(
    finding: ReplicaFinding, replica: Replica, need: ModelNeed | None, directory: ReplicaDirectory
) -> bool:
    """Apply a finding to its replica; return whether it suspended the replica."""
    if isinstance(finding, Served):
        replica.health.record_success()
    elif isinstance(finding, Failed):
        return replica.health.record_failure(finding.failure)
    elif isinstance(finding, LacksModel) and need is not None:
        forget_holding(replica, need.model, need.adapter)
    elif isinstance(finding, Replaced):
        directory.mark_gone(replica, 'misdirected')
    return False
