"""Messages between the gateways: loads, demand, reports of replicas, rows of the store."""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.fleet.demand import KeyDemand, ModelKey
from limeshelf.peers.messages import add_message


class ReplicaLoad(msgspec.Struct, array_like=True):
    """What a process has under way at a replica."""

    replica_id: str
    calls: int
    tokens: int
    suspended: bool = False


class HeldModel(msgspec.Struct, array_like=True):
    """A model with its ready adapters."""

    model: str
    adapters: list[str]


class ReplicaState(msgspec.Struct, array_like=True):
    """What a replica reported to the leader.

    :ivar age_ms: how long ago it did.
    """

    replica_id: str
    order_number: int
    held: list[HeldModel]
    queued: int
    running: int
    memory_used: int
    leaving: bool


class AwaitedLoad(msgspec.Struct, array_like=True):
    """A load under way, and the time until it is likely done."""

    key: ModelKey
    left_ms: int


class TableRow(msgspec.Struct, array_like=True):
    """A row of the store, as new as the sender knows it."""

    key: str
    value: bytes
    version: int
    gone: bool


class TableRows(msgspec.Struct, array_like=True):
    """Rows of one table."""

    table: str
    rows: list[TableRow]


@add_message('gateway-digest')
@attrs.frozen
class GatewayDigest:
    """What a gateway tells all others some times a second.

    :param fence: of the lease that it holds; 0 if it holds none.
    :param reached: whether it follows the store at this moment.
    """

    instance_id: str
    address: str
    config_version: int
    fence: int
    reached: bool
    loads: list[ReplicaLoad]
    demands: list[KeyDemand]


@add_message('gateway-leaving')
@attrs.frozen
class GatewayLeaving:
    """A gateway stops and is to be counted no longer."""

    instance_id: str


@add_message('model-wanted')
@attrs.frozen
class ModelWanted:
    """A call waits at a gateway because no replica holds what it needs."""

    key: ModelKey


@add_message('replica-states')
@attrs.frozen
class ReplicaStates:
    """Reports of replicas, and the loads under way, from the leader."""

    fence: int
    states: list[ReplicaState]
    awaited: list[AwaitedLoad]


@add_message('rows-query')
@attrs.frozen
class RowsQuery:
    """Asks a peer for what it knows of the store.

    :param versions: table to the highest version that the asker knows.
    """

    versions: dict[str, int]


@add_message('rows-reply')
@attrs.frozen
class RowsReply:
    """What a peer knows of the store beyond the asked versions."""

    tables: list[TableRows]
