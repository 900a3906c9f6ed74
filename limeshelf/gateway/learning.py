"""What the result of one attempt says about its replica, and about the call.

The rules (:func:`lesson_of`, :func:`call_lesson_of`) are separate from their application:
:func:`apply` to the replica's health and to the directory, and
:mod:`limeshelf.gateway.quarantine` to the call.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from limeshelf.gateway.exchange import (
    Broken,
    BrokenBy,
    Delivered,
    NeverRan,
    NotSent,
    WholeAnswer,
)
from limeshelf.replicas.health import Failure
from limeshelf.replicas.holdings import forget_holding

if TYPE_CHECKING:
    from limeshelf.calls.call import ModelNeed
    from limeshelf.gateway.exchange import Result
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Statuses from here on are the replica's own failures (RFC 9110, section 15.6).
STATUS_SERVER_ERROR = 500

_FAILURES = {
    BrokenBy.CONNECTION_BROKEN: Failure.BROKEN,
    BrokenBy.SILENT: Failure.SILENT,
    BrokenBy.FOREIGN_ANSWER: Failure.FOREIGN,
    BrokenBy.CUT_SHORT: Failure.BROKEN,
    BrokenBy.EVENT_TOO_LONG: Failure.BROKEN,
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
class Nothing:
    """The call's own time was over, or it was withheld; that says nothing about the replica."""


Lesson = Served | Failed | LacksModel | Replaced | Nothing


def lesson_of(result: Result, to_engine: bool) -> Lesson:
    """Return what *result* says about the replica.

    :param to_engine: whether the call was for a model; a plain replica that does not
        take a call for itself must be another one.
    """
    if isinstance(result, NeverRan):
        if not result.reached:
            return Failed(Failure.NO_CONNECTION, excluded=True)
        if result.misdirected:
            return LacksModel() if to_engine else Replaced()
        return Failed(Failure.REFUSED, excluded=True)
    if isinstance(result, Broken | NotSent):
        if result.by in (BrokenBy.TIME_OVER, BrokenBy.WITHHELD):
            return Nothing()
        return Failed(_FAILURES[result.by], excluded=True)
    if isinstance(result, WholeAnswer) and result.facts.status >= STATUS_SERVER_ERROR:
        # Not excluded: the answer may be the call's fault, and returns as it is.
        return Failed(Failure.ERROR_STATUS, excluded=False)
    return Served()


class CallLesson(enum.Enum):
    """What the result of an attempt says about the call."""

    #: A run came to its end, good or bad.
    FINISHED = enum.auto()
    #: The replica answered, and did not run it to its end.
    REFUSED = enum.auto()
    #: The connection ended before the answer was whole: the replica may have ended.
    BROKEN_OFF = enum.auto()
    #: Nothing: the time was over, or nobody or another replica answered.
    NOTHING = enum.auto()


#: The connection itself ended; in all other cases the replica is there, or is silent.
_CONNECTION_ENDED = frozenset({BrokenBy.CONNECTION_BROKEN, BrokenBy.CUT_SHORT})


def call_lesson_of(result: Result) -> CallLesson:
    """Return what *result* says about the call."""
    if isinstance(result, Delivered | WholeAnswer):
        return CallLesson.FINISHED
    if isinstance(result, NeverRan) and result.reached and not result.misdirected:
        return CallLesson.REFUSED
    if isinstance(result, Broken) and result.by in _CONNECTION_ENDED:
        return CallLesson.BROKEN_OFF
    return CallLesson.NOTHING


def excludes(lesson: Lesson) -> bool:
    """Return whether the call is not sent to that replica again."""
    return isinstance(lesson, LacksModel | Replaced) or (
        isinstance(lesson, Failed) and lesson.excluded
    )


def apply(
    lesson: Lesson, replica: Replica, need: ModelNeed | None, directory: ReplicaDirectory
) -> bool:
    """Note a lesson; return whether the replica is left alone for a while from now on."""
    if isinstance(lesson, Served):
        replica.health.record_success()
    elif isinstance(lesson, Failed):
        return replica.health.record_failure(lesson.failure)
    elif isinstance(lesson, LacksModel) and need is not None:
        forget_holding(replica, need.model, need.adapter)
    elif isinstance(lesson, Replaced):
        directory.mark_gone(replica, 'misdirected')
    return False
