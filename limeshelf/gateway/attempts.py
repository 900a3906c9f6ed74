"""Sends a call to one replica, and applies the result to the state of both.

Keeps no state beyond the attempt. Relies on :mod:`limeshelf.gateway.exchange` for the transfer,
on :mod:`limeshelf.gateway.result_rules` for what the result means for the replica, and on
:mod:`limeshelf.gateway.quarantine` for what it means for the call.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.retry_rules import head_limit_s
from limeshelf.calls.wire import SendContext
from limeshelf.gateway.answer import CallerDisconnected
from limeshelf.gateway.call_log import log_abandoned, log_attempt
from limeshelf.gateway.exchange import Exchange
from limeshelf.gateway.result_rules import (
    STATUS_SERVER_ERROR,
    Failed,
    apply_finding,
    classify_for_replica,
    excludes_replica,
    was_reached,
)
from limeshelf.gateway.results import WholeAnswer
from limeshelf.replicas.health import Failure
from limeshelf.util.clock import boottime_s
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from limeshelf.calls.wire import AnswerHead, CallWire
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.gateway.quarantine import QuarantineGuard
    from limeshelf.gateway.results import ReplicaResult
    from limeshelf.gateway.selection import Selected
    from limeshelf.gateway.state import CallState
    from limeshelf.gateway.stream_binding import StreamBinder
    from limeshelf.organisations.organisation import Organisation
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.notices import NoticeHandler
    from limeshelf.replicas.pool import ConnectionPool
    from limeshelf.replicas.replica import Replica

#: A replica that has sent nothing for this long since a call was sent to it is probed.
SILENCE_CHECK_S = 0.4


@attrs.frozen
class AttemptRunner:
    """Runs attempts of calls."""

    wire: CallWire
    directory: ReplicaDirectory
    pool: ConnectionPool
    quarantine: QuarantineGuard
    notices: NoticeHandler
    demand: DemandMeter
    binder: StreamBinder

    async def run(
        self, state: CallState, selected: Selected, organisation: Organisation | None
    ) -> None:
        """Send a call to the selected replica, and record the result in *state*."""
        sent_s = boottime_s()
        try:
            result = await self._send(state, selected, organisation)
        except (asyncio.CancelledError, CallerDisconnected):
            log_abandoned(state, selected.replica)
            self.quarantine.record_abandoned(state, selected.replica)
            raise
        state.record_result(result)
        if isinstance(result, WholeAnswer) and result.head.status < STATUS_SERVER_ERROR:
            self.demand.record_served(state.call, state.service)
        self._apply_result(state, selected.replica, result)
        self.quarantine.record_result(state, selected.replica, result, sent_s)

    async def _send(
        self, state: CallState, selected: Selected, organisation: Organisation | None
    ) -> ReplicaResult:
        call = state.call
        replica = selected.replica
        tokens = call.model_need.memory_tokens if call.model_need else 0
        state.begin_attempt()
        self.quarantine.record_send(state, replica)
        context = SendContext(
            left_s=state.left_s,
            replica_id=replica.replica_id,
            priority=state.priority,
            last_event_id=state.splitter.last_id or call.last_event_id,
            organisation=organisation.name if organisation else None,
        )
        connections = self.pool.connections(replica, state.service)
        sent_s = boottime_s()
        exchange = Exchange(
            call,
            connections,
            self.wire,
            state.answer,
            state.splitter,
            lambda: self._report_first_event(state, selected),
            lambda head: self._handle_head(replica, head, sent_s),
            selected.may_send,
        )
        silence_timer = asyncio.get_running_loop().call_later(
            SILENCE_CHECK_S, self._check_if_silent, replica, sent_s
        )
        replica.own_load.calls += 1
        replica.own_load.tokens += tokens
        try:
            # Read only once, so that both limits expire at the same instant where the head may
            # take all the time left; the outer one takes precedence then.
            left_s = state.left_s
            async with boot_timeout(left_s):
                limit_s = head_limit_s(state.route, state.runs, left_s)
                return await exchange.run(context, limit_s)
        except TimeoutError:
            return exchange.deadline_exceeded()
        finally:
            silence_timer.cancel()
            replica.own_load.calls -= 1
            replica.own_load.tokens -= tokens
            selected.report_end()

    def _handle_head(self, replica: Replica, head: AnswerHead, sent_s: float) -> None:
        replica.health.record_heard()
        self.notices.handle_call_response(replica, head, sent_s)

    def _check_if_silent(self, replica: Replica, sent_s: float) -> None:
        """Probe a replica from which nothing has arrived since a call was sent to it.

        On a connection that was open before a partition, the call itself shows nothing for longer.
        """
        if replica.health.heard_s < sent_s:
            self.pool.check(replica)

    def _report_first_event(self, state: CallState, selected: Selected) -> None:
        self.binder.record_first_event(state, selected.replica)
        selected.report_first_event()
        self.quarantine.record_first_event(state)
        self.demand.record_served(state.call, state.service)

    def _apply_result(self, state: CallState, replica: Replica, result: ReplicaResult) -> None:
        need = state.call.model_need
        is_model_call = need is not None and state.service.engine is not None
        finding = classify_for_replica(result, is_model_call)
        if excludes_replica(finding):
            state.record_excluded(replica.replica_id, reached=was_reached(result))
        was_unreachable = replica.health.awaits_probe
        suspended = apply_finding(finding, replica, need, self.directory)
        if replica.health.awaits_probe and not was_unreachable:
            self.pool.record_unreachable(replica, self.directory)
        elif isinstance(finding, Failed) and finding.failure is Failure.BROKEN:
            self.pool.check(replica)
        load = self.directory.load_of(replica)
        log_attempt(state, replica, load, result, suspended)
