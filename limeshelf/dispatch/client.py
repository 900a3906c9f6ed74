"""Requests replicas for model calls from the gateways that grant them.

Each query goes to one owner (see :mod:`limeshelf.dispatch.owners`), to another one if the first
refuses, and is sent again while the request is queued, so that a new owner receives it too. If an
owner does not answer, the dispatcher of this process grants instead.

Owns the state of each pending request of this process. Messages are sent through
:mod:`limeshelf.dispatch.exchange` and may be lost.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from limeshelf.dispatch.fallback import ANSWER_TIMEOUT_S, AVOID_S, Fallback
from limeshelf.dispatch.grants import Grant, NoCapacity, NoHolder
from limeshelf.dispatch.messages import (
    DispatchProgress,
    DispatchQuery,
    DispatchVerdict,
    SharedPart,
    Stage,
    VerdictKind,
)
from limeshelf.dispatch.owners import OwnerSelector, replicas_of
from limeshelf.dispatch.pending import PendingRequest
from limeshelf.membership.member import LOCAL
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.dispatch.exchange import DispatchExchange
    from limeshelf.dispatch.grants import GrantRequest
    from limeshelf.dispatch.owners import DispatchTarget
    from limeshelf.replicas.directory import ReplicaDirectory

#: A queued request is sent again at this interval, so that a new dispatcher receives it too. A
#: quarter of the dispatcher's ``QUEUED_TTL_S``.
RESEND_INTERVAL_S = 0.25
#: A request queued at one owner moves on to an owner that was not asked yet after this long, which
#: is enough for one pass over the first owner's queue. Moving costs the request nothing, because
#: queues are ordered by due time rather than by arrival.
NEXT_OWNER_DELAY_S = 0.02
#: Owners asked for one call before it is refused.
MAX_OWNERS_ASKED = 3


class DispatchClient:
    """Requests replicas from the gateways that own them.

    :param owner_of: returns the owner of a data centre's replicas; see
        :class:`~limeshelf.dispatch.owners.OwnerSelector`.
    :param data_centre: of this process.
    """

    def __init__(
        self,
        exchange: DispatchExchange,
        directory: ReplicaDirectory,
        owner_of: Callable[[str], str | None],
        data_centre: str,
    ) -> None:
        self._exchange = exchange
        self._data_centre = data_centre
        self._fallback = Fallback()
        self._owners = OwnerSelector(directory, self._fallback, owner_of, data_centre)

    async def request_replica(self, request: GrantRequest) -> Grant | NoCapacity | NoHolder:
        """Return a grant, or the reason why there is none.

        Returns :class:`~limeshelf.dispatch.grants.NoCapacity` once the time left for the request
        is over.
        """
        now_s = boottime_s()
        pending = PendingRequest(request, now_s + request.left_s, now_s + request.objective_s)
        try:
            return await self._query_owners(pending)
        finally:
            self._withdraw(pending)

    async def _query_owners(self, pending: PendingRequest) -> Grant | NoCapacity | NoHolder:
        """Query owners in turn until one grants the request or its deadline passes."""
        while boottime_s() < pending.deadline_s:
            candidates = self._candidates(pending)
            if not candidates:
                return pending.refusal()
            chosen = self._choose_owner(candidates, pending)
            self._send_query(pending, chosen, candidates)
            verdict = await self._final_verdict(pending, candidates)
            if verdict is None:
                continue
            if verdict.kind is VerdictKind.GRANTED:
                return self._grant(pending, verdict)
            self._record_refusal(pending, verdict)
        return NoCapacity(wait_s=pending.request.objective_s)

    def _choose_owner(
        self, candidates: list[DispatchTarget], pending: PendingRequest
    ) -> DispatchTarget:
        """Return the target of the next query.

        Each owner is tried once; when all have queued the request, it stays at the one that
        expects the shortest wait.
        """
        if pending.current_owner not in pending.queued_waits_s:
            return self._owners.choose(candidates, pending.current_owner)
        others = pending.not_queued_at(candidates)
        if others:
            return self._owners.choose(others, None)
        best = min(candidates, key=lambda target: pending.queued_waits_s[target.address])
        # After a while at this owner, all the others are asked again.
        pending.queued_waits_s.clear()
        pending.is_pinned = True
        return best

    def _candidates(self, pending: PendingRequest) -> list[DispatchTarget]:
        """Return the gateways that may still grant the request."""
        if len(pending.refused_waits_s) >= MAX_OWNERS_ASKED:
            return []
        candidates = self._owners.candidates(pending.request, boottime_s())
        return [target for target in candidates if target.address not in pending.refused_waits_s]

    def _send_query(
        self, pending: PendingRequest, chosen: DispatchTarget, candidates: list[DispatchTarget]
    ) -> None:
        if chosen.address != pending.current_owner:
            self._withdraw(pending)
            pending.current_owner = chosen.address
            pending.request_id = new_id('t')
            self._exchange.subscribe(pending)
        excluded = set(pending.request.excluded)
        if chosen.address == LOCAL:
            excluded |= replicas_of(target for target in candidates if target is not chosen)
        self._exchange.send_query(chosen.address, self._query(pending, excluded))

    async def _final_verdict(
        self, pending: PendingRequest, candidates: list[DispatchTarget]
    ) -> DispatchVerdict | None:
        """Return the final verdict on a query, or ``None`` when it is time to query again."""
        verdict = await self._first_verdict(pending)
        while verdict is not None and verdict.kind is VerdictKind.QUEUED:
            assert pending.current_owner is not None
            pending.queued_waits_s[pending.current_owner] = verdict.wait_ms / 1000
            may_move = not pending.is_pinned and len(candidates) > 1
            verdict = await pending.next_verdict(
                NEXT_OWNER_DELAY_S if may_move else RESEND_INTERVAL_S
            )
        pending.is_pinned = False
        return verdict

    async def _first_verdict(self, pending: PendingRequest) -> DispatchVerdict | None:
        verdict = await pending.next_verdict(ANSWER_TIMEOUT_S)
        if verdict is None and pending.current_owner:
            self._fallback.record_timeout(pending.current_owner, boottime_s())
            log_change('dispatcher_silent', dispatcher=pending.current_owner, avoided_s=AVOID_S)
        return verdict

    def _grant(self, pending: PendingRequest, verdict: DispatchVerdict) -> Grant:
        owner = pending.current_owner
        assert owner is not None
        self._stop_listening(pending)
        return Grant(
            pending.request_id,
            verdict.replica_id,
            lambda progress: self._exchange.send_progress(owner, progress),
            has_permit=verdict.has_turn,
        )

    def _record_refusal(self, pending: PendingRequest, verdict: DispatchVerdict) -> None:
        """Record a final refusal, after which the owner no longer has the request."""
        assert pending.current_owner is not None
        is_absent = verdict.kind is VerdictKind.ABSENT
        pending.refused_waits_s[pending.current_owner] = (
            math.inf if is_absent else verdict.wait_ms / 1000
        )
        self._stop_listening(pending)

    def _withdraw(self, pending: PendingRequest) -> None:
        """Cancel the request at the owner that was asked last."""
        if pending.current_owner is not None:
            ended = DispatchProgress(pending.request_id, Stage.ENDED)
            self._exchange.send_progress(pending.current_owner, ended)
            self._stop_listening(pending)

    def _stop_listening(self, pending: PendingRequest) -> None:
        """Ignore further verdicts on the current request id."""
        self._exchange.unsubscribe(pending)
        pending.verdicts = asyncio.Queue()
        pending.current_owner = None

    def _query(self, pending: PendingRequest, excluded: set[str]) -> DispatchQuery:
        request = pending.request
        need = request.need
        now_s = boottime_s()
        return DispatchQuery(
            ticket_id=pending.request_id,
            key=request.key,
            prompt_tokens=need.prompt_tokens,
            likely_tokens=need.likely_tokens,
            priority=request.priority,
            objective_ms=int((pending.due_s - now_s) * 1000),
            left_ms=int((pending.deadline_s - now_s) * 1000),
            pause_ms=int(request.pause_s * 1000),
            data_centre=self._data_centre,
            # The last block ends the prompt, so no other call shares it.
            parts=[SharedPart(part.part_id, part.tokens) for part in need.parts[:-1]],
            excluded=sorted(excluded),
            returned=request.is_caller_retry,
        )
