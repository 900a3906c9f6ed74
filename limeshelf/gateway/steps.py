"""Decides what follows from the selection of a replica: a send, a wait, or the end of the call.

Applies the rules of :mod:`limeshelf.admission` to what the selection found. Owns no state; spends
the retry budget, counts refusals as demand, and has unreachable replicas probed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.admission import retry_after
from limeshelf.admission.hold_or_refuse import (
    CallWithoutReplica,
    Hold,
    RefuseUntilReady,
    hold_or_refuse,
)
from limeshelf.dispatch.grants import NoCapacity
from limeshelf.errors import RefusalReason
from limeshelf.gateway.call_log import log_no_replica, log_overloaded
from limeshelf.gateway.endings import refuse_unavailable
from limeshelf.gateway.selection import NoVersion, Selected, Unreachable

if TYPE_CHECKING:
    from limeshelf.admission.retry_budget import RetryBudgets
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.demand.waits import CallWaitEstimate
    from limeshelf.gateway.endings import Ending
    from limeshelf.gateway.forwarder import Forwarder
    from limeshelf.gateway.selection import Selection
    from limeshelf.gateway.state import CallState
    from limeshelf.membership.member import Member
    from limeshelf.replicas.pool import ConnectionPool


@attrs.frozen
class ForwardTo:
    """The call is sent through another gateway, which reaches replicas that this one does not."""

    member: Member


@attrs.frozen
class StepChooser:
    """Chooses the next step of calls."""

    demand: DemandMeter
    budgets: RetryBudgets
    forwarder: Forwarder
    pool: ConnectionPool

    def choose(
        self, state: CallState, selection: Selection
    ) -> Selected | ForwardTo | Hold | Ending:
        """Return what follows from a selection."""
        if isinstance(selection, NoCapacity):
            return self._refuse_overloaded(state, selection.wait_s)
        if isinstance(selection, Selected):
            return self._use_replica(state, selection)
        if isinstance(selection, NoVersion):
            # A version that is gone does not come back while the caller waits.
            retry_after_s = state.left_s if selection.is_gone else None
            return refuse_unavailable(
                state.progress(), RefusalReason.STREAM_VERSION_GONE, retry_after_s
            )
        if isinstance(selection, Unreachable):
            step = self._forward_or_refuse(state, selection)
            if step is not None:
                return step
        wait_estimate = self.demand.estimate_wait(state.call, state.service)
        decision = hold_or_refuse(_call_without_replica(state, wait_estimate))
        if isinstance(decision, RefuseUntilReady):
            return _refuse_no_replica(state, decision, wait_estimate)
        return decision

    def record_call(self, state: CallState) -> None:
        """Count a call, which earns a part of a retry."""
        self.budgets.of(state.service.name).record_call()

    def _use_replica(self, state: CallState, selected: Selected) -> Selected | Ending:
        self.demand.record_key_held(state.call, state.service)
        if self._may_send(state):
            return selected
        selected.report_end()
        return refuse_unavailable(state.progress(), RefusalReason.UPSTREAM_REFUSED)

    def _forward_or_refuse(
        self, state: CallState, unreachable: Unreachable
    ) -> ForwardTo | Ending | None:
        """Return the gateway that may carry a call whose replicas cannot be reached from here.

        ``None`` if nobody reaches them, and the call may be held until that changes.
        """
        member = self.forwarder.choose(state)
        if member is not None and self._may_send(state):
            return ForwardTo(member)
        self.pool.probe_soon(unreachable.replicas)
        return None if _may_be_held(state) else self._refuse_unreachable(state)

    def _may_send(self, state: CallState) -> bool:
        """Return whether a call may be sent now; spends the retry if this is one."""
        return not state.sends or self.budgets.of(state.service.name).try_retry()

    def _refuse_unreachable(self, state: CallState) -> Ending:
        """Refuse a call for whose replicas neither this gateway nor another one has a path."""
        retry_after_s = retry_after.for_wait_s(retry_after.UNREACHABLE_RETRY_AFTER_S, state.left_s)
        return refuse_unavailable(
            state.progress(), RefusalReason.UPSTREAM_UNREACHABLE, retry_after_s
        )

    def _refuse_overloaded(self, state: CallState, queue_wait_s: float) -> Ending:
        left_s = state.left_s
        if not state.is_forwarded:
            self.demand.count_refused(state.call, state.service)
        copy_in_s = self.demand.estimate_wait(state.call, state.service).announced_in_s
        log_overloaded(state, queue_wait_s, copy_in_s)
        retry_after_s = retry_after.for_overload_s(queue_wait_s, copy_in_s, left_s)
        return refuse_unavailable(state.progress(), RefusalReason.OVERLOADED, retry_after_s)


def _may_be_held(state: CallState) -> bool:
    """Return whether a call whose replicas nobody reaches may be held.

    A model may be loaded elsewhere. For a plain call only the return of a replica helps, so its
    caller is told to retry, and held then. A forwarded call is left to the other gateway.
    """
    if state.is_forwarded:
        return False
    is_model_call = state.call.model_need is not None and state.service.engine is not None
    return is_model_call or state.answer.started or state.is_caller_retry


def _call_without_replica(state: CallState, wait_estimate: CallWaitEstimate) -> CallWithoutReplica:
    return CallWithoutReplica(
        route=state.route,
        expected_wait_s=wait_estimate.wait_s,
        waited_s=state.since_arrival_s,
        left_s=state.left_s,
        is_caller_retry=state.is_caller_retry,
        announced=wait_estimate.is_announced,
        excluded=bool(state.excluded),
        answer_started=state.answer.started,
    )


def _refuse_no_replica(
    state: CallState, refusal: RefuseUntilReady, wait_estimate: CallWaitEstimate
) -> Ending:
    log_no_replica(state, refusal.expected_wait_s, wait_estimate)
    return refuse_unavailable(
        state.progress(), RefusalReason.NO_READY_REPLICA, refusal.retry_after_s
    )
