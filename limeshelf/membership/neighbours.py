"""What gateways tell one another: loads, demand, reports of replicas."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import ConditionFailed
from limeshelf.membership.digests import DigestBook
from limeshelf.membership.members import MEMBER_TABLE, SILENT_S, Members, MemberValue
from limeshelf.membership.messages import (
    AwaitedLoad,
    DigestBundle,
    FleetSummary,
    GatewayDigest,
    GatewayLeaving,
    ModelWanted,
    ReplicaLoad,
    ReplicaStates,
)
from limeshelf.membership.states import report_of, state_of
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import full_jitter_s, jittered_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.demand.keys import ModelKey
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.feeds.rows import Row, RowTable
    from limeshelf.lease.leadership import Leadership
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.placement.service import FleetService
    from limeshelf.replicas.directory import ReplicaDirectory

DIGEST_S = 0.25
#: Reports of all replicas are told this often by the leader.
STATES_S = 1.0
#: Changes of replicas that come closer together than this are told together.
STATES_GAP_S = 0.05
#: Messages to other data centres go out with every so many digests.
FAR_EVERY = 2
#: Who is no relay contends for the lease only after nobody led for this long.
CONTEND_AFTER_S = 1.5

_members = msgspec.json.Decoder(MemberValue)


@attrs.define
class LeaderWord:
    """Who leads, by its latest word.

    :ivar fence: of its lease.
    """

    address: str = ''
    fence: int = 0
    heard_s: float = 0.0

    @property
    def is_heard(self) -> bool:
        """Return whether the leader was heard lately."""
        return bool(self.fence) and boottime_s() - self.heard_s < SILENT_S


@attrs.define
class Neighbours:
    """Sends this gateway's messages and takes those of the others.

    :param config_version: of the configuration in force here.
    """

    instance_id: str
    node: PeerNode
    members: Members
    directory: ReplicaDirectory
    meter: DemandMeter
    fleet: FleetService
    leadership: Leadership
    config_version: int = 0
    _book: DigestBook = attrs.field(factory=DigestBook)
    _leader: LeaderWord = attrs.field(factory=LeaderWord)
    _turn: int = 0
    _told_gateways: int = 0
    _states_fence: int = 0
    _states_due_s: float = 0.0
    _changed: set[str] = attrs.field(factory=set)
    _news: asyncio.Event = attrs.field(factory=asyncio.Event)
    _led_s: float = attrs.field(factory=boottime_s)

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(GatewayDigest, self._take_digest)
        self.node.add_handler(DigestBundle, self._take_bundle)
        self.node.add_handler(FleetSummary, self._take_summary)
        self.node.add_handler(GatewayLeaving, self._take_leaving)
        self.node.add_handler(ModelWanted, self._take_wanted)
        self.node.add_handler(ReplicaStates, self._take_states)

    def take_member(self, row: Row) -> None:
        """Take a row of the table of members."""
        if row.gone:
            return
        try:
            value = _members.decode(row.value)
        except msgspec.MsgspecError:
            log_change('member_row_invalid', key=row.key)
            return
        self.members.add(value.address, value.data_centre, value.weight)

    @property
    def count(self) -> int:
        """Return how many gateways there are, this one included."""
        if self.members.is_relay:
            return len(self._book.fresh()) + 1
        return max(1, self._told_gateways)

    def dispatcher(self) -> str | None:
        """Return the address of the leader, empty for this process, if one is known."""
        if self.fleet.leads():
            return ''
        return self._leader.address if self._leader.is_heard else None

    def may_contend(self) -> bool:
        """Return whether this gateway should try to take the lease."""
        now_s = boottime_s()
        if self._leader.is_heard:
            self._led_s = now_s
            return False
        return self.members.is_relay or now_s - self._led_s > CONTEND_AFTER_S

    def want(self, key: ModelKey) -> None:
        """Tell the leader that a call waits for *key*."""
        if self.fleet.leads():
            self.fleet.want(key)
        elif self._leader.is_heard:
            self.node.send(self._leader.address, ModelWanted(key))

    def say_leaving(self) -> None:
        """Tell all that this gateway stops."""
        addresses = [member.address for member in self.members.others()]
        self.node.send_all(addresses, GatewayLeaving(self.instance_id))

    async def run(self) -> None:
        """Tell the others, some times a second."""
        while True:
            self._turn += 1
            digest = self._own_digest()
            self.fleet.totals.take(self.instance_id, digest.demands)
            own = self.members.own
            relays = self.members.own_relays()
            self.node.send_all(self.members.reachable(relays), digest)
            if own in relays:
                self._tell_summary()
            if relays[:1] == [own]:
                self._tell_bundle(digest)
            await asyncio.sleep(jittered_s(DIGEST_S))

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
            self.config_version,
            self.leadership.fence,
            loads,
            self.meter.recent(),
        )

    def _tell_summary(self) -> None:
        """Tell the gateways of this data centre what all others do."""
        totals = self._book.loads()
        for replica in self.directory.all():
            if replica.own.calls:
                total = totals.setdefault(replica.replica_id, ReplicaLoad(replica.replica_id))
                total.calls += replica.own.calls
                total.tokens += replica.own.tokens
        summary = FleetSummary(self.count, list(totals.values()))
        self.node.send_all(self.members.reachable(self.members.centre_mates()), summary)

    def _tell_bundle(self, own: GatewayDigest) -> None:
        """Tell the leader, and now and then other relays, of this data centre."""
        digests = [own, *self._book.fresh(self.members.own.data_centre)]
        targets = set()
        if self._leader.is_heard and not self.fleet.leads():
            targets.add(self._leader.address)
        if self._turn % FAR_EVERY == 0:
            for centre in self.members.centres() - {self.members.own.data_centre}:
                targets.update(self.members.reachable(self.members.relays(centre)))
        self.node.send_all(sorted(targets), DigestBundle(digests))

    def _take_digest(self, envelope: Envelope) -> None:
        digest: GatewayDigest = envelope.message
        if self.members.hear(digest.address, digest.data_centre):
            log_change('peer_heard', peer=digest.instance_id, address=digest.address)
        self.members.add(digest.address, digest.data_centre, digest.weight)
        self._note_digest(digest)

    def _take_bundle(self, envelope: Envelope) -> None:
        self.members.hear(envelope.sender, envelope.data_centre)
        for digest in envelope.message.digests:
            if digest.instance_id != self.instance_id:
                self.members.add(digest.address, digest.data_centre, digest.weight)
                self._note_digest(digest)

    def _note_digest(self, digest: GatewayDigest) -> None:
        if not self._book.take(digest):
            return
        if digest.fence:
            self.leadership.note_fence(digest.fence)
            self._note_leader(digest.address, digest.fence)
        self.directory.take_peer_loads(digest.instance_id, digest.loads)
        self.fleet.totals.take(digest.instance_id, digest.demands)

    def _note_leader(self, address: str, fence: int) -> None:
        if fence >= self._leader.fence and address != self.members.own.address:
            self._leader = LeaderWord(address, fence, boottime_s())

    def _take_summary(self, envelope: Envelope) -> None:
        summary: FleetSummary = envelope.message
        self.members.hear(envelope.sender, envelope.data_centre)
        if self.members.is_relay or self.fleet.leads():
            # These know the digests themselves.
            return
        self._told_gateways = summary.gateways
        self.directory.take_total_loads(summary.loads)

    def _take_leaving(self, envelope: Envelope) -> None:
        self.members.forget(envelope.sender)
        if envelope.sender == self._leader.address:
            self._leader.heard_s = 0.0

    def _take_wanted(self, envelope: Envelope) -> None:
        wanted: ModelWanted = envelope.message
        self.fleet.want(wanted.key)

    async def tell_states(self) -> None:
        """While this process leads, tell what the replicas report."""
        while True:
            await self._until_news()
            if not self.fleet.leads():
                self._changed.clear()
                continue
            whole = boottime_s() >= self._states_due_s
            if whole:
                self._states_due_s = boottime_s() + STATES_S
            self._send_states(whole)

    async def _until_news(self) -> None:
        try:
            async with asyncio.timeout(DIGEST_S):
                await self._news.wait()
        except TimeoutError:
            return
        self._news.clear()
        await asyncio.sleep(STATES_GAP_S)

    def _send_states(self, whole: bool) -> None:
        changed, self._changed = self._changed, set()
        states = [
            state_of(replica)
            for replica in self.directory.all()
            if replica.report is not None and (whole or replica.replica_id in changed)
        ]
        self.meter.expected = self.fleet.awaited()
        now_s = boottime_s()
        awaited = [
            AwaitedLoad(key, int((ready_s - now_s) * 1000))
            for key, ready_s in self.meter.expected.items()
        ]
        message = ReplicaStates(self.leadership.fence, states, awaited, whole)
        self.node.send_all(self._states_targets(), message)

    def _states_targets(self) -> list[str]:
        """Return who hears of replicas from the leader: its own centre, and the relays."""
        targets = set(self.members.reachable(self.members.centre_mates()))
        for centre in self.members.centres() - {self.members.own.data_centre}:
            targets.update(self.members.reachable(self.members.relays(centre)))
        return sorted(targets)

    def note_change(self, replica_id: str) -> None:
        """Note that a replica holds something else than before."""
        self._changed.add(replica_id)
        self._news.set()

    def note_move(self) -> None:
        """Note that a load was ordered, so that waiting calls hear of it."""
        self._news.set()

    def _take_states(self, envelope: Envelope) -> None:
        message: ReplicaStates = envelope.message
        self.leadership.note_fence(message.fence)
        if self.fleet.leads() or message.fence < self._states_fence:
            # A predecessor's word that a cut held up is older than what is known
            # (tests/membership/test_neighbours.py::test_late_word_of_a_predecessor).
            return
        self._states_fence = message.fence
        self._note_leader(envelope.sender, message.fence)
        self._pass_on(envelope)
        for state in message.states:
            self.directory.take_report(state.replica_id, report_of(state))
        now_s = boottime_s()
        self.meter.expected = {
            awaited.key: now_s + awaited.left_ms / 1000 for awaited in message.awaited
        }

    def _pass_on(self, envelope: Envelope) -> None:
        """Bring the leader's word from another data centre to this one's gateways."""
        own = self.members.own
        if envelope.data_centre == own.data_centre or not self.members.is_first_relay:
            return
        mates = self.members.reachable(self.members.centre_mates())
        self.node.forward_all(mates, envelope)

    async def register(self, store: RowTable) -> None:
        """Write this gateway's row, so that the others find it."""
        own = self.members.own
        value = msgspec.json.encode(MemberValue(own.address, own.data_centre, own.weight))
        attempt = 0
        while True:
            try:
                await store.write(MEMBER_TABLE, self.instance_id, value, None)
                return
            except (PlatformUnavailable, PlatformUnknown, ConditionFailed):
                attempt += 1
                await asyncio.sleep(full_jitter_s(attempt, 0.2, 2.0))
