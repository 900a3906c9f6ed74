"""Exchanges status digests between gateways.

Each gateway sends a digest to the relays of its data centre. Relays sum the digests for the other
gateways of their data centre and for other data centres
(:mod:`~limeshelf.membership.receivers`). Received loads go to the replica directory, demand to
the totals, and claims to lead to the leader view.

Owns the digests and sums received.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.centre_demand import CentreDemand
from limeshelf.membership import receivers
from limeshelf.membership.digests import LatestDigests, sum_loads
from limeshelf.membership.gateway_count import GatewayCounter
from limeshelf.membership.messages import DigestBundle, FleetSummary, GatewayDigest, ReplicaLoad
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.active_config import ActiveConfig
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

#: Interval at which a gateway sends digests.
DIGEST_INTERVAL_S = 0.25
#: Number of gateways in a message if the number is unknown.
UNKNOWN_COUNT = 0
#: Suffix of the sender's id in the sum of a data centre; it distinguishes the sum from the
#: sender's own digest.
SUM_ID_SUFFIX = '+centre'


@attrs.define
class DigestExchange:
    """Sends this gateway's digests and applies those of the others."""

    instance_id: str
    node: PeerNode
    members: Members
    leader: LeaderView
    leadership: Leadership
    directory: ReplicaDirectory
    meter: DemandMeter
    totals: DemandTotals
    active_config: ActiveConfig
    dispatchers: Dispatchers
    speed: PrefillSpeed
    limits: LimitExchange
    _digests: LatestDigests = attrs.field(factory=LatestDigests)
    _centre_demand: CentreDemand = attrs.field(factory=CentreDemand)
    _gateways_per_sum: dict[str, int] = attrs.field(factory=dict)
    _sum_ids: dict[str, str] = attrs.field(factory=dict)
    _digest_count: int = 0
    _gateway_counter: GatewayCounter = attrs.field(init=False)
    _summary_gateways: int = 0

    def __attrs_post_init__(self) -> None:
        self._gateway_counter = GatewayCounter(self.members)

    def start(self) -> None:
        """Register the message handlers."""
        self.node.add_handler(GatewayDigest, self._handle_digest)
        self.node.add_handler(DigestBundle, self._handle_bundle)
        self.node.add_handler(FleetSummary, self._handle_summary)

    @property
    def gateway_count(self) -> int | None:
        """Return the number of gateways, this one included; ``None`` while unknown.

        Gateways that were active until recently are included
        (:mod:`~limeshelf.membership.gateway_count`).
        """
        return self._gateway_counter.update(self._active_count())

    def _active_count(self) -> int:
        """Return the number of active gateways, this one included.

        Relays count the digests they receive and add the counts of other data centres; other
        gateways use the count in the latest summary from a relay.
        """
        if self.members.is_relay:
            return 1 + sum(self._gateways_in(digest) for digest in self._digests.unexpired())
        return max(1, self._summary_gateways)

    def _gateways_in(self, digest: GatewayDigest) -> int:
        return self._gateways_per_sum.get(digest.instance_id, 1)

    async def run(self) -> None:
        """Send digests at intervals and, as a relay, the sums of received digests."""
        while True:
            self._digest_count += 1
            digest = self._own_digest()
            self.limits.update_role(digest.usage)
            self._add_demand(digest)
            own = self.members.own
            relays = self.members.own_relays()
            self.node.send_all(self.members.addresses_to_contact(relays), digest)
            if own in relays:
                self._send_summary(digest)
            if relays[:1] == [own]:
                self._send_bundle(digest)
            await asyncio.sleep(jittered_s(DIGEST_INTERVAL_S))

    def _own_digest(self) -> GatewayDigest:
        loads = [
            ReplicaLoad(
                replica.replica_id,
                replica.own_load.calls,
                replica.own_load.tokens,
                replica.health.is_suspended(),
            )
            for replica in self.directory.all()
            if replica.own_load.calls or replica.health.is_suspended()
        ]
        own = self.members.own
        return GatewayDigest(
            self.instance_id,
            own.address,
            own.data_centre,
            own.weight,
            # The number must also increase across restarts of the process.
            int(boottime_s() * 1000),
            self.active_config.version,
            self.leadership.fence,
            loads,
            self.meter.recent(),
            self.speed.take_updates(),
            self.limits.report(),
            self.limits.started_ms,
        )

    def _send_summary(self, own: GatewayDigest) -> None:
        """Send the total loads of all gateways to the gateways of this data centre."""
        own_loads = [load for load in own.loads if load.calls]
        loads = sum_loads([*self._digests.loads(), *own_loads])
        gateways = self.gateway_count or UNKNOWN_COUNT
        summary = FleetSummary(gateways, loads, self.dispatchers.announced())
        self.node.send_all(receivers.own_centre(self.members), summary)

    def _send_bundle(self, own: GatewayDigest) -> None:
        """Send the sum of this data centre's digests to the leader and to other data centres."""
        leader = self.leader.current() or None
        addresses = receivers.of_bundle(self.members, leader, self._digest_count)
        if addresses:
            digests = [own, *self._digests.unexpired(self.members.own.data_centre)]
            summed = self._sum_digests(own, digests)
            dispatcher = self.dispatchers.own_centre_address()
            self.node.send_all(addresses, DigestBundle([summed], dispatcher, len(digests)))

    def _sum_digests(self, own: GatewayDigest, digests: list[GatewayDigest]) -> GatewayDigest:
        """Return the sum of the digests of this data centre.

        Sent separately, the digests of 195 gateways in five data centres would take about 2 MB
        per second between data centres, computed from their size and number. The sum contains no
        claim to lead; the leader states it in its own messages.
        """
        speeds: dict[str, float] = {}
        for digest in digests:
            speeds.update(digest.reading_ms)
        loads = sum_loads(load for digest in digests for load in digest.loads if load.calls)
        return attrs.evolve(
            own,
            instance_id=own.instance_id + SUM_ID_SUFFIX,
            fence=0,
            loads=loads,
            demands=self._centre_demand.recent(digest.demands for digest in digests),
            reading_ms=speeds,
            usage={},
            started_ms=0,
        )

    def _handle_digest(self, envelope: Envelope) -> None:
        digest: GatewayDigest = envelope.message
        if self.members.record_message(digest.address, digest.data_centre):
            log_change('gateway_active', gateway=digest.instance_id, address=digest.address)
        self.members.add(digest.address, digest.data_centre, digest.weight)
        self._apply_digest(digest)

    def _handle_bundle(self, envelope: Envelope) -> None:
        bundle: DigestBundle = envelope.message
        self.members.record_message(envelope.sender, envelope.data_centre)
        self.dispatchers.record_announced(envelope.data_centre, bundle.dispatcher)
        is_own_centre = envelope.data_centre == self.members.own.data_centre
        if is_own_centre and self.members.is_relay:
            # A relay already has the separate digests of its data centre.
            return
        for digest in bundle.digests:
            if digest.instance_id != self.instance_id:
                self.members.add(digest.address, digest.data_centre, digest.weight)
                if bundle.gateways:
                    self._record_sum(digest, bundle.gateways)
                self._apply_digest(digest)

    def _record_sum(self, digest: GatewayDigest, gateways: int) -> None:
        """Record the number of gateways in a sum; drop the sum of the previous relay."""
        self._gateways_per_sum[digest.instance_id] = gateways
        previous_id = self._sum_ids.get(digest.data_centre)
        self._sum_ids[digest.data_centre] = digest.instance_id
        if previous_id is not None and previous_id != digest.instance_id:
            del self._gateways_per_sum[previous_id]
            self._digests.remove(previous_id)
            self.totals.remove_running(previous_id)
            self.directory.remove_peer_loads(previous_id)

    def _apply_digest(self, digest: GatewayDigest) -> None:
        if not self._digests.add(digest):
            return
        if digest.fence:
            self.leadership.observe_fence(digest.fence)
            self.leader.record_claim(digest.address, digest.fence)
        self.directory.update_peer_loads(digest.instance_id, digest.loads)
        self._add_demand(digest)
        self.speed.merge_peer_estimates(digest.reading_ms)
        if digest.data_centre == self.members.own.data_centre:
            self.limits.add_report(digest)

    def _add_demand(self, digest: GatewayDigest) -> None:
        self.totals.add_counters(digest.instance_id, digest.demands)
        if digest.data_centre == self.members.own.data_centre:
            self._centre_demand.add_counters(digest.instance_id, digest.demands)

    def _handle_summary(self, envelope: Envelope) -> None:
        summary: FleetSummary = envelope.message
        self.members.record_message(envelope.sender, envelope.data_centre)
        # Relays need this as well: the second relay sends nothing to other data centres, so it is
        # inactive in their view and receives their sums only at the retry interval.
        for data_centre, address in summary.dispatchers.items():
            self.dispatchers.record_forwarded(data_centre, address)
        if self.members.is_relay or self.leader.is_self:
            # Relays and the leader have the digests and sums themselves.
            return
        self._summary_gateways = summary.gateways
        self.directory.update_total_loads(summary.loads)
