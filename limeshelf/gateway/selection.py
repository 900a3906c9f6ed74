"""Which replica a call's next attempt goes to.

Calls to models are dispatched by one gateway for all of them
(:mod:`limeshelf.dispatch`); plain calls are routed here, by cost
(:mod:`limeshelf.routing`). Owns nothing; relies on the directory for replicas that left
or are suspended here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.patience import patience_left_s
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.grants import GrantRequest, NoHolder, NoRoom

if TYPE_CHECKING:
    from limeshelf.calls.call import ModelNeed
    from limeshelf.dispatch.client import DispatchClient
    from limeshelf.dispatch.grants import Grant
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.routing.chooser import Chooser


@attrs.frozen
class Selected:
    """The replica for an attempt, with the dispatcher's grant if it gave one."""

    replica: Replica
    grant: Grant | None

    def note_first_event(self) -> None:
        """Report to the dispatcher that the first event came."""
        if self.grant is not None:
            self.grant.report_read()

    def note_end(self) -> None:
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

    async def select(self, state: CallState) -> Selection:
        """Return the replica to send a call to next, or why there is none."""
        need = state.call.model_need
        if need is not None and state.service.engine is not None:
            return await self._dispatched(state, need)
        chosen = self.chooser.choose(state.service, frozenset(state.excluded))
        return Selected(chosen, None) if chosen is not None else NoHolder()

    async def _dispatched(self, state: CallState, need: ModelNeed) -> Selection:
        answered = await self.dispatch.ask(self._request(state, need))
        if isinstance(answered, NoRoom | NoHolder):
            return answered
        replica = self.directory.get(answered.replica_id)
        if replica is not None and replica.takes_calls:
            return Selected(replica, answered)
        # The dispatcher has no report yet that the replica leaves.
        answered.report_ended()
        state.excluded.add(answered.replica_id)
        return NoHolder()

    def _request(self, state: CallState, need: ModelNeed) -> GrantRequest:
        waited_s = state.since_arrival_s
        return GrantRequest(
            key=ModelKey(state.service.name, need.model, need.adapter),
            need=need,
            priority=state.priority,
            objective_s=state.route.objective_s - waited_s,
            left_s=min(state.left_s, patience_left_s(state.route, waited_s)),
            pause_s=state.route.pause_s,
            excluded=frozenset(state.excluded | self._unreachable(state)),
            returned=state.returned,
        )

    def _unreachable(self, state: CallState) -> set[str]:
        """Return the replicas that this gateway cannot use now, whoever else can."""
        return {
            replica.replica_id
            for replica in self.directory.of_service(state.service.name)
            if replica.health.is_suspended()
        }
