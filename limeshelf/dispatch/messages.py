"""Messages between a gateway that serves a call and the one that dispatches calls."""

from __future__ import annotations

import enum

import attrs
import msgspec

from limeshelf.demand.keys import ModelKey
from limeshelf.peers.messages import add_message


class VerdictKind(enum.StrEnum):
    """What the dispatcher says of a call."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    ABSENT = 'absent'
    REFUSED = 'refused'


class Stage(enum.StrEnum):
    """How far a granted call has come."""

    READ = 'read'
    ENDED = 'ended'


class SharedPart(msgspec.Struct, array_like=True):
    """A part of a prompt that other calls may share."""

    part_id: str
    tokens: int


@add_message('dispatch-query')
@attrs.frozen
class DispatchQuery:
    """Asks for a replica for a call; asking again for the same ticket changes nothing.

    :param prompt_tokens: of the whole prompt, shared parts included.
    :param objective_ms: time left until the first event is late.
    :param left_ms: time left for the call.
    :param pause_ms: longest pause between events that keeps an answer in time.
    :param returned: the caller was refused before and has come back.
    :param excluded: replicas that refused or failed this call.
    """

    ticket_id: str
    key: ModelKey
    prompt_tokens: int
    likely_tokens: int
    priority: int
    objective_ms: int
    left_ms: int
    pause_ms: int
    data_centre: str
    parts: list[SharedPart]
    excluded: list[str]
    returned: bool = False


@add_message('dispatch-verdict')
@attrs.frozen
class DispatchVerdict:
    """Answers a query, now or when a replica has room.

    :param replica_id: where the call goes; empty unless granted.
    :param wait_ms: time until a replica likely has room, where it is refused.
    """

    ticket_id: str
    kind: VerdictKind
    replica_id: str
    wait_ms: int = 0


@add_message('dispatch-progress')
@attrs.frozen
class DispatchProgress:
    """Says that a granted call's prompt was read, or that the call has ended."""

    ticket_id: str
    stage: Stage
