"""The asking side: gets a replica for a call from the dispatcher, or says there is none."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.dispatch.dispatcher import Dispatcher
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

    from limeshelf.calls.call import ModelNeed
    from limeshelf.demand.keys import ModelKey
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory

#: A dispatcher that does not answer within this time is not asked for a while.
ANSWER_S = 0.08
AVOID_S = 0.4
#: Without a dispatcher every gateway grants by itself, this part of the reading.
OWN_SHARE = 0.4
#: A call that waits asks again this often, so that a new dispatcher learns of it.
ASK_AGAIN_S = 0.25
PUMP_S = 0.015
LOCAL = ''


@attrs.frozen
class PlaceRequest:
    """What a call asks the dispatcher for.

    :param objective_s: time left until the first event is late.
    :param left_s: time until the caller gives up waiting for the first event.
    :param returned: the caller was refused before and has come back.
    """

    key: ModelKey
    need: ModelNeed
    priority: int
    objective_s: float
    left_s: float
    pause_s: float
    excluded: frozenset[str]
    returned: bool


@attrs.frozen
class NoPlace:
    """No replica takes the call now.

    :param absent: none holds what it needs.
    :param wait_s: time until one likely has room, where some hold it.
    """

    absent: bool
    wait_s: float = 0.0


@attrs.define(eq=False)
class Place:
    """A granted replica; the dispatcher is told how the call goes on.

    :ivar replica_id: where the call goes.
    """

    ticket_id: str
    replica_id: str
    _client: DispatchClient
    _dispatcher: str
    _was_read: bool = False

    def read(self) -> None:
        """Say that the first event is there, so the prompt was read."""
        if not self._was_read:
            self._was_read = True
            self._client.tell(self._dispatcher, DispatchProgress(self.ticket_id, Stage.READ))

    def ended(self) -> None:
        """Say that the call is no longer at the replica."""
        self._client.tell(self._dispatcher, DispatchProgress(self.ticket_id, Stage.ENDED))


class DispatchClient:
    """Asks the dispatcher in force; holds this process's own dispatcher too.

    :param leader: returns the peer address of the dispatching gateway, the
        empty string for this process, or ``None`` if nobody is known.
    """

    def __init__(
        self,
        node: PeerNode,
        directory: ReplicaDirectory,
        config: Callable[[], object],
        leader: Callable[[], str | None],
        data_centre: str,
    ) -> None:
        self.dispatcher = Dispatcher(directory, config, self._send_verdict)  # type: ignore[arg-type]
        self._node = node
        self._leader = leader
        self._data_centre = data_centre
        self._verdicts: dict[str, asyncio.Queue[DispatchVerdict]] = {}
        self._avoid_until_s = 0.0

    def start(self) -> None:
        """Take messages."""
        self._node.add_handler(DispatchQuery, self._take_query)
        self._node.add_handler(DispatchVerdict, self._take_verdict)
        self._node.add_handler(DispatchProgress, self._take_progress)

    async def run(self) -> None:
        """Let waiting calls in also when only time has passed."""
        while True:
            await asyncio.sleep(PUMP_S)
            if self.dispatcher.waiting:
                self.dispatcher.pump()

    async def ask(self, request: PlaceRequest) -> Place | NoPlace:
        """Return a place, or why there is none."""
        ticket_id = new_id('t')
        queue: asyncio.Queue[DispatchVerdict] = asyncio.Queue()
        self._verdicts[ticket_id] = queue
        dispatcher = self._dispatcher_now()
        granted = False
        ends_s = boottime_s() + request.left_s
        late_s = boottime_s() + request.objective_s
        try:
            while boottime_s() < ends_s:
                chosen = self._dispatcher_now()
                if chosen != dispatcher:
                    self.tell(dispatcher, DispatchProgress(ticket_id, Stage.ENDED))
                    dispatcher = chosen
                query = self._query(ticket_id, request, late_s, ends_s)
                self._send_query(dispatcher, query)
                verdict = await self._wait(queue, dispatcher, ANSWER_S)
                while verdict is not None and verdict.kind is VerdictKind.QUEUED:
                    verdict = await self._next(queue, ASK_AGAIN_S)
                    if verdict is None:
                        break
                else:
                    if verdict is None:
                        continue
                    if verdict.kind is VerdictKind.ABSENT:
                        return NoPlace(absent=True)
                    if verdict.kind is VerdictKind.REFUSED:
                        return NoPlace(absent=False, wait_s=verdict.wait_ms / 1000)
                    granted = True
                    return Place(ticket_id, verdict.replica_id, self, dispatcher)
            return NoPlace(absent=False, wait_s=request.objective_s)
        finally:
            del self._verdicts[ticket_id]
            if not granted:
                self.tell(dispatcher, DispatchProgress(ticket_id, Stage.ENDED))

    def _dispatcher_now(self) -> str:
        leader = self._leader()
        if leader == LOCAL:
            self.dispatcher.grant_share(1.0)
            return LOCAL
        self.dispatcher.grant_share(OWN_SHARE)
        if leader is None or boottime_s() < self._avoid_until_s:
            return LOCAL
        return leader

    async def _wait(
        self, queue: asyncio.Queue[DispatchVerdict], dispatcher: str, limit_s: float
    ) -> DispatchVerdict | None:
        verdict = await self._next(queue, limit_s)
        if verdict is None and dispatcher != LOCAL:
            self._avoid_until_s = boottime_s() + AVOID_S
            log_change('dispatcher_silent', dispatcher=dispatcher, avoided_s=AVOID_S)
        return verdict

    async def _next(
        self, queue: asyncio.Queue[DispatchVerdict], limit_s: float
    ) -> DispatchVerdict | None:
        try:
            async with asyncio.timeout(limit_s):
                return await queue.get()
        except TimeoutError:
            return None

    def _query(
        self, ticket_id: str, request: PlaceRequest, late_s: float, ends_s: float
    ) -> DispatchQuery:
        need = request.need
        now_s = boottime_s()
        return DispatchQuery(
            ticket_id=ticket_id,
            key=request.key,
            prompt_tokens=need.prompt_tokens,
            likely_tokens=need.likely_tokens,
            priority=request.priority,
            objective_ms=int((late_s - now_s) * 1000),
            left_ms=int((ends_s - now_s) * 1000),
            pause_ms=int(request.pause_s * 1000),
            data_centre=self._data_centre,
            parts=[SharedPart(part.part_id, part.tokens) for part in need.parts[:-1]],
            excluded=sorted(request.excluded),
            returned=request.returned,
        )

    def _send_query(self, dispatcher: str, query: DispatchQuery) -> None:
        if dispatcher == LOCAL:
            self.dispatcher.take_query(query, LOCAL)
        else:
            self._node.send(dispatcher, query)

    def tell(self, dispatcher: str, progress: DispatchProgress) -> None:
        """Tell the dispatcher how far a call has come."""
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
        queue = self._verdicts.get(verdict.ticket_id)
        if queue is not None:
            queue.put_nowait(verdict)

    def _take_query(self, envelope: Envelope) -> None:
        self.dispatcher.take_query(envelope.message, envelope.sender)

    def _take_verdict(self, envelope: Envelope) -> None:
        self._deliver(envelope.message)

    def _take_progress(self, envelope: Envelope) -> None:
        self.dispatcher.take_progress(envelope.message)
