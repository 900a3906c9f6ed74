"""Sends the other gateways what this one does, and takes in what they do.

Each gateway sends a digest to the relays of its data centre; relays sum the digests up
for the others, in their data centre and elsewhere. Owns the digests and the sums that came;
passes loads on to the directory of replicas, demand to the totals and claims to lead to the
view of the leader. Who is sent what stands in :mod:`~limeshelf.membership.receivers`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.centre_demand import CentreDemand
from limeshelf.membership import receivers
from limeshelf.membership.digests import DigestBook, sum_loads
from limeshelf.membership.gateway_count import GatewayCount
from limeshelf.membership.messages import DigestBundle, FleetSummary, GatewayDigest, ReplicaLoad
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.in_force import ConfigInForce
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.demand.prefill_speed import PrefillSpeed
    from limeshelf.demand.totals import DemandTotals
    from limeshelf.lease.leadership import Leadership
    from limeshelf.membership.dispatchers import Dispatchers
    from limeshelf.membership.leader import LeaderView
    from limeshelf.membership.limit_exchange import LimitExchange
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory

#: A gateway sends a digest this often.
DIGEST_INTERVAL_S = 0.25
#: Stands for a number of gateways that is not known.
UNKNOWN_COUNT = 0
#: Ends the id under which the sum of a data centre counts beside its gateways.
CENTRE_SUFFIX = '+centre'


@attrs.define
class DigestExchange:
    """Sends this gateway's digests and takes those of the others."""

    instance_id: str
    node: PeerNode
    members: Members
    leader: LeaderView
    leadership: Leadership
    directory: ReplicaDirectory
    meter: DemandMeter
    totals: DemandTotals
    in_force: ConfigInForce
    dispatchers: Dispatchers
    speed: PrefillSpeed
    limits: LimitExchange
    _book: DigestBook = attrs.field(factory=DigestBook)
    _centre_demand: CentreDemand = attrs.field(factory=CentreDemand)
    _bundled_gateways: dict[str, int] = attrs.field(factory=dict)
    _sum_ids: dict[str, str] = attrs.field(factory=dict)
    _digest_count: int = 0
    _count: GatewayCount = attrs.field(init=False)
    _summary_gateways: int = 0

    def __attrs_post_init__(self) -> None:
        self._count = GatewayCount(self.members)

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(GatewayDigest, self._take_digest)
        self.node.add_handler(DigestBundle, self._take_bundle)
        self.node.add_handler(FleetSummary, self._take_summary)

    @property
    def gateway_count(self) -> int | None:
        """Return how many gateways there are, this one included; ``None`` while unknown.

        Those that are not heard now count, too (:mod:`~limeshelf.membership.gateway_count`).
        """
        return self._count.update(self._heard_count())

    def _heard_count(self) -> int:
        """Return how many gateways are heard now, this one included.

        Relays count digests, and what the relays of other data centres counted; the others
        go by the last summary of a relay.
        """
        if self.members.is_relay:
            return 1 + sum(self._gateways_in(digest) for digest in self._book.fresh())
        return max(1, self._summary_gateways)

    def _gateways_in(self, digest: GatewayDigest) -> int:
        return self._bundled_gateways.get(digest.instance_id, 1)

    async def run(self) -> None:
        """Send digests, and as a relay what was made of those of the others."""
        while True:
            self._digest_count += 1
            digest = self._own_digest()
            self.limits.check_role(digest.usage)
            self._take_demand(digest)
            own = self.members.own
            relays = self.members.own_relays()
            self.node.send_all(self.members.reachable(relays), digest)
            if own in relays:
                self._send_summary(digest)
            if relays[:1] == [own]:
                self._send_bundle(digest)
            await asyncio.sleep(jittered_s(DIGEST_INTERVAL_S))

    def _own_digest(self) -> GatewayDigest:
        loads = [
            ReplicaLoad(
                replica.replica_id,
                replica.own.calls,
                replica.own.tokens,
                replica.health.is_suspended(),
            )
            for replica in self.directory.all()
            if replica.own.calls or replica.health.is_suspended()
        ]
        own = self.members.own
        return GatewayDigest(
            self.instance_id,
            own.address,
            own.data_centre,
            own.weight,
            # Rises also when the process starts again.
            int(boottime_s() * 1000),
            self.in_force.version,
            self.leadership.fence,
            loads,
            self.meter.recent(),
            self.speed.take_updates(),
            self.limits.report(),
            self.limits.started_ms,
        )

    def _send_summary(self, own: GatewayDigest) -> None:
        """Send the gateways of this data centre what all gateways have under way."""
        own_loads = [load for load in own.loads if load.calls]
        loads = sum_loads([*self._book.loads(), *own_loads])
        gateways = self.gateway_count or UNKNOWN_COUNT
        summary = FleetSummary(gateways, loads, self.dispatchers.announced())
        self.node.send_all(receivers.own_centre(self.members), summary)

    def _send_bundle(self, own: GatewayDigest) -> None:
        """Send what this data centre does to the leader and other relays, as one digest."""
        leader = self.leader.current() or None
        addresses = receivers.of_bundle(self.members, leader, self._digest_count)
        if addresses:
            digests = [own, *self._book.fresh(self.members.own.data_centre)]
            summed = self._sum_of(own, digests)
            dispatcher = self.dispatchers.own_address()
            self.node.send_all(addresses, DigestBundle([summed], dispatcher, len(digests)))

    def _sum_of(self, own: GatewayDigest, digests: list[GatewayDigest]) -> GatewayDigest:
        """Return the digests of this data centre as one.

        With each by itself, the digests of 195 gateways in five data centres took some
        2 MB a second between data centres, by their size and number. Who leads is not in
        the sum; the leader's own messages say so.
        """
        speeds: dict[str, float] = {}
        for digest in digests:
            speeds.update(digest.reading_ms)
        loads = sum_loads(load for digest in digests for load in digest.loads if load.calls)
        return attrs.evolve(
            own,
            instance_id=own.instance_id + CENTRE_SUFFIX,
            fence=0,
            loads=loads,
            demands=self._centre_demand.recent(digest.demands for digest in digests),
            reading_ms=speeds,
            usage={},
            started_ms=0,
        )

    def _take_digest(self, envelope: Envelope) -> None:
        digest: GatewayDigest = envelope.message
        if self.members.note_message(digest.address, digest.data_centre):
            log_change('gateway_active', gateway=digest.instance_id, address=digest.address)
        self.members.add(digest.address, digest.data_centre, digest.weight)
        self._note_digest(digest)

    def _take_bundle(self, envelope: Envelope) -> None:
        bundle: DigestBundle = envelope.message
        self.members.note_message(envelope.sender, envelope.data_centre)
        self.dispatchers.note(envelope.data_centre, bundle.dispatcher)
        is_own_centre = envelope.data_centre == self.members.own.data_centre
        if is_own_centre and self.members.is_relay:
            # It has the digests of this data centre themselves.
            return
        for digest in bundle.digests:
            if digest.instance_id != self.instance_id:
                self.members.add(digest.address, digest.data_centre, digest.weight)
                if bundle.gateways:
                    self._note_sum(digest, bundle.gateways)
                self._note_digest(digest)

    def _note_sum(self, digest: GatewayDigest, gateways: int) -> None:
        """Note how many gateways a sum holds; forget that of the relay before."""
        self._bundled_gateways[digest.instance_id] = gateways
        before = self._sum_ids.get(digest.data_centre)
        self._sum_ids[digest.data_centre] = digest.instance_id
        if before is not None and before != digest.instance_id:
            del self._bundled_gateways[before]
            self._book.forget(before)
            self.totals.remove_running(before)
            self.directory.forget_peer(before)

    def _note_digest(self, digest: GatewayDigest) -> None:
        if not self._book.take(digest):
            return
        if digest.fence:
            self.leadership.observe_fence(digest.fence)
            self.leader.note_claim(digest.address, digest.fence)
        self.directory.take_peer_loads(digest.instance_id, digest.loads)
        self._take_demand(digest)
        self.speed.merge_peer_estimates(digest.reading_ms)
        if digest.data_centre == self.members.own.data_centre:
            self.limits.take_report(digest)

    def _take_demand(self, digest: GatewayDigest) -> None:
        self.totals.add_counters(digest.instance_id, digest.demands)
        if digest.data_centre == self.members.own.data_centre:
            self._centre_demand.add_counters(digest.instance_id, digest.demands)

    def _take_summary(self, envelope: Envelope) -> None:
        summary: FleetSummary = envelope.message
        self.members.note_message(envelope.sender, envelope.data_centre)
        # Also as a relay: the second one sends nothing to other data centres, so that these take
        # it for silent and send it their sums only now and then.
        for data_centre, address in summary.dispatchers.items():
            self.dispatchers.note_passed_on(data_centre, address)
        if self.members.is_relay or self.leader.is_self:
            # These have the digests themselves.
            return
        self._summary_gateways = summary.gateways
        self.directory.take_total_loads(summary.loads)
