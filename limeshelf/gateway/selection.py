"""Which replica a call's next attempt goes to.

Calls to models are dispatched by one gateway for all of them
(:mod:`limeshelf.dispatch`); plain calls are routed here, by cost
(:mod:`limeshelf.routing`). Owns nothing; relies on the directory for replicas that left
or are suspended here.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.patience import hold_left_s, patience_left_s
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.grants import GrantRequest, NoHolder, NoRoom

if TYPE_CHECKING:
    from limeshelf.calls.call import ModelNeed
    from limeshelf.dispatch.client import DispatchClient
    from limeshelf.dispatch.grants import Grant
    from limeshelf.dispatch.turns import TurnExchange
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.routing.chooser import Chooser


@attrs.frozen
class Selected:
    """The replica for an attempt, with the dispatcher's grant if it gave one.

    :param has_permit: a turn goes with it at a replica that takes only so many calls a second.
    """

    replica: Replica
    grant: Grant | None
    has_permit: bool = False

    def may_send(self) -> bool:
        """Return whether the call may go to the replica by what that asks for now.

        What it was chosen by may have changed while it waited for a connection.
        """
        if not self.replica.takes_calls or self.replica.backpressure.is_paused:
            return False
        return self.has_permit or self.replica.backpressure.rate_per_s is None

    def report_first_event(self) -> None:
        """Report to the dispatcher that the first event came."""
        if self.grant is not None:
            self.grant.report_read()

    def report_end(self) -> None:
        """Report to the dispatcher that the attempt is over, or that there is none."""
        if self.grant is not None:
            self.grant.report_ended()


Selection = Selected | NoRoom | NoHolder


@attrs.frozen
class ReplicaSelector:
    """Selects a replica for each attempt of a call."""

    directory: ReplicaDirectory
    chooser: Chooser
    dispatch: DispatchClient
    turns: TurnExchange

    async def select(self, state: CallState) -> Selection:
        """Return the replica to send a call to next, or why there is none."""
        need = state.call.model_need
        if need is not None and state.service.engine is not None:
            return await self._select_dispatched(state, need)
        return await self._select_routed(state)

    async def _select_routed(self, state: CallState) -> Selection:
        """Return the cheapest replica that takes the call now.

        Those that have no turn for it in time are passed over.
        """
        excluded = set(state.excluded)
        next_turns_s = []
        while (chosen := self.chooser.choose(state.service, frozenset(excluded))) is not None:
            if chosen.backpressure.rate_per_s is None:
                return Selected(chosen, None)
            turn = await self.turns.get(chosen, _permit_wait_limit_s(state))
            if turn.is_granted:
                return Selected(chosen, None, has_permit=True)
            excluded.add(chosen.replica_id)
            next_turns_s.append(turn.wait_s)
        if next_turns_s and not state.excluded:
            return NoRoom(min(next_turns_s))
        # Those that refused the call may take it sooner.
        return NoHolder()

    async def _select_dispatched(self, state: CallState, need: ModelNeed) -> Selection:
        answered = await self.dispatch.ask(self._grant_request(state, need))
        if isinstance(answered, NoRoom | NoHolder):
            return answered
        replica = self.directory.get(answered.replica_id)
        if replica is not None and replica.takes_calls:
            has_turn = answered.has_turn or await self._acquire_permit(state, replica, answered)
            if has_turn or replica.backpressure.rate_per_s is None:
                return Selected(replica, answered, has_turn)
        # The dispatcher has no report yet that the replica leaves, or gives no turns there.
        answered.report_ended()
        state.excluded.add(answered.replica_id)
        return NoHolder()

    async def _acquire_permit(self, state: CallState, replica: Replica, grant: Grant) -> bool:
        """Return whether there is a turn for a call that was granted without one.

        Who granted it had not heard yet that the replica takes only so many calls, or stands in
        for its owner.
        """
        if replica.backpressure.rate_per_s is None:
            return False
        try:
            turn = await self.turns.get(replica, _permit_wait_limit_s(state))
        except asyncio.CancelledError:
            grant.report_ended()
            raise
        return turn.is_granted

    def _grant_request(self, state: CallState, need: ModelNeed) -> GrantRequest:
        waited_s = state.since_arrival_s
        return GrantRequest(
            key=ModelKey(state.service.name, need.model, need.adapter),
            need=need,
            priority=state.priority,
            objective_s=state.route.objective_s - waited_s,
            left_s=min(state.left_s, patience_left_s(state.route, waited_s)),
            pause_s=state.route.pause_s,
            excluded=frozenset(state.excluded | self._unusable_here(state)),
            returned=state.is_caller_retry,
        )

    def _unusable_here(self, state: CallState) -> set[str]:
        """Return the replicas that this gateway cannot use now, whoever else can."""
        return {
            replica.replica_id
            for replica in self.directory.of_service(state.service.name)
            if replica.health.is_suspended() or replica.backpressure.is_paused
        }


def _permit_wait_limit_s(state: CallState) -> float:
    """Return how long a call can wait for its turn at a replica, in seconds."""
    bearable_s = patience_left_s if state.is_caller_retry else hold_left_s
    return max(0.0, min(state.left_s, bearable_s(state.route, state.since_arrival_s)))
