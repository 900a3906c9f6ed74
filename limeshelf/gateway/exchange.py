"""One exchange with a replica: send, check that the answer is whole and the call's own."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from limeshelf.gateway.events import EventSplitter, EventTooLong
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.call import Call
    from limeshelf.calls.wire import AnswerFacts, CallWire, SendFacts
    from limeshelf.gateway.answer import Answer
    from limeshelf.replicas.connections import ReplicaConnections

MAX_BODY_BYTES = 32 << 20
EVENT_STREAM = 'text/event-stream'


class BrokenBy(enum.StrEnum):
    """Why an answer is not whole, so that it is open whether the replica ran the call."""

    CONNECTION_BROKEN = 'connection_broken'
    SILENT = 'silent'
    FOREIGN_ANSWER = 'foreign_answer'
    CUT_SHORT = 'cut_short'
    EVENT_TOO_LONG = 'event_too_long'
    TIME_OVER = 'time_over'


@dataclass(frozen=True)
class Delivered:
    """The whole answer went to the caller, with its status.

    :param longest_pause_s: between two events of a stream.
    """

    status: int
    first_s: float
    longest_pause_s: float = 0.0


@dataclass(frozen=True)
class WholeAnswer:
    """A plain answer that is whole but has not gone to the caller yet."""

    facts: AnswerFacts
    body: bytes
    first_s: float


@dataclass(frozen=True)
class NeverRan:
    """The replica did not run the call and never will.

    :param reached: whether the call reached the replica.
    :param misdirected: another incarnation answered, or something is missing.
    """

    reached: bool
    misdirected: bool = False
    status: int = 0


@dataclass(frozen=True)
class Broken:
    """The replica may have run the call, and its answer is not whole."""

    by: BrokenBy


Result = Delivered | WholeAnswer | NeverRan | Broken


class Exchange:
    """Runs one attempt of a call at one replica.

    :param splitter: keeps the place in a stream across attempts.
    :param on_first: called when the first event of a stream is there.
    """

    def __init__(
        self,
        call: Call,
        connections: ReplicaConnections,
        wire: CallWire,
        answer: Answer,
        splitter: EventSplitter,
        on_first: Callable[[], None],
    ) -> None:
        self._call = call
        self._connections = connections
        self._wire = wire
        self._answer = answer
        self._splitter = splitter
        self._on_first = on_first

    async def run(self, facts: SendFacts, head_limit_s: float) -> Result:
        """Send the call and bring its answer on.

        :param head_limit_s: time until the head of the answer must be there.
        """
        started_s = boottime_s()
        response: aiohttp.ClientResponse | None = None
        try:
            async with asyncio.timeout(head_limit_s):
                response = await self._connections.send(self._call, facts)
            return await self._take(response, started_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # Before TimeoutError, whose kind the second one is
            # (tests/gateway/test_path.py::test_replica_that_takes_no_connection).
            return NeverRan(reached=False)
        except TimeoutError:
            if response is None:
                return Broken(BrokenBy.SILENT)
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

    async def _take(self, response: aiohttp.ClientResponse, started_s: float) -> Result:
        facts = self._wire.read_answer(response.status, response.headers)
        first_s = boottime_s() - started_s
        if facts.call_id != self._call.call_id and not facts.misdirected:
            return Broken(BrokenBy.FOREIGN_ANSWER)
        if facts.not_run:
            await self._finish(response, facts)
            return NeverRan(True, facts.misdirected, facts.status)
        if not facts.stamped or facts.encoded:
            return Broken(BrokenBy.FOREIGN_ANSWER)
        if response.status == 200 and response.content_type == EVENT_STREAM:
            return await self._relay(response, facts, first_s)
        body = await self._read_whole(response)
        self._connections.note_keep_alive(facts)
        response.release()
        return WholeAnswer(facts, body, first_s)

    async def _finish(self, response: aiohttp.ClientResponse, facts: AnswerFacts) -> None:
        """Read a refusal to its end, so that its connection can be used again."""
        await self._read_whole(response)
        self._connections.note_keep_alive(facts)
        response.release()

    async def _read_whole(self, response: aiohttp.ClientResponse) -> bytes:
        parts = []
        size = 0
        async for chunk in response.content.iter_any():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_BODY_BYTES:
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
        self._connections.note_keep_alive(facts)
        response.release()
        return Delivered(facts.status, first_s, longest_pause_s)
