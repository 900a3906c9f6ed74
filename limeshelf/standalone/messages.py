"""Messages between the processes of limeshelf's own wire.

Owns the fields of each message; ``limeshelf.peers`` carries them between processes.
"""

from __future__ import annotations

from typing import Any

import attrs

from limeshelf.peers.messages import add_message
from limeshelf.standalone.config.delta import Change
from limeshelf.standalone.services.instances import Listed


@add_message('heartbeat')
@attrs.frozen
class Heartbeat:
    """Says that a process is alive, and at which revision.

    :param address: where the process listens for peers.
    :param serving: false while it starts or stops.
    """

    instance_id: str
    program: str
    data_centre: str
    address: str
    boot_id: str
    revision: int
    serving: bool


@add_message('config-changes')
@attrs.frozen
class ConfigChanges:
    """The changes that lead from one revision to a later one, step by step."""

    based_on: int
    steps: list[list[Change]]


@add_message('config-snapshot')
@attrs.frozen
class ConfigSnapshot:
    """A whole configuration as plain JSON."""

    revision: int
    document: dict[str, Any]


@add_message('config-pull')
@attrs.frozen
class ConfigPull:
    """Asks the receiver for what lies after a revision."""

    have_revision: int


@attrs.frozen
class UpstreamState:
    """A watched upstream, in few bytes.

    :param running: requests in work, including queued ones.
    :param ready_items: item ids ready for requests; ``None`` when unchanged
        since the last message about this boot.
    """

    upstream_id: str
    boot_id: str
    sequence: int
    reachable: bool
    leaving: bool
    running: int
    ready_items: list[str] | None


@add_message('upstream-states')
@attrs.frozen
class UpstreamStates:
    """States of upstreams of one data centre.

    :param relay: whether the receiver passes them on inside its data centre.
    """

    data_centre: str
    states: list[UpstreamState]
    relay: bool = False


@add_message('leaving')
@attrs.frozen
class LeavingNotice:
    """An upstream announced that it leaves, or refused work because it does."""

    upstream_id: str
    boot_id: str
    relay: bool = False


@attrs.frozen
class ItemDemand:
    """Requests for one item at one entry instance within the last period.

    :param waiting: requests now in flight.
    """

    item_id: str
    arrived: int
    refused: int
    waiting: int


@add_message('demand')
@attrs.frozen
class Demand:
    """Demand seen by one entry instance."""

    instance_id: str
    period_s: float
    items: list[ItemDemand]


@add_message('listed')
@attrs.frozen
class ListedInstances:
    """The instance list, as one process of the data centre has read it."""

    instances: list[Listed]


@add_message('reach')
@attrs.frozen
class Reach:
    """Revisions in force by process, of one data centre."""

    data_centre: str
    revisions: dict[str, int]
    relay: bool = False


@add_message('explain-query')
@attrs.frozen
class ExplainQuery:
    """Asks for the decisions made on a request."""

    query_id: str
    request_id: str


@add_message('explain-reply')
@attrs.frozen
class ExplainReply:
    """The decision lines kept for a request; empty if none."""

    query_id: str
    lines: list[str]


@attrs.frozen
class PolicySample:
    """Outcomes of the requests that one policy decided at one instance.

    :param ok: requests that met their first token target.
    :param first_token_s_sum: sum of first token times, for the mean.
    :param first_token_s_squares: sum of their squares, for the deviation.
    """

    kind: str
    policy: str
    priority_class: str
    requests: int
    ok: int
    refused: int
    first_token_s_sum: float
    first_token_s_squares: float


@add_message('samples-query')
@attrs.frozen
class SamplesQuery:
    """Asks for the samples of all policies."""

    query_id: str


@add_message('samples-reply')
@attrs.frozen
class SamplesReply:
    """Samples of one entry instance."""

    query_id: str
    instance_id: str
    samples: list[PolicySample]
