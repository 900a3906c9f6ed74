"""Messages between a gateway that serves a call and the one that dispatches calls.

What they call a ticket is a request elsewhere, and their parts are blocks of the prompt;
the names of encoded fields stay as they are.
"""

from __future__ import annotations

import enum

import attrs
import msgspec

from limeshelf.demand.keys import ModelKey
from limeshelf.peers.messages import add_message


class VerdictKind(enum.StrEnum):
    """What the dispatcher decided on a request.

    Granted, absent (no replica that is not excluded holds what it needs) and refused are
    final; a queued one gets another verdict later.
    """

    GRANTED = 'granted'
    QUEUED = 'queued'
    ABSENT = 'absent'
    REFUSED = 'refused'


class Stage(enum.StrEnum):
    """How far a request has come: its prompt was read, or it is over or withdrawn."""

    READ = 'read'
    ENDED = 'ended'


class SharedPart(msgspec.Struct, array_like=True):
    """A block of a prompt that other calls may share.

    :param part_id: names the block's content.
    :param tokens: of the block.
    """

    part_id: str
    tokens: int


@add_message('dispatch-query')
@attrs.frozen
class DispatchQuery:
    """Asks for a replica for a call; asking again with the same id changes nothing.

    :param ticket_id: id of the request, given by the asking gateway.
    :param prompt_tokens: of the whole prompt, shared blocks included.
    :param likely_tokens: the caller's guess at the generated tokens.
    :param priority: of the route; 0 is the most urgent.
    :param objective_ms: time left until the first event is late.
    :param left_ms: time left until the caller gives up.
    :param pause_ms: longest pause between events that keeps an answer in time.
    :param data_centre: of the asking gateway.
    :param parts: blocks at the head of the prompt that other calls may share, in order.
    :param excluded: ids of replicas that refused or failed this call, or that the asking
        gateway cannot reach.
    :param returned: the caller was refused before and has come back.
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
    :param wait_ms: time until a replica likely has room, where it is refused or queued.
    :param has_turn: whether a turn at the replica goes with a grant.
    """

    ticket_id: str
    kind: VerdictKind
    replica_id: str
    wait_ms: int = 0
    has_turn: bool = False


@add_message('turn-query')
@attrs.frozen
class TurnQuery:
    """Asks the pacer of a replica for a turn of one call there.

    :param query_id: given by the asking gateway.
    :param born_ms: when the replica started, in milliseconds since 1970; ``None`` where it does
        not say so.
    :param rate_per_s: calls a second that it takes, as the asker knows it.
    :param heard_ms_ago: how long ago an answer last named that rate.
    :param patience_ms: how long the call can wait for its turn.
    """

    query_id: str
    replica_id: str
    born_ms: int | None
    rate_per_s: float
    heard_ms_ago: int
    patience_ms: int


@add_message('turn-verdict')
@attrs.frozen
class TurnVerdict:
    """Answers a query.

    :param wait_ms: until the call may go; where it may not, until another one likely may.
    """

    query_id: str
    granted: bool
    wait_ms: int


@add_message('dispatch-progress')
@attrs.frozen
class DispatchProgress:
    """Reports that a granted request's prompt was read, or that a request is over."""

    ticket_id: str
    stage: Stage
