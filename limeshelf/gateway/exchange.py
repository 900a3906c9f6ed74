"""One attempt of a call at one replica: send it, and bring the answer on if it is good.

An answer is good if it is the call's own, bears the replica's signature and is whole. A
stream goes on to the caller event by event; anything else is read whole first, so that
the call can still go elsewhere. Owns nothing beyond the attempt; relies on
:mod:`limeshelf.replicas.connections` to tell a reset from an end.
"""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from limeshelf.errors import SendWithheld
from limeshelf.gateway.events import EventSplitter, EventTooLong
from limeshelf.replicas.connections import SendProgress
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.call import Call
    from limeshelf.calls.wire import AnswerFacts, CallWire, SendFacts
    from limeshelf.gateway.answer import Answer
    from limeshelf.replicas.connections import ReplicaConnections

#: Largest answer that is read whole.
MAX_ANSWER_BYTES = 32 << 20
STATUS_OK = 200
EVENT_STREAM = 'text/event-stream'


class BrokenBy(enum.StrEnum):
    """Why there is no whole answer; what that says of a run, the outcome tells."""

    #: Before the head of an answer was there, or the answer made no sense.
    CONNECTION_BROKEN = 'connection_broken'
    #: No head came within the attempt's time for it.
    SILENT = 'silent'
    #: The answer is another call's, or lacks the replica's signature.
    FOREIGN_ANSWER = 'foreign_answer'
    #: The body or stream ended before its end.
    CUT_SHORT = 'cut_short'
    #: A stream's event did not end within its bound.
    EVENT_TOO_LONG = 'event_too_long'
    #: The call's own time was over first.
    TIME_OVER = 'time_over'
    #: The replica has asked for no such call since it was chosen.
    WITHHELD = 'withheld'


@dataclass(frozen=True)
class Delivered:
    """The whole answer went to the caller, with its status.

    :param first_s: time from the send to the head of the answer, in seconds.
    :param longest_pause_s: between two events of the stream, in seconds.
    """

    status: int
    first_s: float
    longest_pause_s: float = 0.0


@dataclass(frozen=True)
class WholeAnswer:
    """A plain answer that is whole but has not gone to the caller yet.

    :param first_s: time from the send to the head of the answer, in seconds.
    """

    facts: AnswerFacts
    body: bytes
    first_s: float


@dataclass(frozen=True)
class NeverRan:
    """The replica did not run the call and never will.

    :param reached: whether the call reached the replica.
    :param misdirected: another replica answered, or the model is not there.
    :param status: of its answer; 0 if it was not reached.
    """

    reached: bool
    misdirected: bool = False
    status: int = 0


@dataclass(frozen=True)
class NotSent:
    """The replica never got the call.

    :param by: ``SILENT`` or ``TIME_OVER`` where the attempt's time or the call's was over before
        a connection was there; ``WITHHELD`` where the call was not to be sent any more.
    """

    by: BrokenBy


@dataclass(frozen=True)
class Broken:
    """The replica may have run the call, and its answer is not whole."""

    by: BrokenBy


Result = Delivered | WholeAnswer | NeverRan | NotSent | Broken


