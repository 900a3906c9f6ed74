"""Messages between a gateway that serves a call and the gateway that dispatches it.

Encoded names must not change, so some fields differ from the terms used elsewhere: a *ticket* is a
request, a *turn* is a rate permit, *parts* are prompt blocks, and the stage *read* means that the
prefill has finished.
"""

from __future__ import annotations

import enum

import attrs
import msgspec

from limeshelf.demand.keys import ModelKey
from limeshelf.peers.messages import add_message


class VerdictKind(enum.StrEnum):
    """Decision of the dispatcher on a request.

    Granted, absent (no replica that is not excluded holds what the request needs) and refused are
    final. A queued request gets another verdict later.
    """

    GRANTED = 'granted'
    QUEUED = 'queued'
    ABSENT = 'absent'
    REFUSED = 'refused'


class Stage(enum.StrEnum):
    """Progress of a request: its prefill has finished, or it has ended or was withdrawn."""

    READ = 'read'
    ENDED = 'ended'


class SharedPart(msgspec.Struct, array_like=True):
    """A block of a prompt that other calls may share.

    :param part_id: identifies the content of the block.
    :param tokens: in the block.
    """

    part_id: str
    tokens: int


@add_message('dispatch-query')
@attrs.frozen
class DispatchQuery:
    """Requests a replica for a call; repeating it with the same id has no further effect.

    :param ticket_id: id of the request, chosen by the requesting gateway.
    :param prompt_tokens: of the whole prompt, shared blocks included.
    :param likely_tokens: estimate by the caller of the tokens to generate.
    :param priority: of the route; 0 is the most urgent.
    :param objective_ms: time left until the first event is late.
    :param left_ms: time left until the caller gives up.
    :param pause_ms: longest pause between events within the latency objective.
    :param data_centre: of the requesting gateway.
    :param parts: blocks at the head of the prompt that other calls may share, in order.
    :param excluded: ids of replicas that refused or failed this call, or that the requesting
        gateway cannot reach.
    :param returned: the caller retries after a refusal.
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
    """Answers a query, immediately or once a replica has capacity.

    :param replica_id: the replica to send the call to; empty unless granted.
    :param wait_ms: estimated time until a replica has capacity, if refused or queued.
    :param has_turn: whether the grant includes a rate permit of the replica.
    """

    ticket_id: str
    kind: VerdictKind
    replica_id: str
    wait_ms: int = 0
    has_turn: bool = False


@add_message('turn-query')
@attrs.frozen
class PermitQuery:
    """Requests a rate permit for one call from the pacer of a replica.

    :param query_id: chosen by the requesting gateway.
    :param born_ms: start time of the replica, in milliseconds since 1970; ``None`` if the replica
        does not report it.
    :param rate_per_s: rate limit of the replica, as known to the requesting gateway.
    :param heard_ms_ago: time since the replica last reported that limit.
    :param patience_ms: longest time that the call can wait for its permit.
    """

    query_id: str
    replica_id: str
    born_ms: int | None
    rate_per_s: float
    heard_ms_ago: int
    patience_ms: int


@add_message('turn-verdict')
@attrs.frozen
class PermitVerdict:
    """Answers a permit query.

    :param wait_ms: time until the call may be sent; if not granted, estimated time until a permit
        is available.
    """

    query_id: str
    granted: bool
    wait_ms: int


@add_message('dispatch-progress')
@attrs.frozen
class DispatchProgress:
    """Reports that the prefill of a granted request has finished, or that a request has ended."""

    ticket_id: str
    stage: Stage
