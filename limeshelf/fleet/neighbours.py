"""What gateways tell one another: loads, demand, reports, and rows of the store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import ConditionFailed, Row
from limeshelf.fleet.messages import (
    AwaitedLoad,
    GatewayDigest,
    GatewayLeaving,
    HeldModel,
    ModelWanted,
    ReplicaLoad,
    ReplicaState,
    ReplicaStates,
    RowsQuery,
    RowsReply,
    TableRow,
    TableRows,
)
from limeshelf.metrics.journal import log_change
from limeshelf.replicas.directory import Load
from limeshelf.replicas.record import Holding, ReplicaReport
from limeshelf.util.backoff import full_jitter_s, jittered_s
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.feeds.mirror import TableMirror
    from limeshelf.feeds.rows import RowTable
    from limeshelf.fleet.demand import DemandMeter, ModelKey
    from limeshelf.fleet.leader import Leadership
    from limeshelf.fleet.service import FleetService
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory

DIGEST_S = 0.25
#: Reports are told at least this often while this process leads.
STATES_S = 1.0
#: A peer that was not heard for this long is not counted.
SILENT_S = 2.5
#: A silent peer is still tried this often.
TRY_SILENT_S = 2.0
QUERY_S = 0.3
MEMBER_TABLE = 'members'


class MemberValue(msgspec.Struct):
    """A gateway's row in the table of members."""

    address: str


_members = msgspec.json.Decoder(MemberValue)


@attrs.define
class Neighbour:
    """Another gateway, by its peer address.

    :ivar heard_s: when it was last heard; 0 if never.
    """

    address: str
    instance_id: str = ''
    heard_s: float = 0.0
    tried_s: float = 0.0
    config_version: int = 0
    fence: int = 0
    reached: bool = False

    @property
    def is_heard(self) -> bool:
        """Return whether it was heard lately."""
        return boottime_s() - self.heard_s < SILENT_S


