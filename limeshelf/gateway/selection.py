"""Selects the replica for a call's next attempt.

One gateway, the dispatcher, selects the replicas of model calls for all gateways
(:mod:`limeshelf.dispatch`). Each gateway selects those of plain calls itself, by cost
(:mod:`limeshelf.routing`). Stateless; relies on the directory for replicas that left or are
suspended here.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.wait_limits import first_event_timeout_left_s, hold_left_s
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.grants import GrantRequest, NoCapacity, NoHolder

if TYPE_CHECKING:
    from limeshelf.calls.call import ModelNeed
    from limeshelf.dispatch.client import DispatchClient
    from limeshelf.dispatch.grants import Grant
    from limeshelf.dispatch.permits import PermitExchange
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.routing.plain_selector import PlainReplicaSelector


@attrs.frozen
class Selected:
    """The replica for an attempt.

    :param grant: grant of the dispatcher; ``None`` for a plain call.
    :param has_permit: whether the call has a permit of the replica's rate limit.
    """

    replica: Replica
    grant: Grant | None
    has_permit: bool = False

    def may_send(self) -> bool:
        """Return whether the replica's backpressure still allows the call.

        It may have changed since the selection, while the call waited for a connection.
        """
        if not self.replica.takes_calls or self.replica.backpressure.is_paused:
            return False
        return self.has_permit or self.replica.backpressure.rate_per_s is None

    def report_first_event(self) -> None:
        """Report to the dispatcher that the first event has arrived."""
        if self.grant is not None:
            self.grant.report_prefilled()

    def report_end(self) -> None:
        """Report to the dispatcher that the attempt has ended, or is not made."""
        if self.grant is not None:
            self.grant.report_ended()


@attrs.frozen
class Unreachable:
    """Replicas could run the call, but no connection to any of them can be opened from here.

    :param replicas: at least one.
    """

    replicas: tuple[Replica, ...]


@attrs.frozen
class NoVersion:
    """No replica of the software version that began the stream serves what the call needs.

    :param is_gone: whether none of that version serves at all.
    """

    is_gone: bool


Selection = Selected | NoCapacity | NoHolder | Unreachable | NoVersion


@attrs.frozen
class ReplicaSelector:
    """Selects a replica for each attempt of a call."""

    directory: ReplicaDirectory
    plain_selector: PlainReplicaSelector
    dispatch: DispatchClient
    permits: PermitExchange

    async def select(self, state: CallState) -> Selection:
        """Return the replica for the next attempt of a call, or why there is none."""
        no_version = self._no_version(state)
        if no_version is not None:
            return no_version
        candidates = self._candidates(state)
        if candidates and not any(_is_reached(state, replica) for replica in candidates):
            return Unreachable(tuple(candidates))
        need = _dispatched_need(state)
        if need is not None:
            return await self._select_dispatched(state, need)
        return await self._select_routed(state)

    def _no_version(self, state: CallState) -> NoVersion | None:
        """Return that no replica will go on with the stream of a call; ``None`` if one may.

        While nobody holds the model, the leader may load it at a replica of the right version.
        """
        if state.version is None:
            return None
        need = _dispatched_need(state)
        serving = self.directory.of_service(state.service.name)
        of_version = [replica for replica in serving if replica.record.version == state.version]
        if len(of_version) == len(serving) or any(_holds(replica, need) for replica in of_version):
            return None
        if of_version and not any(_holds(replica, need) for replica in serving):
            return None
        return NoVersion(is_gone=not of_version)

    def _of_other_versions(self, state: CallState) -> set[str]:
        """Return the replicas at which the stream of a call must not go on."""
        if state.version is None:
            return set()
        need = _dispatched_need(state)
        return {
            replica.replica_id
            for replica in self.directory.of_service(state.service.name)
            if replica.record.version != state.version and _holds(replica, need)
        }

    def _candidates(self, state: CallState) -> list[Replica]:
        """Return the replicas that could run a call and did not refuse or fail it."""
        need = _dispatched_need(state)
        refused = (state.excluded - state.unreached) | self._of_other_versions(state)
        return [
            replica
            for replica in self.directory.of_service(state.service.name)
            if replica.replica_id not in refused
            and not replica.backpressure.is_paused
            and _holds(replica, need)
        ]

    async def _select_routed(self, state: CallState) -> Selection:
        """Return the cheapest replica that accepts the call now.

        Skips rate-limited replicas that have no permit for it in time.
        """
        excluded = state.excluded | self._of_other_versions(state)
        next_permits_s = []
        while (
            chosen := self.plain_selector.choose(state.service, frozenset(excluded))
        ) is not None:
            if chosen.backpressure.rate_per_s is None:
                return Selected(chosen, None)
            permit = await self.permits.acquire(chosen, _permit_wait_limit_s(state))
            if permit.is_granted:
                return Selected(chosen, None, has_permit=True)
            excluded.add(chosen.replica_id)
            next_permits_s.append(permit.wait_s)
        if next_permits_s and not state.excluded:
            return NoCapacity(min(next_permits_s))
        # Replicas that refused the call may accept it before the next permit.
        return NoHolder()

    async def _select_dispatched(self, state: CallState, need: ModelNeed) -> Selection:
        answered = await self.dispatch.request_replica(self._grant_request(state, need))
        if isinstance(answered, NoCapacity | NoHolder):
            return answered
        replica = self.directory.get(answered.replica_id)
        if replica is not None and replica.takes_calls and _may_go_on_at(state, replica):
            has_permit = answered.has_permit or await self._acquire_permit(
                state, replica, answered
            )
            if has_permit or replica.backpressure.rate_per_s is None:
                return Selected(replica, answered, has_permit)
        # The dispatcher does not know yet that the replica leaves, or knows one of another version
        # that is unknown here, or there is no permit for it.
        answered.report_ended()
        state.record_excluded(answered.replica_id, reached=True)
        return NoHolder()

    async def _acquire_permit(self, state: CallState, replica: Replica, grant: Grant) -> bool:
        """Return whether a call that was granted without a permit gets one.

        The gateway that granted it did not know the replica's rate limit yet, or stands in for the
        dispatcher that owns the replica.
        """
        if replica.backpressure.rate_per_s is None:
            return False
        try:
            permit = await self.permits.acquire(replica, _permit_wait_limit_s(state))
        except asyncio.CancelledError:
            grant.report_ended()
            raise
        return permit.is_granted

    def _grant_request(self, state: CallState, need: ModelNeed) -> GrantRequest:
        waited_s = state.since_arrival_s
        return GrantRequest(
            key=ModelKey(state.service.name, need.model, need.adapter),
            need=need,
            priority=state.priority,
            objective_s=state.route.objective_s - waited_s,
            left_s=min(state.left_s, first_event_timeout_left_s(state.route, waited_s)),
            pause_s=state.route.pause_s,
            excluded=frozenset(
                state.excluded | self._unusable_here(state) | self._of_other_versions(state)
            ),
            is_caller_retry=state.is_caller_retry,
        )

    def _unusable_here(self, state: CallState) -> set[str]:
        """Return the replicas that this gateway cannot use now, even if others can."""
        return {
            replica.replica_id
            for replica in self.directory.of_service(state.service.name)
            if replica.health.is_suspended() or replica.backpressure.is_paused
        }


def _may_go_on_at(state: CallState, replica: Replica) -> bool:
    return state.version is None or replica.record.version == state.version


def _dispatched_need(state: CallState) -> ModelNeed | None:
    """Return the need of a call whose replica the dispatcher selects; ``None`` for others."""
    return state.call.model_need if state.service.engine is not None else None


def _holds(replica: Replica, need: ModelNeed | None) -> bool:
    return need is None or replica.holds(need.model, need.adapter)


def _is_reached(state: CallState, replica: Replica) -> bool:
    return not replica.health.awaits_probe and replica.replica_id not in state.unreached


def _permit_wait_limit_s(state: CallState) -> float:
    """Return how long a call can wait for a permit at a replica, in seconds."""
    wait_left_s = first_event_timeout_left_s if state.is_caller_retry else hold_left_s
    return max(0.0, min(state.left_s, wait_left_s(state.route, state.since_arrival_s)))