class Exchange:
    """Runs one attempt of a call at one replica.

    :param splitter: keeps the place in a stream across attempts.
    :param on_first: called when the first event of a stream is there.
    :param on_head: called as soon as the head of an answer is there that bears the call's id, and
        the replica's signature or its word that it did not run the call. Another replica may have
        given a misdirected one; then the one that was meant is no longer there, and what it is
        taken to ask for does no harm.
    :param may_send: see :class:`~limeshelf.replicas.connections.SendProgress`.
    """

    def __init__(
        self,
        call: Call,
        connections: ReplicaConnections,
        wire: CallWire,
        answer: Answer,
        splitter: EventSplitter,
        on_first: Callable[[], None],
        on_head: Callable[[AnswerFacts], None] = lambda facts: None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._call = call
        self._connections = connections
        self._wire = wire
        self._answer = answer
        self._splitter = splitter
        self._on_first = on_first
        self._on_head = on_head
        self._progress = SendProgress(may_send)

    async def run(self, facts: SendFacts, head_limit_s: float) -> Result:
        """Send the call and bring its answer on.

        :param head_limit_s: within which the head of the answer must be there, in
            seconds.
        :raises CallerGone: the caller has closed its connection.
        """
        started_s = boottime_s()
        response: aiohttp.ClientResponse | None = None
        try:
            async with asyncio.timeout(head_limit_s):
                response = await self._connections.send(self._call, facts, self._progress)
            return await self._take(response, started_s)
        except SendWithheld:
            return NotSent(BrokenBy.WITHHELD)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # Before TimeoutError, whose kind the second one is
            # (tests/gateway/test_path.py::test_replica_that_takes_no_connection).
            return NeverRan(reached=False)
        except TimeoutError:
            if response is None:
                return self._out_of_time(BrokenBy.SILENT)
            return Broken(BrokenBy.CUT_SHORT)
        except EventTooLong:
            return Broken(BrokenBy.EVENT_TOO_LONG)
        except aiohttp.ClientPayloadError:
            return Broken(BrokenBy.CUT_SHORT)
        except (aiohttp.ClientError, OSError, ValueError):
            return Broken(BrokenBy.CONNECTION_BROKEN)
        finally:
            if response is not None:
                response.close()

    def time_over(self) -> Broken | NotSent:
        """Return what the attempt gave if the call's own time ended :meth:`run`."""
        return self._out_of_time(BrokenBy.TIME_OVER)

    def _out_of_time(self, by: BrokenBy) -> Broken | NotSent:
        return Broken(by) if self._progress.connected else NotSent(by)

    async def _take(self, response: aiohttp.ClientResponse, started_s: float) -> Result:
        facts = self._wire.read_answer(response.status, response.headers)
        first_s = boottime_s() - started_s
        if facts.call_id != self._call.call_id and not facts.misdirected:
            return Broken(BrokenBy.FOREIGN_ANSWER)
        if facts.not_run:
            if facts.call_id == self._call.call_id:
                self._on_head(facts)
            await self._finish(response, facts)
            return NeverRan(True, facts.misdirected, facts.status)
        if not facts.stamped or facts.encoded:
            return Broken(BrokenBy.FOREIGN_ANSWER)
        self._on_head(facts)
        if response.status == STATUS_OK and response.content_type == EVENT_STREAM:
            return await self._relay(response, facts, first_s)
        body = await self._read_whole(response)
        self._connections.apply_keep_alive(facts)
        response.release()
        return WholeAnswer(facts, body, first_s)

    async def _finish(self, response: aiohttp.ClientResponse, facts: AnswerFacts) -> None:
        """Read a refusal to its end, so that its connection can be used again."""
        await self._read_whole(response)
        self._connections.apply_keep_alive(facts)
        response.release()

    async def _read_whole(self, response: aiohttp.ClientResponse) -> bytes:
        parts = []
        size = 0
        async for chunk in response.content.iter_any():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise ValueError('answer too long')
        return b''.join(parts)

    async def _relay(
        self, response: aiohttp.ClientResponse, facts: AnswerFacts, first_s: float
    ) -> Result:
        splitter = self._splitter
        splitter.restart()
        longest_pause_s = 0.0
        last_s: float | None = None
        async for chunk in response.content.iter_any():
            whole = splitter.feed(chunk)
            if not whole:
                continue
            now_s = boottime_s()
            if last_s is None:
                self._on_first()
            else:
                longest_pause_s = max(longest_pause_s, now_s - last_s)
            last_s = now_s
            if not self._answer.started:
                await self._answer.start(facts.status, facts.headers)
            await self._answer.write(whole)
        if splitter.unfinished:
            return Broken(BrokenBy.CUT_SHORT)
        if not self._answer.started:
            await self._answer.start(facts.status, facts.headers)
        await self._answer.finish()
        self._connections.apply_keep_alive(facts)
        response.release()
        return Delivered(facts.status, first_s, longest_pause_s)
