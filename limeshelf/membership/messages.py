"""Messages between the gateways: loads, demand, reports of replicas, rows of the store."""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.peers.messages import add_message


class ReplicaLoad(msgspec.Struct, array_like=True):
    """What a process has under way at a replica."""

    replica_id: str
    calls: int = 0
    tokens: int = 0
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


class TableWord(msgspec.Struct, array_like=True):
    """What changed in a table between two versions, as the sender knows it.

    :ivar after: the rows that changed after this version are told.
    :ivar upto: the version up to which the sender has followed the table.
    :ivar age_ms: how long ago the store confirmed that to somebody.
    """

    table: str
    after: int
    upto: int
    age_ms: int
    rows: list[TableRow]


@add_message('gateway-digest')
@attrs.frozen
class GatewayDigest:
    """What a gateway tells the relays of its data centre some times a second.

    :param weight: how much the gateway can carry beside its calls.
    :param number: rises with each digest; a lower one came late.
    :param fence: of the lease that it holds; 0 if it holds none.
    :param demands: of the models that were asked for lately.
    """

    instance_id: str
    address: str
    data_centre: str
    weight: float
    number: int
    config_version: int
    fence: int
    loads: list[ReplicaLoad]
    demands: list[KeyDemand]


@add_message('digest-bundle')
@attrs.frozen
class DigestBundle:
    """The digests of a data centre, from its relay to the leader and other relays."""

    digests: list[GatewayDigest]


@add_message('fleet-summary')
@attrs.frozen
class FleetSummary:
    """What a relay tells the gateways of its data centre of the whole fleet.

    :param gateways: how many there are, over all data centres.
    :param loads: what all of them have under way at each replica.
    """

    gateways: int
    loads: list[ReplicaLoad]


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
    """Reports of replicas, and the loads under way, from the leader.

    :param whole: whether all replicas are told, or just those that changed.
    """

    fence: int
    states: list[ReplicaState]
    awaited: list[AwaitedLoad]
    whole: bool = True


@add_message('rows-query')
@attrs.frozen
class RowsQuery:
    """Asks a peer for what it knows of the store.

    :param versions: table to the highest version that the asker knows.
    """

    versions: dict[str, int]


@add_message('table-words')
@attrs.frozen
class TableWords:
    """News of the store's tables, told unasked or as the answer to a query."""

    words: list[TableWord]
