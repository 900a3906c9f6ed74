"""Sends replica states and model loads in progress to all gateways while this one is the leader.

States received from another leader go to the replica directory. Owns the highest fence of the
states accepted so far. :mod:`~limeshelf.membership.receivers` decides on the receivers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.membership import receivers
from limeshelf.membership.messages import AwaitedLoad, ReplicaStates
from limeshelf.membership.state_conversion import report_from_state, state_from_replica
from limeshelf.membership.state_refresh import StateRefresh
from limeshelf.replicas.starts import StateSource
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

#: Longest interval between messages of the leader; each contains the loads in progress.
STATES_INTERVAL_S = 0.25
#: Longest interval at which another gateway checks whether it has become the leader.
FOLLOWER_CHECK_INTERVAL_S = 0.5
#: Changes within this time after the first one are sent together.
CHANGES_BATCH_WINDOW_S = 0.05


def accepts_states(*, fence: int, highest_fence: int, own_leads: bool) -> bool:
    """Return whether replica states received from another gateway are to be accepted.

    A leader queries the replicas itself. States from a former leader that were delayed by a
    network partition are older than the known ones (tests/membership/test_state_exchange.py::
    test_delayed_states_of_a_former_leader_are_ignored).

    :param fence: fencing token under which the states were sent.
    :param highest_fence: highest fencing token of the states accepted so far.
    :param own_leads: whether this gateway is the leader.
    """
    return not own_leads and fence >= highest_fence


@attrs.define
class StateExchange:
    """Sends replica states as the leader, and applies those of another leader."""

    node: PeerNode
    members: Members
    leader: LeaderView
    leadership: Leadership
    directory: ReplicaDirectory
    meter: DemandMeter
    placement: PlacementService
    changes: StateChanges
    refresh: StateRefresh = attrs.field(factory=StateRefresh)
    _highest_fence: int = 0

    def start(self) -> None:
        """Register the message handler."""
        self.node.add_handler(ReplicaStates, self._handle_states)

    async def run(self) -> None:
        """Send replica states whenever this gateway is the leader; runs until cancelled."""
        while True:
            timeout_s = STATES_INTERVAL_S if self.leader.is_self else FOLLOWER_CHECK_INTERVAL_S
            await self.changes.wait(timeout_s, CHANGES_BATCH_WINDOW_S)
            changed = self.changes.pop_replicas()
            if not self.leader.is_self:
                continue
            self._send_states(changed)

    def _send_states(self, changed: set[str]) -> None:
        """Send the states that have changed, and those whose turn has come.

        :param changed: ids of the replicas whose states have changed.
        """
        addresses = receivers.of_states(self.members)
        replicas = {
            replica.replica_id: replica
            for replica in self.directory.all()
            if replica.report is not None
        }
        refreshed = self.refresh.next_replicas(sorted(replicas), len(addresses))
        states = [
            state_from_replica(replica)
            for replica_id, replica in replicas.items()
            if replica_id in changed or replica_id in refreshed
        ]
        is_full = len(states) == len(replicas)
        self.meter.announced_ready_s = self.placement.expected_ready_times()
        now_s = boottime_s()
        awaited = [
            AwaitedLoad(key, int((ready_s - now_s) * 1000))
            for key, ready_s in self.meter.announced_ready_s.items()
        ]
        may_order = self.leadership.order_time_left_s() > 0
        message = ReplicaStates(self.leadership.fence, states, awaited, is_full, may_order)
        self.node.send_all(addresses, message)

    def announce_end(self, fence: int) -> None:
        """Let others contend at once, because this gateway gives up its term.

        Without this they would wait until its last claim to lead has expired.

        :param fence: of the term.
        """
        message = ReplicaStates(fence, [], [], whole=False, may_order=False)
        self.node.send_all(receivers.of_states(self.members), message)

    def _handle_states(self, envelope: Envelope) -> None:
        message: ReplicaStates = envelope.message
        self.leadership.observe_fence(message.fence)
        if not accepts_states(
            fence=message.fence,
            highest_fence=self._highest_fence,
            own_leads=self.leader.is_self,
        ):
            return
        self._highest_fence = message.fence
        self.leader.record_claim(envelope.sender, message.fence, message.may_order)
        addresses = receivers.of_forwarded(self.members, envelope.data_centre)
        self.node.forward_all(addresses, envelope)
        for state in message.states:
            self.directory.apply_report(
                state.replica_id, report_from_state(state), StateSource.PEER
            )
        now_s = boottime_s()
        self.meter.announced_ready_s = {
            awaited.key: now_s + awaited.left_ms / 1000 for awaited in message.awaited
        }
