"""Sends the other gateways, while this one leads, what replicas hold and what is loading.

Owns the highest fence under which states were taken. Relies on the directory of replicas, where
states go, and on :mod:`~limeshelf.membership.receivers` for who is sent them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.membership import receivers
from limeshelf.membership.messages import AwaitedLoad, ReplicaStates
from limeshelf.membership.states import report_of, state_of
from limeshelf.replicas.starts import StatementWay
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.lease.leadership import Leadership
    from limeshelf.membership.leader import LeaderView
    from limeshelf.membership.members import Members
    from limeshelf.membership.state_changes import StateChanges
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.placement.service import PlacementService
    from limeshelf.replicas.directory import ReplicaDirectory

#: Loads under way are sent at least this often.
STATES_INTERVAL_S = 0.25
#: A gateway that does not lead checks this often whether it does.
FOLLOWER_CHECK_S = 0.5
#: States of all replicas, changed or not, are sent this often.
ALL_STATES_INTERVAL_S = 1.0
#: Changes of replicas that come closer together than this are sent together.
CHANGES_GAP_S = 0.05


def states_count(*, fence: int, newest_fence: int, own_leads: bool) -> bool:
    """Return whether states of replicas from another gateway are newer than those here.

    A leader asks the replicas itself. States of a predecessor that a cut held up are older
    than what is known (tests/membership/test_state_exchange.py::
    test_late_word_of_a_predecessor).

    :param fence: of the lease under which the states were sent.
    :param newest_fence: the highest under which states were taken so far.
    :param own_leads: whether this gateway leads.
    """
    return not own_leads and fence >= newest_fence


@attrs.define
class StateExchange:
    """Sends the states of replicas as the leader, and takes those of another leader."""

    node: PeerNode
    members: Members
    leader: LeaderView
    leadership: Leadership
    directory: ReplicaDirectory
    meter: DemandMeter
    placement: PlacementService
    changes: StateChanges
    _newest_fence: int = 0
    _all_due_s: float = 0.0

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(ReplicaStates, self._take_states)

    async def run(self) -> None:
        """While this gateway leads, send what the replicas report."""
        while True:
            limit_s = STATES_INTERVAL_S if self.leader.is_self else FOLLOWER_CHECK_S
            await self.changes.wait(limit_s, CHANGES_GAP_S)
            changed = self.changes.take()
            if not self.leader.is_self:
                continue
            whole = boottime_s() >= self._all_due_s
            if whole:
                self._all_due_s = boottime_s() + ALL_STATES_INTERVAL_S
            self._send_states(changed, whole)

    def _send_states(self, changed: set[str], whole: bool) -> None:
        states = [
            state_of(replica)
            for replica in self.directory.all()
            if replica.report is not None and (whole or replica.replica_id in changed)
        ]
        self.meter.announced_s = self.placement.expected_ready_times()
        now_s = boottime_s()
        awaited = [
            AwaitedLoad(key, int((ready_s - now_s) * 1000))
            for key, ready_s in self.meter.announced_s.items()
        ]
        may_order = self.leadership.order_time_left_s() > 0
        message = ReplicaStates(self.leadership.fence, states, awaited, whole, may_order)
        self.node.send_all(receivers.of_states(self.members), message)

    def _take_states(self, envelope: Envelope) -> None:
        message: ReplicaStates = envelope.message
        self.leadership.note_fence(message.fence)
        if not states_count(
            fence=message.fence,
            newest_fence=self._newest_fence,
            own_leads=self.leader.is_self,
        ):
            return
        self._newest_fence = message.fence
        self.leader.note_claim(envelope.sender, message.fence, message.may_order)
        addresses = receivers.of_forwarded(self.members, envelope.data_centre)
        self.node.forward_all(addresses, envelope)
        for state in message.states:
            self.directory.take_report(state.replica_id, report_of(state), StatementWay.PEER)
        now_s = boottime_s()
        self.meter.announced_s = {
            awaited.key: now_s + awaited.left_ms / 1000 for awaited in message.awaited
        }
