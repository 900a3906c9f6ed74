"""Processes calls: route, admit, select a replica, send, retry, answer.

Owns the set of calls that wait for a replica. Each step has a module of its own:
:mod:`~limeshelf.gateway.access` (authorisation), :mod:`~limeshelf.gateway.limits` (rate limits),
:mod:`~limeshelf.gateway.quarantine` (calls that crash replicas),
:mod:`~limeshelf.gateway.selection` (choice of the replica), :mod:`~limeshelf.gateway.steps` (what
follows from it), :mod:`~limeshelf.admission.hold_or_refuse` (no replica is available),
:mod:`~limeshelf.gateway.attempts` (one send), :mod:`~limeshelf.gateway.forwarder` (sends by
another gateway), :mod:`~limeshelf.admission.retry_rules` and
:mod:`~limeshelf.admission.retry_budget` (retries),
:mod:`~limeshelf.gateway.endings` (how a call ends),
:mod:`~limeshelf.gateway.final_answer` (the answer to the caller) and
:mod:`~limeshelf.admission.retry_after` (the ``Retry-After`` of refusals).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.admission import retry_after
from limeshelf.admission.hold_or_refuse import (
    Hold,
)
from limeshelf.admission.retry_rules import is_too_late, reason_not_to_send
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.endings import (
    STATUS_UNAVAILABLE,
    STATUS_UNKNOWN_ROUTE,
    Refuse,
    Retry,
    deadline_refusal,
    decide_after_attempt,
    refuse,
    refuse_unavailable,
)
from limeshelf.gateway.final_answer import CarriedAnswerSender, FinalAnswerSender
from limeshelf.gateway.selection import Selected
from limeshelf.gateway.state import CallState
from limeshelf.gateway.steps import ForwardTo
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.active_config import ActiveConfig
    from limeshelf.calls.call import Call
    from limeshelf.calls.routes import Route, ServingConfig
    from limeshelf.calls.wire import CallWire
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.forwarding.wire import ReceivedCall
    from limeshelf.gateway.access import AccessGuard
    from limeshelf.gateway.answer import Answer
    from limeshelf.gateway.attempts import AttemptRunner
    from limeshelf.gateway.config_freshness import ConfigFreshness
    from limeshelf.gateway.endings import Ending
    from limeshelf.gateway.forwarder import Forwarder
    from limeshelf.gateway.limits import LimitGuard
    from limeshelf.gateway.quarantine import QuarantineGuard
    from limeshelf.gateway.selection import ReplicaSelector
    from limeshelf.gateway.steps import StepChooser
    from limeshelf.gateway.stream_binding import StreamBinder
    from limeshelf.organisations.access import AccessGranted
    from limeshelf.replicas.directory import ReplicaDirectory

#: The final answer is sent this long before the caller's time-out.
ANSWER_MARGIN_S = 0.02
#: Time-out of a call whose caller states none.
DEFAULT_CALLER_TIMEOUT_S = 30.0


class Pipeline:
    """Serves calls under the current configuration."""

    def __init__(
        self,
        wire: CallWire,
        directory: ReplicaDirectory,
        selector: ReplicaSelector,
        attempts: AttemptRunner,
        demand: DemandMeter,
        active_config: ActiveConfig,
        freshness: ConfigFreshness,
        access: AccessGuard,
        limits: LimitGuard,
        quarantine: QuarantineGuard,
        forwarder: Forwarder,
        steps: StepChooser,
        binder: StreamBinder,
    ) -> None:
        self._directory = directory
        self._selector = selector
        self._attempts = attempts
        self._demand = demand
        self._active_config = active_config
        self._freshness = freshness
        self._final_answer = FinalAnswerSender(wire, active_config, freshness.age_s)
        self._access = access
        self._limits = limits
        self._quarantine = quarantine
        self._forwarder = forwarder
        self._steps = steps
        self._binder = binder
        self._carried_answer = CarriedAnswerSender(wire, active_config, freshness.age_s)
        self._waiting: set[asyncio.Task[object]] = set()
        self._stopping = False

    @property
    def config(self) -> ServingConfig | None:
        """Return the current configuration; ``None`` before the first."""
        return self._active_config.config

    def time_left_s(self, call: Call) -> float:
        """Return how long a call may still take, in seconds; its body need not be known."""
        config = self.config
        route = config.route_for(call.host, call.path) if config is not None else None
        return _deadline_s(call, route) - boottime_s()

    async def serve(self, call: Call, answer: Answer) -> None:
        """Forward a call to a replica, and answer the caller."""
        state = self._begin_call(call, answer)
        if isinstance(state, Refuse):
            await self._final_answer.send(call, state, answer)
            return
        self._quarantine.record_call(state)
        quarantined = self._quarantine.check(state)
        if quarantined is not None:
            await self._final_answer.send(call, quarantined, answer, state.organisation)
            return
        reserved = await self._limits.reserve(call, state.organisation)
        if isinstance(reserved, Refuse):
            await self._final_answer.send(call, reserved, answer, state.organisation)
            return
        state.reservation = reserved
        try:
            await self._serve_within_limit(state)
        finally:
            if reserved is not None:
                reserved.close()

    async def carry(self, received: ReceivedCall, answer: Answer) -> None:
        """Send a call that another gateway forwarded to a replica, and answer that gateway.

        The other gateway counts the call against limits, as demand and in its retry budget.
        """
        state = self._begin_carried(received, answer)
        if isinstance(state, Refuse):
            await self._carried_answer.send(received.call, state, answer)
            return
        state.is_forwarded = True
        state.runs = received.forwarded.runs
        state.excluded.update(received.forwarded.excluded)
        state.version = received.forwarded.version
        left_s = received.left_s - ANSWER_MARGIN_S
        state.deadline_s = min(state.deadline_s, boottime_s() + left_s)
        ending = await self._run_attempts(state)
        await self._carried_answer.send(state.call, ending, answer, state.organisation)

    async def _serve_within_limit(self, state: CallState) -> None:
        call = state.call
        self._steps.record_call(state)
        with self._demand.track(call, state.service.name, state.route.objective_s):
            ending = await self._run_attempts(state)
            await self._final_answer.send(call, ending, state.answer, state.organisation)

    def _begin_carried(self, received: ReceivedCall, answer: Answer) -> CallState | Refuse:
        """Return the state of a call that another gateway forwarded, or its refusal.

        Refused if this gateway would send it to a service from which its route has moved in a
        configuration that the other gateway has and this one does not.
        """
        forwarded = received.forwarded
        state = self._begin_call(received.call, answer, forwarded.service)
        if isinstance(state, Refuse) or state.service.name == forwarded.service:
            return state
        if forwarded.config_version > state.config_version:
            return _not_ready(RefusalReason.CONFIG_TOO_OLD)
        return state

    def _begin_call(
        self, call: Call, answer: Answer, drawn_service: str = ''
    ) -> CallState | Refuse:
        """Return the state of a call that arrives, or its refusal.

        :param drawn_service: service that another gateway drew for it; empty for none.
        """
        config = self.config
        if config is None:
            return _not_ready(RefusalReason.STARTING)
        route = config.route_for(call.host, call.path)
        if route is None:
            unknown = Refuse(STATUS_UNKNOWN_ROUTE, NotRun(RefusalReason.UNKNOWN_ROUTE))
            return self._freshness.checked(unknown)
        admitted = self._access.check(call, route)
        if isinstance(admitted, Refuse):
            return admitted
        is_drawn = route.leads_to(drawn_service)
        service = config.services.get(drawn_service if is_drawn else route.draw_service())
        if service is None:
            return _not_ready(RefusalReason.NO_READY_REPLICA)
        return CallState(
            call,
            answer,
            route,
            service,
            _deadline_s(call, route),
            admitted.organisation,
            config_version=config.version,
            config_age_s=self._freshness.age_s(),
        )

    async def _run_attempts(self, state: CallState) -> Ending:
        while True:
            unbound = await self._binder.bind(state)
            if unbound is not None:
                return unbound
            selected = await self._select_unless_stopped(state)
            if not isinstance(selected, Selected | ForwardTo):
                return selected
            # Keys may be revoked, and replicas crash, while calls wait for a replica.
            admitted = self._admit(state)
            if isinstance(admitted, Refuse):
                if isinstance(selected, Selected):
                    selected.report_end()
                return refuse(state.progress(), admitted)
            if isinstance(selected, ForwardTo):
                await self._forwarder.run(state, selected.member)
            else:
                await self._attempts.run(state, selected, admitted.organisation)
            decision = decide_after_attempt(state.progress())
            if not isinstance(decision, Retry):
                return decision

    def _admit(self, state: CallState) -> AccessGranted | Refuse:
        """Return the access granted to a call, or its refusal if it may not be sent now."""
        if is_too_late(state.left_s):
            # After a suspension of the machine, selection may succeed past the deadline.
            return deadline_refusal(state.route)
        quarantined = self._quarantine.check(state)
        return quarantined or self._access.check(state.call, state.route)

    async def _select_unless_stopped(self, state: CallState) -> Selected | ForwardTo | Ending:
        """Return the replica to try next; a planned stop ends the wait for it."""
        task = asyncio.current_task()
        assert task is not None
        self._waiting.add(task)
        try:
            if not self._stopping:
                return await self._select(state)
        except asyncio.CancelledError:
            if not self._stopping:
                raise
            task.uncancel()
        finally:
            self._waiting.discard(task)
        return refuse_unavailable(
            state.progress(), RefusalReason.STOPPING, retry_after.STOPPING_RETRY_AFTER_S
        )

    def refuse_waiting(self) -> None:
        """Refuse the calls that still wait for a replica; callers retry at other gateways."""
        self._stopping = True
        for task in list(self._waiting):
            task.cancel()

    async def _select(self, state: CallState) -> Selected | ForwardTo | Ending:
        """Return the replica or gateway to try next, or how the call ends without one."""
        while True:
            refusal = await self._refusal_before_send(state)
            if refusal is not None:
                return refusal
            step = self._steps.choose(state, await self._selector.select(state))
            if not isinstance(step, Hold):
                return step
            await self._hold(state, step)

    async def _refusal_before_send(self, state: CallState) -> Ending | None:
        """Return how a call ends that may not be sent any more."""
        reason = reason_not_to_send(state.refusals, state.left_s)
        if reason is not None:
            return refuse_unavailable(state.progress(), reason)
        quarantined = await self._quarantine.check_confirmed(state)
        admitted = quarantined or self._access.check(state.call, state.route)
        return refuse(state.progress(), admitted) if isinstance(admitted, Refuse) else None

    async def _hold(self, state: CallState, hold: Hold) -> None:
        """Wait for a change that may let a replica run the call."""
        if hold.retry_excluded:
            state.clear_excluded()
        self._demand.report_missing(state.call, state.service)
        await self._directory.wait_for_change(hold.wait_s)


def _deadline_s(call: Call, route: Route | None) -> float:
    """Return when a call must be answered, on the boot clock."""
    allowed_s = call.caller_timeout_s or DEFAULT_CALLER_TIMEOUT_S
    if route is not None:
        allowed_s = min(allowed_s, route.timeout_s)
    return call.arrived_s + allowed_s - ANSWER_MARGIN_S


def _not_ready(reason: RefusalReason) -> Refuse:
    return Refuse(STATUS_UNAVAILABLE, NotRun(reason, retry_after.NOT_READY_RETRY_AFTER_S))
