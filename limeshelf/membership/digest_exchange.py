"""Sends the other gateways what this one does, and takes in what they do.

Each gateway sends a digest to the relays of its data centre; relays sum the digests up
for the others. Owns the digests and the sum that came; passes loads on to the directory
of replicas, demand to the totals and claims to lead to the view of the leader. Who is
sent what stands in :mod:`~limeshelf.membership.receivers`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.membership import receivers
from limeshelf.membership.digests import DigestBook, sum_loads
from limeshelf.membership.messages import DigestBundle, FleetSummary, GatewayDigest, ReplicaLoad
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.in_force import ConfigInForce
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.demand.reading_speed import ReadingSpeed
    from limeshelf.demand.totals import DemandTotals
    from limeshelf.lease.leadership import Leadership
    from limeshelf.membership.dispatchers import Dispatchers
    from limeshelf.membership.leader import LeaderView
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory

#: A gateway sends a digest this often. Chosen, not measured.
DIGEST_INTERVAL_S = 0.25


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
    speed: ReadingSpeed
    _book: DigestBook = attrs.field(factory=DigestBook)
    _digest_count: int = 0
    _summary_gateways: int = 0

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(GatewayDigest, self._take_digest)
        self.node.add_handler(DigestBundle, self._take_bundle)
        self.node.add_handler(FleetSummary, self._take_summary)

    @property
    def gateway_count(self) -> int:
        """Return how many gateways there are, this one included.

        Relays count digests; the others go by the last summary of a relay.
        """
        if self.members.is_relay:
            return len(self._book.fresh()) + 1
        return max(1, self._summary_gateways)

    async def run(self) -> None:
        """Send digests, and as a relay what was made of those of the others."""
        while True:
            self._digest_count += 1
            digest = self._own_digest()
            self.totals.take(self.instance_id, digest.demands)
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
            self.speed.take_learned(),
        )

    def _send_summary(self, own: GatewayDigest) -> None:
        """Send the gateways of this data centre what all gateways have under way."""
        own_loads = [load for load in own.loads if load.calls]
        loads = sum_loads([*self._book.loads(), *own_loads])
        summary = FleetSummary(self.gateway_count, loads, self.dispatchers.announced())
        self.node.send_all(receivers.own_centre(self.members), summary)

    def _send_bundle(self, own: GatewayDigest) -> None:
        """Pass the digests of this data centre on to the leader and other relays."""
        digests = [own, *self._book.fresh(self.members.own.data_centre)]
        leader = self.leader.current() or None
        addresses = receivers.of_bundle(self.members, leader, self._digest_count)
        bundle = DigestBundle(digests, self.dispatchers.own_address())
        self.node.send_all(addresses, bundle)

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
        for digest in bundle.digests:
            if digest.instance_id != self.instance_id:
                self.members.add(digest.address, digest.data_centre, digest.weight)
                self._note_digest(digest)

    def _note_digest(self, digest: GatewayDigest) -> None:
        if not self._book.take(digest):
            return
        if digest.fence:
            self.leadership.note_fence(digest.fence)
            self.leader.note_claim(digest.address, digest.fence)
        self.directory.take_peer_loads(digest.instance_id, digest.loads)
        self.totals.take(digest.instance_id, digest.demands)
        self.speed.take_from_peer(digest.reading_ms)

    def _take_summary(self, envelope: Envelope) -> None:
        summary: FleetSummary = envelope.message
        self.members.note_message(envelope.sender, envelope.data_centre)
        if self.members.is_relay or self.leader.is_self:
            # These have the digests themselves.
            return
        self._summary_gateways = summary.gateways
        for data_centre, address in summary.dispatchers.items():
            self.dispatchers.note(data_centre, address)
        self.directory.take_total_loads(summary.loads)