@attrs.define
class Neighbours:
    """Sends this gateway's messages and takes those of the others.

    :param mirrors: tables whose rows are passed on to peers that ask.
    :param config_version: of the configuration in force here.
    """

    instance_id: str
    node: PeerNode
    directory: ReplicaDirectory
    meter: DemandMeter
    fleet: FleetService
    leadership: Leadership
    mirrors: dict[str, TableMirror]
    config_version: int = 0
    _by_address: dict[str, Neighbour] = attrs.field(factory=dict)
    _states_fence: int = 0

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(GatewayDigest, self._take_digest)
        self.node.add_handler(GatewayLeaving, self._take_leaving)
        self.node.add_handler(ModelWanted, self._take_wanted)
        self.node.add_handler(ReplicaStates, self._take_states)
        self.node.add_handler(RowsQuery, self._answer_query)
        self.node.add_handler(RowsReply, self._take_rows)

    def add(self, address: str) -> None:
        """Add a gateway that may be there."""
        if address != self.node.address:
            self._by_address.setdefault(address, Neighbour(address))

    def take_member(self, row: Row) -> None:
        """Take a row of the table of members."""
        if row.gone:
            return
        try:
            self.add(_members.decode(row.value).address)
        except msgspec.MsgspecError:
            log_change('member_row_invalid', key=row.key)

    def heard(self) -> list[Neighbour]:
        """Return the gateways that were heard lately."""
        return [peer for peer in self._by_address.values() if peer.is_heard]

    @property
    def count(self) -> int:
        """Return how many gateways there are, this one included."""
        return len(self.heard()) + 1

    def _leader(self) -> Neighbour | None:
        leaders = [peer for peer in self.heard() if peer.fence > 0]
        return max(leaders, key=lambda peer: peer.fence, default=None)

    def dispatcher(self) -> str | None:
        """Return the address of the leader, empty for this process, if one is known."""
        if self.fleet.leads():
            return ''
        leader = self._leader()
        return leader.address if leader is not None else None

    def leader_is_heard(self) -> bool:
        """Return whether another gateway holds the lease and is heard."""
        return self._leader() is not None

    def want(self, key: ModelKey) -> None:
        """Tell the leader that a call waits for *key*."""
        if self.fleet.leads():
            self.fleet.want(key)
            return
        leader = self._leader()
        if leader is not None:
            self.node.send(leader.address, ModelWanted(key))

    def say_leaving(self) -> None:
        """Tell all that this gateway stops."""
        self.node.send_all(
            [peer.address for peer in self.heard()], GatewayLeaving(self.instance_id)
        )

    async def run(self) -> None:
        """Tell the others, some times a second."""
        while True:
            self._tell_digest()
            if self.fleet.leads():
                self._tell_states()
            await asyncio.sleep(jittered_s(DIGEST_S))

    def _addresses(self) -> list[str]:
        now_s = boottime_s()
        addresses = []
        for peer in self._by_address.values():
            if not peer.is_heard:
                if now_s - peer.tried_s < TRY_SILENT_S:
                    continue
                peer.tried_s = now_s
            addresses.append(peer.address)
        return addresses

    def _tell_digest(self) -> None:
        demands = self.meter.demands()
        self.fleet.totals.take(self.instance_id, demands)
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
        digest = GatewayDigest(
            self.instance_id,
            self.node.address,
            self.config_version,
            self.leadership.fence,
            all(mirror.reached for mirror in self.mirrors.values()),
            loads,
            demands,
        )
        self.node.send_all(self._addresses(), digest)

    def _tell_states(self) -> None:
        states = [
            ReplicaState(
                replica.replica_id,
                replica.order_number or 0,
                [
                    HeldModel(model, sorted(adapters))
                    for model, adapters in replica.holdings.items()
                    if model not in replica.retiring
                ],
                replica.report.queued if replica.report else 0,
                replica.report.running if replica.report else 0,
                replica.report.memory_used if replica.report else 0,
                replica.leaving,
            )
            for replica in self.directory.all()
            if replica.report is not None
        ]
        awaited = self.fleet.awaited()
        self.meter.expected = awaited
        now_s = boottime_s()
        message = ReplicaStates(
            self.leadership.fence,
            states,
            [AwaitedLoad(key, int((ready_s - now_s) * 1000)) for key, ready_s in awaited.items()],
        )
        self.node.send_all([peer.address for peer in self.heard()], message)

    def tell_states_now(self) -> None:
        """Tell the others at once that something has changed at a replica."""
        if self.fleet.leads():
            self._tell_states()

    def _take_digest(self, envelope: Envelope) -> None:
        digest: GatewayDigest = envelope.message
        self.add(digest.address)
        peer = self._by_address.get(digest.address)
        if peer is None:
            return
        if not peer.is_heard:
            log_change('peer_heard', peer=digest.instance_id, address=digest.address)
        peer.instance_id = digest.instance_id
        peer.heard_s = boottime_s()
        peer.config_version = digest.config_version
        peer.fence = digest.fence
        peer.reached = digest.reached
        if digest.fence:
            self.leadership.note_fence(digest.fence)
        loads = {load.replica_id: Load(load.calls, load.tokens) for load in digest.loads}
        self.directory.take_peer_loads(digest.instance_id, loads)
        self.fleet.totals.take(digest.instance_id, digest.demands)

    def _take_leaving(self, envelope: Envelope) -> None:
        for peer in self._by_address.values():
            if peer.address == envelope.sender:
                peer.heard_s = 0.0
                peer.fence = 0

    def _take_wanted(self, envelope: Envelope) -> None:
        wanted: ModelWanted = envelope.message
        self.fleet.want(wanted.key)

    def _take_states(self, envelope: Envelope) -> None:
        message: ReplicaStates = envelope.message
        self.leadership.note_fence(message.fence)
        if self.fleet.leads() or message.fence < self._states_fence:
            # A predecessor's word that a cut held up is older than what is known
            # (tests/fleet/test_neighbours.py::test_late_word_of_a_predecessor).
            return
        self._states_fence = message.fence
        for state in message.states:
            report = ReplicaReport(
                holdings=tuple(Holding(h.model, frozenset(h.adapters)) for h in state.held),
                busy=False,
                order_number=state.order_number,
                queued=state.queued,
                running=state.running,
                memory_used=state.memory_used,
                leaving=state.leaving,
            )
            self.directory.take_report(state.replica_id, report)
        now_s = boottime_s()
        self.meter.expected = {
            awaited.key: now_s + awaited.left_ms / 1000 for awaited in message.awaited
        }

    async def follow_peers(self) -> None:
        """While the store is out of reach, ask the peers for what they know of it."""
        while True:
            await asyncio.sleep(jittered_s(QUERY_S))
            if all(mirror.in_touch for mirror in self.mirrors.values()):
                continue
            peers = [peer for peer in self.heard() if peer.reached] or self.heard()
            if not peers:
                # At a start nobody was heard yet; the seeds may know.
                peers = list(self._by_address.values())
            if peers:
                versions = {name: mirror.highest for name, mirror in self.mirrors.items()}
                self.node.send(random.choice(peers).address, RowsQuery(versions))

    def _answer_query(self, envelope: Envelope) -> None:
        query: RowsQuery = envelope.message
        tables = []
        for name, mirror in self.mirrors.items():
            after = query.versions.get(name, 0)
            rows = [
                TableRow(row.key, row.value, row.version, row.gone)
                for row in mirror.all_rows()
                if row.version > after
            ]
            if rows:
                tables.append(TableRows(name, rows))
        self.add(envelope.sender)
        if tables:
            self.node.send(envelope.sender, RowsReply(tables))

    def _take_rows(self, envelope: Envelope) -> None:
        reply: RowsReply = envelope.message
        for table in reply.tables:
            mirror = self.mirrors.get(table.table)
            if mirror is not None:
                mirror.take(Row(row.key, row.value, row.version, row.gone) for row in table.rows)

    async def register(self, store: RowTable) -> None:
        """Write this gateway's row, so that the others find it."""
        value = msgspec.json.encode(MemberValue(self.node.address))
        attempt = 0
        while True:
            try:
                await store.write(MEMBER_TABLE, self.instance_id, value, None)
                return
            except (PlatformUnavailable, PlatformUnknown, ConditionFailed):
                attempt += 1
                await asyncio.sleep(full_jitter_s(attempt, 0.2, 2.0))
