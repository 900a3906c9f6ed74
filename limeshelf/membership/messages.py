"""The messages between gateways: loads, demand, states of replicas.

Their fields are the form on the wire: names and order stay, also where the name is poor.
"""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.organisations.limiter import Ruling
from limeshelf.peers.messages import add_message


class ReplicaLoad(msgspec.Struct, array_like=True):
    """What a gateway, or all of them, have under way at a replica.

    :ivar calls: calls under way.
    :ivar tokens: tokens of memory that these calls likely fill there.
    :ivar suspended: the gateway sends nothing there for a while; not filled in in sums.
    """

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

    :ivar order_number: orders that it has taken.
    :ivar held: models that it serves, but for those about to be unloaded.
    :ivar queued: calls that wait there.
    :ivar running: calls that run there.
    :ivar memory_used: tokens of accelerator memory that cannot be evicted.
    :ivar leaving: it takes no new calls.
    :ivar born_ms: when it started, in milliseconds since 1970; ``None`` where it does not say
        so, and from a release that does not pass it on.
    """

    replica_id: str
    order_number: int
    held: list[HeldModel]
    queued: int
    running: int
    memory_used: int
    leaving: bool
    born_ms: int | None = None


class AwaitedLoad(msgspec.Struct, array_like=True):
    """A load under way.

    :ivar left_ms: time until it is likely done.
    """

    key: ModelKey
    left_ms: int


@add_message('gateway-digest')
@attrs.frozen
class GatewayDigest:
    """What a gateway does, sent to the relays of its data centre.

    :param weight: how much the gateway can carry beside its calls.
    :param number: rises with each digest; a lower one came late.
    :param config_version: of the configuration in force there.
    :param fence: of the lease that it holds; 0 if it holds none.
    :param loads: at the replicas where it has calls under way or that it suspended.
    :param demands: of the models that were asked for lately.
    :param reading_ms: of a prompt token of each model, where this gateway has learned it
        lately by granting.
    :param usage: of the limits of organisations in the window that counts, by name; not filled
        in in sums.
    :param started_ms: when the process started, on the clock of *number*; 0 from a release
        that does not say, and in sums.
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
    reading_ms: dict[str, float] = attrs.field(factory=dict)
    usage: dict[str, int] = attrs.field(factory=dict)
    started_ms: int = 0


@add_message('digest-bundle')
@attrs.frozen
class DigestBundle:
    """What the gateways of a data centre do, from its first relay to the leader and others.

    :param digests: one that sums up those of all; releases before sent each by itself.
    :param gateways: whose digests are summed up; 0 where each is there by itself.
    :param dispatcher: peer address of the gateway that grants the replicas of the data
        centre; empty where none is known.
    """

    digests: list[GatewayDigest]
    dispatcher: str = ''
    gateways: int = 0


@add_message('fleet-summary')
@attrs.frozen
class FleetSummary:
    """What all gateways do, sent by a relay to the gateways of its data centre.

    :param gateways: how many there are, over all data centres; 0 where that is not known.
    :param loads: what all of them have under way at each replica.
    :param dispatchers: peer address of the gateway that grants the replicas of each data
        centre, as far as known.
    """

    gateways: int
    loads: list[ReplicaLoad]
    dispatchers: dict[str, str] = attrs.field(factory=dict)


@add_message('limit-query')
@attrs.frozen
class LimitQuery:
    """Asks the limiter of the data centre whether a call lies within its organisation's limit.

    :param query_id: given by the asking gateway.
    :param amount: what the call counts, in units of the limit.
    """

    query_id: str
    organisation: str
    amount: int


@add_message('limit-verdict')
@attrs.frozen
class LimitVerdict:
    """Answers a query.

    :param wait_ms: until there is likely room, where the call would exceed the limit.
    """

    query_id: str
    ruling: Ruling
    wait_ms: int = 0


class EndedReplica(msgspec.Struct, array_like=True):
    """The end of a replica, and calls at work there.

    Grouped so, an end under 50 calls takes 0.5 KB; with the ends of each call, 2.3 KB
    (tests/membership/test_crash_exchange.py).

    :ivar born_ms: when the replica had started, in milliseconds since 1970; 0 where unknown.
    :ivar cleared: these calls are no longer suspected for it.
    :ivar coincident: it came together with ends of other replicas.
    :ivar calls: their fingerprints.
    """

    replica_id: str
    born_ms: int
    cleared: bool
    coincident: bool
    calls: list[bytes]


@add_message('crash-suspects')
@attrs.frozen
class CrashSuspects:
    """Calls at which replicas ended, as far as that was new to the sender."""

    ends: list[EndedReplica]


class ReplicaNoticeEntry(msgspec.Struct, array_like=True):
    """What a replica asks of all gateways.

    :ivar born_ms: when it started, in milliseconds since 1970; ``None`` where it does not say.
    :ivar rate_per_s: calls a second that it takes from all of them; ``None`` for any number.
    :ivar known_ms_ago: how long before the message an answer named the rate; without a rate,
        how long before it the latest call was sent whose answer named none.
    :ivar leaving: whether it has said that it leaves.
    """

    replica_id: str
    born_ms: int | None
    rate_per_s: float | None
    known_ms_ago: int
    leaving: bool = False


@add_message('replica-notices')
@attrs.frozen
class ReplicaNotices:
    """What replicas ask for, as far as that was new to the sender."""

    notices: list[ReplicaNoticeEntry]


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

    :param fence: of the lease of the leader.
    :param awaited: all loads under way.
    :param whole: whether all replicas are in it, or just those that changed.
    :param may_order: whether the leader's orders may leave.
    """

    fence: int
    states: list[ReplicaState]
    awaited: list[AwaitedLoad]
    whole: bool = True
    may_order: bool = True
