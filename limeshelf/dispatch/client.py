"""Gets a replica for a model call from the dispatcher in force.

Asks the leading gateway, or the dispatcher of this process where
:mod:`limeshelf.dispatch.fallback` says so, and asks again while the request is queued, so
that a new dispatcher learns of it.
Owns the requests of this process that have no final verdict yet, and this process's own
dispatcher; relies on the connections to peers for the messages in
:mod:`limeshelf.dispatch.messages`, which may get lost.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.dispatch.dispatcher import Dispatcher
from limeshelf.dispatch.fallback import ANSWER_TIMEOUT_S, AVOID_S, LOCAL, Fallback
from limeshelf.dispatch.grants import Grant, GrantRequest, NoHolder, NoRoom
from limeshelf.dispatch.messages import (
    DispatchProgress,
    DispatchQuery,
    DispatchVerdict,
    SharedPart,
    Stage,
    VerdictKind,
)
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import ServingConfig
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory

#: A queued request is sent again this often, so that a new dispatcher learns of it; four times
#: within the dispatcher's ``UNASKED_LIFE_S``. Chosen, not measured.
ASK_AGAIN_S = 0.25
#: The own queue is tried this often while requests wait in it, because time alone makes room
#: too. Chosen, not measured. Trying also an empty one woke each gateway 67 times a second, half
#: of all that an idle gateway did.
PUMP_INTERVAL_S = 0.015


@attrs.define(eq=False)
class _PendingRequest:
    """A request without a final verdict.

    :ivar dispatcher: who was asked last.
    :ivar late_s: on the steady clock, when the first event is late.
    :ivar ends_s: on the steady clock, when the caller gives up.
    """

    request_id: str
    request: GrantRequest
    dispatcher: str
    ends_s: float
    late_s: float
    verdicts: asyncio.Queue[DispatchVerdict] = attrs.field(factory=asyncio.Queue)


class DispatchClient:
    """Asks the dispatcher in force; holds this process's own dispatcher too.

    :param config: returns the configuration in force, ``None`` before the first.
    :param leader: returns the peer address of the leading gateway, the empty string
        for this process, or ``None`` if none is known.
    :param data_centre: of this process.
    """

    def __init__(
        self,
        node: PeerNode,
        directory: ReplicaDirectory,
        config: Callable[[], ServingConfig | None],
        leader: Callable[[], str | None],
        data_centre: str,
    ) -> None:
        self.dispatcher = Dispatcher(directory, config, self._send_verdict)
        self._node = node
        self._leader = leader
        self._data_centre = data_centre
        self._pending: dict[str, _PendingRequest] = {}
        self._fallback = Fallback()
        self._queued = asyncio.Event()

    def start(self) -> None:
        """Take messages."""
        self._node.add_handler(DispatchQuery, self._take_query)
        self._node.add_handler(DispatchVerdict, self._take_verdict)
        self._node.add_handler(DispatchProgress, self._take_progress)

    async def run(self) -> None:
        """Try the own queue again and again while requests wait in it, until cancelled."""
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self.dispatcher.waiting:
                await asyncio.sleep(PUMP_INTERVAL_S)
                self.dispatcher.pump()

    async def ask(self, request: GrantRequest) -> Grant | NoRoom | NoHolder:
        """Return a grant, or why there is none.

        Returns by the time that the request has left; then there is no room.
        """
        pending = self._pending_request(request)
        self._pending[pending.request_id] = pending
        outcome: Grant | NoRoom | NoHolder | None = None
        try:
            outcome = await self._settle(pending)
            return outcome
        finally:
            del self._pending[pending.request_id]
            if not isinstance(outcome, Grant):
                self._withdraw(pending)

    def _pending_request(self, request: GrantRequest) -> _PendingRequest:
        return _PendingRequest(
            new_id('t'),
            request,
            self._choose_dispatcher(),
            ends_s=boottime_s() + request.left_s,
            late_s=boottime_s() + request.objective_s,
        )

    async def _settle(self, pending: _PendingRequest) -> Grant | NoRoom | NoHolder:
        """Ask until there is a final verdict or the request's time is over."""
        while boottime_s() < pending.ends_s:
            chosen = self._choose_dispatcher()
            if chosen != pending.dispatcher:
                self._withdraw(pending)
                pending.dispatcher = chosen
            self._send_query(chosen, self._query(pending))
            verdict = await self._final_verdict(pending)
            if verdict is not None:
                return self._outcome(pending, verdict)
        return NoRoom(wait_s=pending.request.objective_s)

    async def _final_verdict(self, pending: _PendingRequest) -> DispatchVerdict | None:
        """Return the final verdict on a query, or ``None`` if it is time to ask again."""
        verdict = await self._first_verdict(pending)
        while verdict is not None and verdict.kind is VerdictKind.QUEUED:
            verdict = await _next_verdict(pending, ASK_AGAIN_S)
        return verdict

    async def _first_verdict(self, pending: _PendingRequest) -> DispatchVerdict | None:
        verdict = await _next_verdict(pending, ANSWER_TIMEOUT_S)
        if verdict is None and pending.dispatcher != LOCAL:
            self._fallback.note_silence(boottime_s())
            log_change('dispatcher_silent', dispatcher=pending.dispatcher, avoided_s=AVOID_S)
        return verdict

    def _outcome(
        self, pending: _PendingRequest, verdict: DispatchVerdict
    ) -> Grant | NoRoom | NoHolder:
        if verdict.kind is VerdictKind.ABSENT:
            return NoHolder()
        if verdict.kind is VerdictKind.REFUSED:
            return NoRoom(wait_s=verdict.wait_ms / 1000)
        dispatcher = pending.dispatcher
        return Grant(
            pending.request_id,
            verdict.replica_id,
            lambda progress: self._send_progress(dispatcher, progress),
        )

    def _choose_dispatcher(self) -> str:
        choice = self._fallback.choose(self._leader(), boottime_s())
        self.dispatcher.set_reading_share(choice.local_share)
        return choice.address

    def _withdraw(self, pending: _PendingRequest) -> None:
        """Take the request back from the dispatcher that was asked last."""
        ended = DispatchProgress(pending.request_id, Stage.ENDED)
        self._send_progress(pending.dispatcher, ended)

    def _query(self, pending: _PendingRequest) -> DispatchQuery:
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
            excluded=sorted(request.excluded),
            returned=request.returned,
        )

    def _send_query(self, dispatcher: str, query: DispatchQuery) -> None:
        if dispatcher == LOCAL:
            self._take(query, LOCAL)
        else:
            self._node.send(dispatcher, query)

    def _send_progress(self, dispatcher: str, progress: DispatchProgress) -> None:
        if dispatcher == LOCAL:
            self.dispatcher.take_progress(progress)
        else:
            self._node.send(dispatcher, progress)

    def _send_verdict(self, asker: str, verdict: DispatchVerdict) -> None:
        if asker == LOCAL:
            self._deliver(verdict)
        else:
            self._node.send(asker, verdict)

    def _deliver(self, verdict: DispatchVerdict) -> None:
        pending = self._pending.get(verdict.ticket_id)
        if pending is not None:
            pending.verdicts.put_nowait(verdict)

    def _take(self, query: DispatchQuery, asker: str) -> None:
        self.dispatcher.take_query(query, asker)
        if self.dispatcher.waiting:
            self._queued.set()

    def _take_query(self, envelope: Envelope) -> None:
        self._take(envelope.message, envelope.sender)

    def _take_verdict(self, envelope: Envelope) -> None:
        self._deliver(envelope.message)

    def _take_progress(self, envelope: Envelope) -> None:
        self.dispatcher.take_progress(envelope.message)


async def _next_verdict(pending: _PendingRequest, limit_s: float) -> DispatchVerdict | None:
    """Return the next verdict on a request, or ``None`` after *limit_s* seconds."""
    try:
        async with asyncio.timeout(limit_s):
            return await pending.verdicts.get()
    except TimeoutError:
        return None
