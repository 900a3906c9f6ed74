"""The path of a call: route it, find a replica, send it, go on elsewhere, answer it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.admission.retry_budget import RetryBudget
from limeshelf.calls.call import CallKind
from limeshelf.calls.wire import SendFacts
from limeshelf.demand.keys import ModelKey
from limeshelf.dispatch.grants import GrantRequest, NoHolder, NoRoom
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.exchange import Broken, Delivered, Doubt, Exchange, NeverRan, WholeAnswer
from limeshelf.gateway.state import CallState, Choice
from limeshelf.metrics.event_log import log_request
from limeshelf.replicas.health import Failure
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.admission.retry_budget import RetryRule
    from limeshelf.calls.call import Call, ModelNeed
    from limeshelf.calls.routes import ServingConfig
    from limeshelf.calls.wire import CallWire
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.dispatch.client import DispatchClient
    from limeshelf.gateway.answer import Answer
    from limeshelf.gateway.exchange import Result
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.pool import ConnectionPool
    from limeshelf.replicas.replica import Replica
    from limeshelf.routing.chooser import Chooser

#: The final answer goes out this long before the caller's time is over.
ANSWER_MARGIN_S = 0.02
#: A call with less time than this left is not sent any more.
LEAST_SEND_S = 0.03
#: Pause between two looks for a replica; changes wake earlier.
LOOK_S = 0.05
#: Sends of one call that the replicas refused, at the most.
MAX_REFUSALS = 4
#: Share of the time left within which the head of a repeatable call must come.
FIRST_TRY_SHARE = 0.35
LEAST_TRY_S = 0.25
#: A call is held for a model on its way up to this share of its objective.
HOLD_SHARE = 0.6
#: Callers come back after a third of the time they have left, at the most.
COME_BACK_SHARE = 0.33
LEAST_COME_BACK_S = 0.2
#: Time in which the leader tells when a missing model will be there, at the most
#: this share of the objective, so that a refusal still comes early.
NEWS_S = 0.5
NEWS_SHARE = 0.2
#: A model is told to be ready a little later than it is expected.
READY_MARGIN = 1.1
#: Share of a caller's patience after which a waiting call is refused.
PATIENCE_SHARE = 0.85
DEFAULT_BUDGET_S = 30.0
STOPPING_RETRY_S = 0.05
STATUS_SERVER_ERROR = 500


class Pipeline:
    """Serves calls with the configuration in force.

    :param rule: what may be repeated, over all entry instances.
    """

    def __init__(
        self,
        wire: CallWire,
        directory: ReplicaDirectory,
        chooser: Chooser,
        pool: ConnectionPool,
        demand: DemandMeter,
        dispatch: DispatchClient,
        rule: RetryRule,
    ) -> None:
        self.config: ServingConfig | None = None
        self.sharers = 1
        self._wire = wire
        self._directory = directory
        self._chooser = chooser
        self._pool = pool
        self._demand = demand
        self._dispatch = dispatch
        self._rule = rule
        self._budgets: dict[str, RetryBudget] = {}
        self._placing: set[asyncio.Task[object]] = set()
        self._stopping = False

    async def serve(self, call: Call, answer: Answer) -> None:
        """Bring the call to a replica and its answer to the caller."""
        config = self.config
        if config is None:
            await self._refuse(call, answer, 503, NotRun(RefusalReason.STARTING, 0.5))
            return
        route = config.route_for(call.host, call.path)
        if route is None:
            await self._refuse(call, answer, 404, NotRun(RefusalReason.UNKNOWN_ROUTE))
            return
        service = config.services.get(route.draw_service())
        if service is None:
            await self._refuse(call, answer, 503, NotRun(RefusalReason.NO_READY_REPLICA, 0.5))
            return
        allowed_s = min(call.budget_s or DEFAULT_BUDGET_S, route.timeout_s)
        ends_s = call.arrived_s + allowed_s - ANSWER_MARGIN_S
        state = CallState(call, route, service, ends_s)
        self._budget(service.name).note_call()
        with self._demand.track(call, service.name, route.objective_s):
            await self._attempts(state, answer)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._rule, self.sharers)
        budget.sharers = self.sharers
        return budget

    async def _attempts(self, state: CallState, answer: Answer) -> None:
        while True:
            choice = await self._place_or_stop(state, answer)
            if choice is None:
                return
            result = await self._attempt(state, choice, answer)
            state.last = result
            self._learn(state, choice.replica, result)
            if await self._settled(state, result, answer):
                return

    async def _attempt(self, state: CallState, choice: Choice, answer: Answer) -> Result:
        call = state.call
        replica = choice.replica
        need = call.model_need
        tokens = need.memory_tokens if need else 0
        state.sends += 1
        state.waited_s = boottime_s() - call.arrived_s
        facts = SendFacts(
            left_s=state.left_s,
            replica_id=replica.replica_id,
            priority=state.route.priority,
            last_event_id=state.splitter.last_id or call.last_event_id,
        )
        connections = self._pool.connections(replica, state.service)
        exchange = Exchange(
            call, connections, self._wire, answer, state.splitter, choice.note_first
        )
        replica.own.calls += 1
        replica.own.tokens += tokens
        try:
            async with asyncio.timeout(max(0.0, state.left_s)):
                return await exchange.run(facts, self._head_limit_s(state))
        except TimeoutError:
            return Broken(Doubt.TIME_OVER, Failure.BROKEN)
        finally:
            replica.own.calls -= 1
            replica.own.tokens -= tokens
            choice.note_end()

    def _head_limit_s(self, state: CallState) -> float:
        left_s = state.left_s
        if not state.route.repeatable or state.runs + 1 >= state.route.max_attempts:
            return left_s
        if state.route.kind is CallKind.STREAM:
            return max(LEAST_TRY_S, min(left_s, 2 * state.route.objective_s))
        return max(LEAST_TRY_S, left_s * FIRST_TRY_SHARE)

    async def _settled(self, state: CallState, result: Result, answer: Answer) -> bool:
        """Answer the caller, or return false if another replica is to be tried."""
        if isinstance(result, Delivered):
            return True
        if isinstance(result, NeverRan):
            state.refusals += 1
            return False
        state.runs += 1
        if isinstance(result, WholeAnswer):
            if result.facts.status >= STATUS_SERVER_ERROR and self._may_repeat(state):
                return False
            await answer.whole(result.facts.status, result.facts.headers, result.body)
            return True
        if self._may_repeat(state):
            return False
        await self._end_broken(state, result, answer)
        return True

    def _may_repeat(self, state: CallState) -> bool:
        return (
            state.route.repeatable
            and state.runs < state.route.max_attempts
            and state.left_s > LEAST_SEND_S
        )

    async def _end_broken(self, state: CallState, result: Result, answer: Answer) -> None:
        if answer.started:
            answer.abort()
            return
        status = 504 if state.left_s <= LEAST_SEND_S else 502
        await answer.whole(status, self._wire.refusal_headers(state.call.call_id, None), b'')

    def _learn(self, state: CallState, replica: Replica, result: Result) -> None:
        health = replica.health
        suspended = False
        if isinstance(result, Delivered):
            health.succeeded()
        elif isinstance(result, WholeAnswer):
            if result.facts.status >= STATUS_SERVER_ERROR:
                health.failed(Failure.ERROR_STATUS)
            else:
                health.succeeded()
        elif isinstance(result, NeverRan):
            suspended = self._learn_refusal(state, replica, result)
        elif result.doubt is not Doubt.TIME_OVER:
            state.excluded.add(replica.replica_id)
            suspended = health.failed(result.failure)
        log_request(
            'attempt',
            request=state.call.call_id,
            route=state.route.name,
            replica=replica.replica_id,
            result=type(result).__name__,
            detail=str(getattr(result, 'doubt', getattr(result, 'status', ''))),
            left_ms=int(state.left_s * 1000),
            waited_ms=int(state.waited_s * 1000),
            first_ms=int(getattr(result, 'first_s', 0.0) * 1000),
            pause_ms=int(getattr(result, 'longest_pause_s', 0.0) * 1000),
            **self._inputs(state, replica),
            suspended=suspended,
        )

    def _inputs(self, state: CallState, replica: Replica) -> dict[str, object]:
        """Return what the choice of *replica* rested on, for its line."""
        need = state.call.model_need
        load = self._directory.load_of(replica)
        return {
            'model': need.model if need else '',
            'adapter': need.adapter if need else '',
            'tokens': need.prompt_tokens if need else 0,
            'calls_there': load.calls,
            'tokens_there': load.tokens,
            'report_age_ms': int((boottime_s() - replica.reported_s) * 1000),
            'config': self.config.version if self.config else 0,
        }

    def _learn_refusal(self, state: CallState, replica: Replica, result: NeverRan) -> bool:
        state.excluded.add(replica.replica_id)
        if not result.reached:
            return replica.health.failed(Failure.NO_CONNECTION)
        need = state.call.model_need
        if result.misdirected and need is not None and state.service.engine is not None:
            self._directory.forget_holding(replica, need.model, need.adapter)
        elif result.misdirected:
            self._directory.mark_gone(replica, 'misdirected')
        else:
            replica.health.failed(Failure.REFUSED)
        return False

    async def _place_or_stop(self, state: CallState, answer: Answer) -> Choice | None:
        """Return the replica to try next; a planned stop ends the wait for one."""
        task = asyncio.current_task()
        assert task is not None
        self._placing.add(task)
        try:
            if self._stopping:
                raise asyncio.CancelledError
            return await self._place(state, answer)
        except asyncio.CancelledError:
            if not self._stopping:
                raise
            task.uncancel()
            await self._give_up(state, answer, RefusalReason.STOPPING, STOPPING_RETRY_S)
            return None
        finally:
            self._placing.discard(task)

    def change_rule(self, rule: RetryRule) -> None:
        """Let another rule bound what is repeated from now on."""
        if rule != self._rule:
            self._rule = rule
            self._budgets.clear()

    def stop_placing(self) -> None:
        """Refuse the calls that still wait for a replica; other gateways take them."""
        self._stopping = True
        for task in list(self._placing):
            task.cancel()

    async def _place(self, state: CallState, answer: Answer) -> Choice | None:
        """Return the replica to try next, or answer the caller and return ``None``."""
        while True:
            if state.left_s <= LEAST_SEND_S:
                await self._give_up(state, answer, RefusalReason.DEADLINE_TOO_SHORT)
                return None
            if state.sends and not self._may_send_again(state):
                await self._give_up(state, answer, RefusalReason.UPSTREAM_REFUSED)
                return None
            choice = await self._choose(state)
            if isinstance(choice, NoRoom):
                await self._refuse_for_now(state, answer, choice.wait_s)
                return None
            if choice is not None:
                if state.sends and not self._budget(state.service.name).try_retry():
                    choice.note_end()
                    await self._give_up(state, answer, RefusalReason.UPSTREAM_REFUSED)
                    return None
                return choice
            if not await self._hold(state, answer):
                return None

    async def _refuse_for_now(self, state: CallState, answer: Answer, wait_s: float) -> None:
        """Refuse a call that would be served too late, and say when to come back."""
        come_back_s = state.left_s * COME_BACK_SHARE
        log_request(
            'refused_crowded',
            request=state.call.call_id,
            route=state.route.name,
            expected_wait_ms=int(wait_s * 1000),
            left_ms=int(state.left_s * 1000),
            returned=state.returned,
        )
        retry_after_s = min(max(LEAST_COME_BACK_S, wait_s), come_back_s)
        await self._give_up(state, answer, RefusalReason.OVERLOADED, retry_after_s)

    async def _choose(self, state: CallState) -> Choice | NoRoom | None:
        need = state.call.model_need
        if need is not None and state.service.engine is not None:
            answered = await self._dispatch.ask(self._request(state, need))
            if isinstance(answered, NoHolder):
                return None
            if isinstance(answered, NoRoom):
                return answered
            replica = self._directory.get(answered.replica_id)
            if replica is not None and replica.takes_calls:
                return Choice(replica, answered)
            answered.ended()
            state.excluded.add(answered.replica_id)
            return None
        chosen = self._chooser.choose(state.service, frozenset(state.excluded))
        return Choice(chosen, None) if chosen is not None else None

    def _request(self, state: CallState, need: ModelNeed) -> GrantRequest:
        held_s = boottime_s() - state.call.arrived_s
        return GrantRequest(
            key=ModelKey(state.service.name, need.model, need.adapter),
            need=need,
            priority=state.route.priority,
            objective_s=state.route.objective_s - held_s,
            left_s=min(state.left_s, state.route.patience_s * PATIENCE_SHARE - held_s),
            pause_s=state.route.pause_s,
            excluded=frozenset(state.excluded | self._out_of_reach(state)),
            returned=state.returned,
        )

    def _out_of_reach(self, state: CallState) -> set[str]:
        """Return the replicas that this process cannot use now, whoever else can."""
        return {
            replica.replica_id
            for replica in self._directory.of_service(state.service.name)
            if replica.health.is_suspended()
        }

    def _may_send_again(self, state: CallState) -> bool:
        return state.refusals <= MAX_REFUSALS

    async def _hold(self, state: CallState, answer: Answer) -> bool:
        """Wait for a replica that can run the call; return false if it was refused."""
        wait_s = self._demand.expected_wait_s(state.call, state.service)
        held_s = boottime_s() - state.call.arrived_s
        bearable_s = state.route.objective_s * HOLD_SHARE - held_s
        if state.returned:
            # Who was refused before is served late rather than refused again.
            bearable_s = state.route.patience_s * PATIENCE_SHARE - held_s
        come_back_s = state.left_s * COME_BACK_SHARE
        if state.excluded and wait_s <= 0:
            # All that could run it refused; they may take it a little later.
            state.excluded.clear()
            wait_s = LOOK_S
        news_due = not self._demand.is_announced(state.call, state.service)
        if news_due and held_s < min(NEWS_S, NEWS_SHARE * state.route.objective_s):
            # The leader hears of the need now; its answer tells how long it takes.
            wait_s = min(wait_s, bearable_s)
        if wait_s > bearable_s and not answer.started:
            log_request(
                'refused_until_ready',
                request=state.call.call_id,
                route=state.route.name,
                model=state.call.model_need.model if state.call.model_need else '',
                adapter=state.call.model_need.adapter if state.call.model_need else '',
                expected_wait_ms=int(wait_s * 1000),
                left_ms=int(state.left_s * 1000),
            )
            await self._give_up(
                state,
                answer,
                RefusalReason.NO_READY_REPLICA,
                min(max(LEAST_COME_BACK_S, wait_s * READY_MARGIN), come_back_s),
            )
            return False
        self._demand.report_missing(state.call, state.service)
        await self._directory.wait_for_change(min(LOOK_S, state.left_s))
        return True

    async def _give_up(
        self,
        state: CallState,
        answer: Answer,
        reason: RefusalReason,
        retry_after_s: float | None = None,
    ) -> None:
        """Give the caller its final answer at once."""
        if answer.started:
            answer.abort()
            return
        last = state.last
        if isinstance(last, WholeAnswer):
            await answer.whole(last.facts.status, last.facts.headers, last.body)
            return
        if state.runs:
            status = 504 if reason is RefusalReason.DEADLINE_TOO_SHORT else 502
            await answer.whole(status, self._wire.refusal_headers(state.call.call_id, None), b'')
            return
        if retry_after_s is None:
            retry_after_s = state.route.objective_s * HOLD_SHARE / 2
        await self._refuse(state.call, answer, 503, NotRun(reason, retry_after_s))

    async def _refuse(self, call: Call, answer: Answer, status: int, outcome: NotRun) -> None:
        log_request(
            'refused',
            request=call.call_id,
            status=status,
            reason=outcome.reason,
            retry_after_s=outcome.retry_after_s,
            config=self.config.version if self.config else None,
        )
        headers = self._wire.refusal_headers(call.call_id, outcome.retry_after_s)
        await answer.whole(status, headers, b'')
