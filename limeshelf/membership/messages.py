"""Messages that gateways exchange about load, demand, limits and the state of replicas.

Field names and field order are part of the wire format and must not change.
"""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.organisations.limiter import Ruling
from limeshelf.peers.messages import add_message


class ReplicaLoad(msgspec.Struct, array_like=True):
    """The load that one gateway, or all gateways together, put on a replica.

    :ivar calls: calls in flight.
    :ivar tokens: estimated tokens of accelerator memory that these calls occupy.
    :ivar suspended: whether the gateway has suspended the replica and sends it no calls for now;
        not set in sums.
    """

    replica_id: str
    calls: int = 0
    tokens: int = 0
    suspended: bool = False


class HeldModel(msgspec.Struct, array_like=True):
    """A model that a replica holds, with its ready adapters."""

    model: str
    adapters: list[str]


class ReplicaState(msgspec.Struct, array_like=True):
    """The state of a replica as it last reported it to the leader.

    :ivar order_number: number of orders that the replica has accepted.
    :ivar held: models that it serves, except those about to be unloaded.
    :ivar queued: calls queued at the replica.
    :ivar running: calls running at the replica.
    :ivar memory_used: tokens of accelerator memory that cannot be evicted.
    :ivar leaving: whether the replica accepts no new calls because it is shutting down.
    :ivar born_ms: start time of the replica, in milliseconds since 1970; ``None`` if the replica
        does not report it, or if the sender's release does not include it.
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
    """A model load in progress.

    :ivar left_ms: estimated time until it completes.
    """

    key: ModelKey
    left_ms: int


@add_message('gateway-digest')
@attrs.frozen
class GatewayDigest:
    """The status of a gateway, sent periodically to the relays of its data centre.

    :param weight: spare capacity of the gateway for relaying.
    :param number: increases with each digest; a digest with a lower number is out of date.
    :param config_version: version of the active configuration of the gateway.
    :param fence: fencing token of the lease that the gateway holds; 0 if it holds none.
    :param loads: load on each replica at which the gateway has calls in flight or that it has
        suspended.
    :param demands: demand for the models that were requested recently.
    :param reading_ms: time to read one prompt token, by model, where this gateway has measured
        it recently as a dispatcher.
    :param usage: usage counted against the limit of each organisation in the current window, by
        the organisation's name; empty in sums.
    :param started_ms: start time of the process, on the same clock as *number*; 0 from a release
        that does not send it, and in sums.
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
    """The combined status of a data centre, sent by its first relay to the leader and others.

    :param digests: a single digest, the sum over the data centre; earlier releases sent the
        digest of each gateway separately.
    :param gateways: number of gateways in the sum; 0 if the digests are separate.
    :param dispatcher: peer address of the data centre's dispatcher; empty if none is known.
    """

    digests: list[GatewayDigest]
    dispatcher: str = ''
    gateways: int = 0


@add_message('fleet-summary')
@attrs.frozen
class FleetSummary:
    """The status of all gateways, sent by a relay to the gateways of its data centre.

    :param gateways: number of gateways in all data centres; 0 if unknown.
    :param loads: load of all gateways together on each replica.
    :param dispatchers: peer address of the dispatcher of each data centre whose dispatcher is
        known.
    """

    gateways: int
    loads: list[ReplicaLoad]
    dispatchers: dict[str, str] = attrs.field(factory=dict)


@add_message('limit-query')
@attrs.frozen
class LimitQuery:
    """Requests a limiter's decision on whether a call is within its organisation's limit.

    :param query_id: chosen by the querying gateway to match the verdict to its query.
    :param amount: usage of the call, in units of the limit.
    """

    query_id: str
    organisation: str
    amount: int


@add_message('limit-verdict')
@attrs.frozen
class LimitVerdict:
    """Answers a :class:`LimitQuery`.

    :param wait_ms: if the call would exceed the limit, estimated time until it would not.
    """

    query_id: str
    ruling: Ruling
    wait_ms: int = 0


class CrashedReplica(msgspec.Struct, array_like=True):
    """The crash of a replica, with the calls that were running there.

    Calls are grouped by crash to keep the message small: a crash with 50 calls takes 0.5 KB, where
    listing the crashes of each call takes 2.3 KB (tests/membership/test_crash_exchange.py).

    :ivar born_ms: start time of the replica, in milliseconds since 1970; 0 if unknown.
    :ivar cleared: whether these calls are no longer suspected of having caused the crash.
    :ivar coincident: whether other replicas crashed at the same time.
    :ivar calls: fingerprints of the calls.
    """

    replica_id: str
    born_ms: int
    cleared: bool
    coincident: bool
    calls: list[bytes]


class TriedReplica(msgspec.Struct, array_like=True):
    """A replica that a call with suspected parts was sent to as a trial.

    :ivar born_ms: start time of the replica, in milliseconds since 1970; 0 if unknown.
    :ivar passed: whether the trial crashed no replica.
    :ivar parts: fingerprints of the parts.
    """

    replica_id: str
    born_ms: int
    passed: bool
    parts: list[bytes]


@add_message('crash-suspects')
@attrs.frozen
class CrashSuspects:
    """Calls suspected of crashing replicas; only what was new to the sender.

    :param trials: trials of suspects; earlier releases neither send nor read them.
    """

    ends: list[CrashedReplica]
    trials: list[TriedReplica] = attrs.field(factory=list)


class ReplicaNoticeEntry(msgspec.Struct, array_like=True):
    """The notice of one replica, which applies to all gateways.

    :ivar born_ms: start time of the replica, in milliseconds since 1970; ``None`` if the replica
        does not report it.
    :ivar rate_per_s: calls per second that the replica accepts from all gateways together;
        ``None`` if it sets no limit.
    :ivar known_ms_ago: age of the information when the message is sent. With a rate: time since
        an answer stated the rate. Without one: time since the sending of the latest call whose
        answer stated no rate.
    :ivar leaving: whether the replica has announced that it is shutting down.
    :ivar rejections_per_s: rejections per second beyond which the replica falls over; ``None`` if
        it states no limit.
    :ivar rejections_known_ms_ago: as *known_ms_ago*, for *rejections_per_s*; ``None`` from a
        release that sends neither.
    """

    replica_id: str
    born_ms: int | None
    rate_per_s: float | None
    known_ms_ago: int
    leaving: bool = False
    rejections_per_s: float | None = None
    rejections_known_ms_ago: int | None = None


@add_message('replica-notices')
@attrs.frozen
class ReplicaNotices:
    """Notices of replicas; only those that were new to the sender."""

    notices: list[ReplicaNoticeEntry]


@add_message('gateway-leaving')
@attrs.frozen
class GatewayLeaving:
    """Announces that the sending gateway is shutting down and must no longer be counted."""

    instance_id: str


@add_message('model-wanted')
@attrs.frozen
class ModelWanted:
    """Notifies the leader that a call waits because no replica holds its model or adapter."""

    key: ModelKey


@add_message('replica-states')
@attrs.frozen
class ReplicaStates:
    """The states of replicas and the model loads in progress, sent by the leader.

    :param fence: fencing token of the leader's lease.
    :param awaited: all model loads in progress.
    :param whole: whether *states* lists all replicas, or only those that changed.
    :param may_order: whether the leader may send orders to replicas at the moment.
    """

    fence: int
    states: list[ReplicaState]
    awaited: list[AwaitedLoad]
    whole: bool = True
    may_order: bool = True
