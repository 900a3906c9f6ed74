"""Sends a call to one replica, and takes what that teaches of both.

Owns nothing beyond the attempt. Relies on :mod:`limeshelf.gateway.exchange` for what goes over
the connection, on :mod:`limeshelf.gateway.learning` for what a result says of its replica, and on
:mod:`limeshelf.gateway.quarantine` for what it says of the call.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.admission.retry_rules import head_limit_s
from limeshelf.calls.wire import SendFacts
from limeshelf.gateway.exchange import Exchange, WholeAnswer
from limeshelf.gateway.learning import STATUS_SERVER_ERROR, apply, excludes, lesson_of
from limeshelf.gateway.lines import log_attempt
from limeshelf.util.clock import boottime_s
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from limeshelf.calls.in_force import ConfigInForce
    from limeshelf.calls.wire import CallWire
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.gateway.exchange import Result
    from limeshelf.gateway.quarantine import QuarantineGuard
    from limeshelf.gateway.selection import Selected
    from limeshelf.gateway.state import CallState
    from limeshelf.organisations.organisation import Organisation
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.notices import NoticeHandler
    from limeshelf.replicas.pool import ConnectionPool
    from limeshelf.replicas.replica import Replica


@attrs.frozen
class AttemptRunner:
    """Runs the attempts of calls."""

    wire: CallWire
    directory: ReplicaDirectory
    pool: ConnectionPool
    in_force: ConfigInForce
    quarantine: QuarantineGuard
    notices: NoticeHandler
    demand: DemandMeter

    async def run(
        self, state: CallState, selected: Selected, organisation: Organisation | None
    ) -> None:
        """Send a call to the replica that was selected; what came of it is in *state*."""
        sent_s = boottime_s()
        result = await self._exchange(state, selected, organisation)
        state.note_result(result)
        if isinstance(result, WholeAnswer) and result.facts.status < STATUS_SERVER_ERROR:
            self.demand.note_served(state.call, state.service)
        self._learn(state, selected.replica, result)
        self.quarantine.note_result(state, selected.replica, result, sent_s)

    async def _exchange(
        self, state: CallState, selected: Selected, organisation: Organisation | None
    ) -> Result:
        call = state.call
        replica = selected.replica
        tokens = call.model_need.memory_tokens if call.model_need else 0
        state.note_send()
        self.quarantine.note_sent(state.fingerprint)
        facts = SendFacts(
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
            lambda: self._note_first_event(state, selected),
            lambda facts: self.notices.handle_call_response(replica, facts, sent_s),
            selected.may_send,
        )
        replica.own_load.calls += 1
        replica.own_load.tokens += tokens
        try:
            # Read once: where the head may take all the time left, both limits end at one
            # moment, and the outer one decides.
            left_s = state.left_s
            async with boot_timeout(left_s):
                limit_s = head_limit_s(state.route, state.runs, left_s)
                return await exchange.run(facts, limit_s)
        except TimeoutError:
            return exchange.time_over()
        finally:
            replica.own_load.calls -= 1
            replica.own_load.tokens -= tokens
            selected.note_end()

    def _note_first_event(self, state: CallState, selected: Selected) -> None:
        selected.note_first_event()
        self.demand.note_served(state.call, state.service)

    def _learn(self, state: CallState, replica: Replica, result: Result) -> None:
        need = state.call.model_need
        to_engine = need is not None and state.service.engine is not None
        lesson = lesson_of(result, to_engine)
        if excludes(lesson):
            state.excluded.add(replica.replica_id)
        suspended = apply(lesson, replica, need, self.directory)
        if replica.health.awaits_probe:
            self.pool.request_probes()
        load = self.directory.load_of(replica)
        config = self.in_force.config
        version = config.version if config is not None else None
        log_attempt(state, replica, load, result, suspended, version)
