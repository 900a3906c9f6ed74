"""Typed failures and tagged outcomes shared by every package."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class RefusalReason(enum.StrEnum):
    """Why a request was not run."""

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


class DoubtReason(enum.StrEnum):
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
    """The whole answer reached the caller's instance."""


@dataclass(frozen=True)
class NotRun:
    """The upstream never received the request; repeating it is safe.

    :param reason: why it was refused.
    :param retry_after_s: when to come back, in seconds; ``None`` where coming
        back with the same request is not worth it.
    :param detail: one sentence for people.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ''


@dataclass(frozen=True)
class MayHaveRun:
    """The upstream may have run the request; repeating it is not safe."""

    reason: DoubtReason
    detail: str = ''


Outcome = Completed | NotRun | MayHaveRun


@dataclass(eq=False)
class LimeshelfError(Exception):
    """Base of all typed failures."""

    def __str__(self) -> str:
        return ', '.join(f'{name}={value!r}' for name, value in vars(self).items())


@dataclass(eq=False)
class RequestNotRun(LimeshelfError):
    """Carries a :class:`NotRun` outcome up to the HTTP layer."""

    outcome: NotRun


@dataclass(eq=False)
class RequestInDoubt(LimeshelfError):
    """Carries a :class:`MayHaveRun` outcome up to the HTTP layer."""

    outcome: MayHaveRun


@dataclass(eq=False)
class InvalidRequest(LimeshelfError):
    """A caller's request is malformed.

    :param field_name: path of the offending field in the request.
    :param problem: what is wrong with it.
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


@dataclass(eq=False)
class SendWithheld(LimeshelfError):
    """A call was not sent after all; no byte of it left this process."""


@dataclass(eq=False)
class ExchangeBroken(LimeshelfError):
    """The exchange ended after bytes may have left and before a whole answer."""

    upstream_id: str
    reason: DoubtReason


@dataclass(eq=False)
class PlatformUnavailable(LimeshelfError):
    """A platform service was not reached; the operation had no effect."""

    service: str


@dataclass(eq=False)
class PlatformUnknown(LimeshelfError):
    """A platform operation was sent, and its effect is unknown."""

    service: str


@dataclass(frozen=True)
class Problem:
    """One fault of a JSON document.

    :param path: place in the document, in dotted form.
    :param message: what is wrong, with the expected type or unit.
    """

    path: str
    message: str


@dataclass(eq=False)
class InvalidDocument(LimeshelfError):
    """A settings file or a configuration has faults; all are listed."""

    problems: list[Problem] = field(default_factory=list)


@dataclass(eq=False)
class UnknownName(LimeshelfError):
    """A registry has no entry of that name."""

    registry: str
    name: str
    known: tuple[str, ...]


@dataclass(eq=False)
class StaleRevision(LimeshelfError):
    """An update does not extend the revision in force."""

    have: int
    based_on: int
