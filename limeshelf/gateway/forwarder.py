"""Has calls carried by other gateways where this one cannot connect to any of their replicas.

A gateway may be cut off from replicas that others reach. It then sends the call on, with what it
knows of it, and relays the answer as if a replica had given it. The other gateway does all that
concerns replicas (selection, permits, health, crashes); this one keeps all that concerns the
caller (limits, demand, retry budget, answer). A forwarded call is never forwarded again.

Owns the connections to other gateways.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.wire import SendContext
from limeshelf.errors import NotRun, OutcomeKind, RefusalReason
from limeshelf.forwarding.messages import ForwardedCall
from limeshelf.forwarding.targets import Wanted
from limeshelf.forwarding.wire import ForwardWire
from limeshelf.gateway.call_log import log_forwarded
from limeshelf.gateway.exchange import Exchange
from limeshelf.gateway.results import (
    CarriedAnswer,
    Delivered,
    FailedElsewhere,
    NeverRan,
    NotCarried,
    WholeAnswer,
)
from limeshelf.replicas.connections import CallConnections
from limeshelf.util.clock import MS_PER_S, boottime_s
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.wire import CallWire
    from limeshelf.demand.meter import DemandMeter
    from limeshelf.forwarding.targets import ForwardTargets
    from limeshelf.gateway.results import AttemptResult, ReplicaResult
    from limeshelf.gateway.state import CallState
    from limeshelf.membership.member import Member

#: Maximum number of connections to one gateway.
MAX_CONNECTIONS = 256
#: How long a carried call shows that other gateways reach replicas that this one does not.
CARRIED_RECENTLY_S = 2.0
#: Reasons that concern the refusing gateway alone, so that another one may carry the call. With
#: any other, the caller gets the refusal.
RETRIED_REASONS = frozenset(
    {
        RefusalReason.UPSTREAM_UNREACHABLE,
        RefusalReason.STARTING,
        RefusalReason.STOPPING,
        RefusalReason.BAD_REQUEST,
        RefusalReason.UNKNOWN_ROUTE,
        RefusalReason.UNKNOWN_KEY,
        RefusalReason.CONFIG_TOO_OLD,
    }
)


@attrs.define
class Forwarder:
    """Forwards calls to other gateways.

    :param own_ip: address of this gateway, by which the others know it.
    :param count: called with the name of each result.
    """

    wire: CallWire
    targets: ForwardTargets
    demand: DemandMeter
    own_ip: str
    count: Callable[[str], None]
    _by_address: dict[str, CallConnections] = attrs.field(factory=dict)
    _carried_s: float = -math.inf

    def choose(self, state: CallState) -> Member | None:
        """Return the gateway that may carry a call; ``None`` if there is none."""
        if state.is_forwarded:
            return None
        return self.targets.choose(_wanted_by(state), state.asked)

    def was_carried_recently(self) -> bool:
        """Return whether another gateway has lately carried a call that this one cannot send."""
        return boottime_s() - self._carried_s < CARRIED_RECENTLY_S

    async def run(self, state: CallState, member: Member) -> None:
        """Have a call carried by another gateway, and record the result in *state*."""
        state.asked.add(member.address)
        state.begin_attempt()
        result = await self._send(state, member)
        self._record(state, member, result)
        state.record_result(result)
        self.count(type(result).__name__)
        log_forwarded(state, member.address, result)

    async def _send(self, state: CallState, member: Member) -> AttemptResult:
        wire = ForwardWire(self.wire, _forwarded_call(state))
        context = SendContext(
            left_s=state.left_s,
            replica_id='',
            priority=state.priority,
            last_event_id=state.splitter.last_id or state.call.last_event_id,
        )
        exchange = Exchange(
            state.call,
            self._connections(member),
            wire,
            state.answer,
            state.splitter,
            lambda: self.demand.record_served(state.call, state.service),
        )
        left_s = state.left_s
        try:
            async with boot_timeout(left_s):
                result = await exchange.run(context, left_s)
        except TimeoutError:
            result = exchange.deadline_exceeded()
        return _result_of(result, wire)

    def _connections(self, member: Member) -> CallConnections:
        address = member.forward_address
        found = self._by_address.get(address)
        if found is None:
            found = CallConnections(address, MAX_CONNECTIONS, self.own_ip)
            self._by_address[address] = found
        return found

    def _record(self, state: CallState, member: Member, result: AttemptResult) -> None:
        if isinstance(result, NotCarried):
            if result.is_unreachable:
                self.targets.record_unreachable(member)
            elif not result.is_final:
                self.targets.record_refused(member, _wanted_by(state))
            if result.outcome.reason is RefusalReason.OVERLOADED:
                self.demand.count_refused(state.call, state.service)
            return
        self.targets.record_carried(member)
        self._carried_s = boottime_s()
        if isinstance(result, CarriedAnswer | Delivered):
            self.demand.record_served(state.call, state.service)

    async def close(self) -> None:
        """Close all connections."""
        for connections in self._by_address.values():
            await connections.close()


def _wanted_by(state: CallState) -> Wanted:
    need = state.call.model_need
    return Wanted(state.service.name, need.model if need is not None else '')


def _forwarded_call(state: CallState) -> ForwardedCall:
    call = state.call
    timeout_s = call.caller_timeout_s
    return ForwardedCall(
        service=state.service.name,
        key=call.key.hex() if call.key is not None else None,
        waited_ms=int(state.since_arrival_s * MS_PER_S),
        caller_timeout_ms=int(timeout_s * MS_PER_S) if timeout_s is not None else None,
        runs=state.runs,
        excluded=sorted(state.excluded - state.unreached),
        version=state.version,
        config_version=state.config_version,
    )


def _result_of(result: ReplicaResult, wire: ForwardWire) -> AttemptResult:
    """Return what the result of the exchange with another gateway means for the call."""
    if wire.outcome is not None:
        if wire.outcome.kind is not OutcomeKind.NOT_RUN:
            return FailedElsewhere()
        if not isinstance(result, NeverRan):
            # The answer names another call, so this one may have run.
            return result
        refusal = wire.outcome.refusal()
        return NotCarried(refusal, is_final=refusal.reason not in RETRIED_REASONS)
    if isinstance(result, NeverRan) and not result.reached:
        return NotCarried(NotRun(RefusalReason.UPSTREAM_UNREACHABLE), is_unreachable=True)
    if isinstance(result, WholeAnswer):
        return CarriedAnswer(result)
    return result
