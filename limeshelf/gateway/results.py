"""Results of one attempt of a call, at a replica or through another gateway.

Each says what is known of the call: its answer, that it did not run, or that it may have run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.calls.wire import AnswerHead
    from limeshelf.errors import NotRun


class FailureCause(enum.StrEnum):
    """Why an attempt gave no complete answer; the result type says whether it may have run."""

    #: The connection broke before the head of the answer, or the answer could not be parsed.
    CONNECTION_BROKEN = 'connection_broken'
    #: No head arrived within the attempt's time limit for it.
    SILENT = 'silent'
    #: The answer carries another call's id, or lacks the replica's signature.
    FOREIGN_ANSWER = 'foreign_answer'
    #: The body or stream was truncated.
    CUT_SHORT = 'cut_short'
    #: An event of a stream exceeded its size limit.
    EVENT_TOO_LONG = 'event_too_long'
    #: The memory for requests and answers was used up.
    BUFFERS_FULL = 'buffers_full'
    #: The call's deadline passed first.
    TIME_OVER = 'time_over'
    #: Since its selection the replica asked not to get this call (rate, pause or leaving).
    WITHHELD = 'withheld'


@dataclass(frozen=True)
class Delivered:
    """The complete answer was sent to the caller.

    :param status: HTTP status of the answer.
    :param time_to_head_s: time from the send to the head of the answer, in seconds.
    :param longest_pause_s: longest time between two events of the stream, in seconds.
    """

    status: int
    time_to_head_s: float
    longest_pause_s: float = 0.0


@dataclass(frozen=True)
class WholeAnswer:
    """A complete answer, no stream, that was not yet sent to the caller.

    :param time_to_head_s: time from the send to the head of the answer, in seconds.
    """

    head: AnswerHead
    body: bytes
    time_to_head_s: float


@dataclass(frozen=True)
class NeverRan:
    """The replica did not run the call and never will.

    :param reached: whether the call reached the replica.
    :param misdirected: whether another replica answered, or the replica lacks the model.
    :param status: HTTP status of its answer; 0 if it was not reached.
    """

    reached: bool
    misdirected: bool = False
    status: int = 0


@dataclass(frozen=True)
class NotSent:
    """The replica never received the call.

    :param cause: ``SILENT`` or ``TIME_OVER`` where the attempt's time limit or the call's deadline
        passed before there was a connection; ``WITHHELD`` where the call could no longer be sent.
    """

    cause: FailureCause


@dataclass(frozen=True)
class Broken:
    """The replica may have run the call, and gave no complete, valid answer.

    :param status: HTTP status of an answer that is not valid; 0 without one.
    :param answer_id: id of the call that this answer names; ``None`` if it names none.
    """

    cause: FailureCause
    status: int = 0
    answer_id: str | None = None


@dataclass(frozen=True)
class NotCarried:
    """Another gateway was asked to carry the call, which did not run and never will.

    :param outcome: why it did not run.
    :param is_final: whether other gateways would give the same answer.
    :param is_unreachable: whether no connection to the gateway could be opened.
    """

    outcome: NotRun
    is_final: bool = False
    is_unreachable: bool = False


@dataclass(frozen=True)
class CarriedAnswer:
    """The complete answer, no stream, of the replica to which another gateway sent the call.

    That gateway has made all retries that the call is allowed.
    """

    answer: WholeAnswer


@dataclass(frozen=True)
class FailedElsewhere:
    """The call may have run, and the gateway that carried it got no complete answer."""


ReplicaResult = Delivered | WholeAnswer | NeverRan | NotSent | Broken
ForwardResult = NotCarried | CarriedAnswer | FailedElsewhere
AttemptResult = ReplicaResult | ForwardResult
