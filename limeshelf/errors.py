"""Exceptions and request outcomes shared by all packages."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass, field
from typing import Any


class RefusalReason(enum.StrEnum):
    """Why a request did not run."""

    BAD_REQUEST = 'bad_request'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_ROUTE = 'unknown_route'
    NO_READY_REPLICA = 'no_ready_replica'
    OVERLOADED = 'overloaded'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_UNREACHABLE = 'upstream_unreachable'
    CLAIMS_UNAVAILABLE = 'claims_unavailable'
    KEY_REUSED = 'idempotency_key_reused'
    STARTING = 'starting'
    STOPPING = 'stopping'
    UNKNOWN_KEY = 'unknown_key'
    CONFIG_TOO_OLD = 'config_too_old'
    OVER_LIMIT = 'over_limit'
    LIMIT_UNKNOWN = 'limit_unknown'
    QUARANTINED = 'quarantined'
    #: A stream may go on at the software version that began it only, which nobody knows...
    STREAM_ORIGIN_UNKNOWN = 'stream_origin_unknown'
    #: ...or of which no replica serves what the call needs.
    STREAM_VERSION_GONE = 'stream_version_gone'


class MayHaveRunReason(enum.StrEnum):
    """Why it is unknown whether a request ran."""

    CONNECTION_LOST = 'connection_lost'
    ANSWER_TIMEOUT = 'answer_timeout'
    ANSWER_CUT = 'answer_cut'
    ANSWER_FOREIGN = 'answer_foreign'
    CLAIM_UNSETTLED = 'claim_unsettled'
    STOPPED = 'stopped'


class OutcomeKind(enum.StrEnum):
    """The value of the outcome header of every answer."""

    COMPLETED = 'completed'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


@dataclass(frozen=True)
class Completed:
    """The complete answer reached the instance that serves the caller."""


@dataclass(frozen=True)
class NotRun:
    """The upstream never received the request; repeating it is safe.

    :param reason: why it was refused.
    :param retry_after_s: retry delay in seconds; ``None`` if a retry of the same request is
        pointless.
    :param detail: human-readable explanation, one sentence.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ''


@dataclass(frozen=True)
class MayHaveRun:
    """The upstream may have run the request; repeating it is not safe."""

    reason: MayHaveRunReason
    detail: str = ''


Outcome = Completed | NotRun | MayHaveRun


@dataclass(eq=False)
class LimeshelfError(Exception):
    """Base class of the project's exceptions."""

    def __str__(self) -> str:
        return ', '.join(f'{name}={value!r}' for name, value in vars(self).items())


@dataclass(eq=False)
class RequestNotRun(LimeshelfError):
    """Passes a :class:`NotRun` outcome to the HTTP layer."""

    outcome: NotRun


@dataclass(eq=False)
class RequestMayHaveRun(LimeshelfError):
    """Passes a :class:`MayHaveRun` outcome to the HTTP layer."""

    outcome: MayHaveRun


@dataclass(eq=False)
class InvalidRequest(LimeshelfError):
    """A caller's request is malformed.

    :param field_name: path of the invalid field in the request.
    :param problem: description of the error.
    :param status: HTTP status code, 400 to 499.
    """

    field_name: str
    problem: str
    status: int = 400


@dataclass(eq=False)
class UpstreamRefused(LimeshelfError):
    """The upstream answered that it did not run the request."""

    upstream_id: str
    retry_after_s: float | None
    leaving: bool = False


@dataclass(eq=False)
class UpstreamUnreachable(LimeshelfError):
    """No byte of the request left this process."""

    upstream_id: str


class BuffersFull(LimeshelfError):
    """A transfer was given up, since the memory for requests and answers is used up."""


@dataclass(eq=False)
class SendWithheld(LimeshelfError):
    """A call was cancelled before its send; no byte of it left this process."""


@dataclass(eq=False)
class ExchangeBroken(LimeshelfError):
    """The exchange ended after bytes may have been sent and before the answer was complete."""

    upstream_id: str
    reason: MayHaveRunReason


@dataclass(eq=False)
class PlatformUnavailable(LimeshelfError):
    """A platform service was unreachable; the operation had no effect."""

    service: str


@dataclass(eq=False)
class PlatformUnknown(LimeshelfError):
    """A platform operation was sent, but its effect is unknown."""

    service: str


@dataclass(eq=False)
class AnswerLate(PlatformUnknown):
    """A platform operation has taken too long so far.

    :param answer: ends with the operation's result or error, if its answer still arrives;
        cancelled if it is not waited for any more.
    """

    answer: asyncio.Task[Any] = field(repr=False)

    def __str__(self) -> str:
        return f'service={self.service!r}'


@dataclass(frozen=True)
class Problem:
    """One error in a JSON document.

    :param path: location in the document, in dotted form.
    :param message: description of the error, with the expected type or unit.
    """

    path: str
    message: str


@dataclass(eq=False)
class InvalidDocument(LimeshelfError):
    """A settings file or a configuration is invalid; lists all errors."""

    problems: list[Problem] = field(default_factory=list)


class IncompleteDocument(InvalidDocument):
    """A file is missing or is not a whole document, as while it is being written."""


@dataclass(eq=False)
class UnknownName(LimeshelfError):
    """A registry has no entry of that name, or has it already on registration."""

    registry: str
    name: str
    known: tuple[str, ...]


@dataclass(eq=False)
class StaleRevision(LimeshelfError):
    """An update is not based on the revision in force."""

    have: int
    based_on: int
