"""Gets a replica for a model call from the owners of replicas that hold what it needs.

Asks one owner (:mod:`limeshelf.dispatch.owners` says which), another one where it refuses,
and again while the request is queued, so that a new owner learns of it. Where an owner is
silent, the dispatcher of this process stands in.
Owns how far each request of this process has come with the owners; relies on
:mod:`limeshelf.dispatch.exchange` for the messages, which may get lost.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from limeshelf.dispatch.fallback import ANSWER_TIMEOUT_S, AVOID_S, Fallback
from limeshelf.dispatch.grants import Grant, NoHolder, NoRoom
from limeshelf.dispatch.messages import (
    DispatchProgress,
    DispatchQuery,
    DispatchVerdict,
    SharedPart,
    Stage,
    VerdictKind,
)
from limeshelf.dispatch.owners import OwnerChooser, replicas_of
from limeshelf.dispatch.pending import PendingRequest
from limeshelf.membership.member import LOCAL
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.dispatch.exchange import DispatchExchange
    from limeshelf.dispatch.grants import GrantRequest
    from limeshelf.dispatch.owners import Grantor
    from limeshelf.replicas.directory import ReplicaDirectory

#: A queued request is sent again this often, so that a new dispatcher learns of it; four times
#: within the dispatcher's ``UNASKED_LIFE_S``.
ASK_AGAIN_S = 0.25
#: One that waits at an owner is taken to another one after this long, while there are some that
#: were not asked: time for one try of the queue there. A request has its place in any queue by
#: when it is late, so it loses nothing by that.
HOP_S = 0.02
#: Owners that are asked for one call before it is refused.
MAX_OWNERS_ASKED = 3


class DispatchClient:
    """Asks the owners of replicas.

    :param owner_of: returns the owner of a data centre's replicas, as
        :class:`~limeshelf.dispatch.owners.OwnerChooser` takes it.
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
        self._owners = OwnerChooser(directory, self._fallback, owner_of, data_centre)

    async def ask(self, request: GrantRequest) -> Grant | NoRoom | NoHolder:
        """Return a grant, or why there is none.

        Returns by the time that the request has left; then there is no room.
        """
        now_s = boottime_s()
        pending = PendingRequest(request, now_s + request.left_s, now_s + request.objective_s)
        try:
            return await self._settle(pending)
        finally:
            self._withdraw(pending)

    async def _settle(self, pending: PendingRequest) -> Grant | NoRoom | NoHolder:
        """Ask one owner after the other, and again, until one grants or time is over."""
        while boottime_s() < pending.ends_s:
            candidates = self._candidates(pending)
            if not candidates:
                return pending.refusal()
            chosen = self._choose(candidates, pending)
            self._ask(pending, chosen, candidates)
            verdict = await self._final_verdict(pending, candidates)
            if verdict is None:
                continue
            if verdict.kind is VerdictKind.GRANTED:
                return self._grant(pending, verdict)
            self._note_refused(pending, verdict)
        return NoRoom(wait_s=pending.request.objective_s)

    def _choose(self, candidates: list[Grantor], pending: PendingRequest) -> Grantor:
        """Return whom to ask: all that may have room in turn, then the one of least wait."""
        if pending.asked not in pending.queued_s:
            return self._owners.choose(candidates, pending.asked)
        others = pending.not_queued_at(candidates)
        if others:
            return self._owners.choose(others, None)
        best = min(candidates, key=lambda one: pending.queued_s[one.address])
        # From there, all others are asked again after a while.
        pending.queued_s.clear()
        pending.stays = True
        return best

    def _candidates(self, pending: PendingRequest) -> list[Grantor]:
        """Return who may still grant a request."""
        if len(pending.waits_s) >= MAX_OWNERS_ASKED:
            return []
        candidates = self._owners.candidates(pending.request, boottime_s())
        return [one for one in candidates if one.address not in pending.waits_s]

    def _ask(self, pending: PendingRequest, chosen: Grantor, candidates: list[Grantor]) -> None:
        if chosen.address != pending.asked:
            self._withdraw(pending)
            pending.asked = chosen.address
            pending.request_id = new_id('t')
            self._exchange.await_verdicts(pending)
        excluded = set(pending.request.excluded)
        if chosen.address == LOCAL:
            excluded |= replicas_of(one for one in candidates if one is not chosen)
        self._exchange.send_query(chosen.address, self._query(pending, excluded))

    async def _final_verdict(
        self, pending: PendingRequest, candidates: list[Grantor]
    ) -> DispatchVerdict | None:
        """Return the final verdict on a query, or ``None`` if it is time to ask again."""
        verdict = await self._first_verdict(pending)
        while verdict is not None and verdict.kind is VerdictKind.QUEUED:
            assert pending.asked is not None
            pending.queued_s[pending.asked] = verdict.wait_ms / 1000
            goes_on = not pending.stays and len(candidates) > 1
            verdict = await pending.next_verdict(HOP_S if goes_on else ASK_AGAIN_S)
        pending.stays = False
        return verdict

    async def _first_verdict(self, pending: PendingRequest) -> DispatchVerdict | None:
        verdict = await pending.next_verdict(ANSWER_TIMEOUT_S)
        if verdict is None and pending.asked:
            self._fallback.note_silence(pending.asked, boottime_s())
            log_change('dispatcher_silent', dispatcher=pending.asked, avoided_s=AVOID_S)
        return verdict

    def _grant(self, pending: PendingRequest, verdict: DispatchVerdict) -> Grant:
        owner = pending.asked
        assert owner is not None
        self._forget(pending)
        return Grant(
            pending.request_id,
            verdict.replica_id,
            lambda progress: self._exchange.send_progress(owner, progress),
            has_turn=verdict.has_turn,
        )

    def _note_refused(self, pending: PendingRequest, verdict: DispatchVerdict) -> None:
        """Note a verdict after which its sender has forgotten the request."""
        assert pending.asked is not None
        is_absent = verdict.kind is VerdictKind.ABSENT
        pending.waits_s[pending.asked] = math.inf if is_absent else verdict.wait_ms / 1000
        self._forget(pending)

    def _withdraw(self, pending: PendingRequest) -> None:
        """Take the request back from who was asked last."""
        if pending.asked is not None:
            ended = DispatchProgress(pending.request_id, Stage.ENDED)
            self._exchange.send_progress(pending.asked, ended)
            self._forget(pending)

    def _forget(self, pending: PendingRequest) -> None:
        """Take no more verdicts of who was asked last."""
        self._exchange.forget(pending)
        pending.verdicts = asyncio.Queue()
        pending.asked = None

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
            objective_ms=int((pending.late_s - now_s) * 1000),
            left_ms=int((pending.ends_s - now_s) * 1000),
            pause_ms=int(request.pause_s * 1000),
            data_centre=self._data_centre,
            # The last block ends the prompt, so no other call shares it.
            parts=[SharedPart(part.part_id, part.tokens) for part in need.parts[:-1]],
            excluded=sorted(excluded),
            returned=request.returned,
        )
