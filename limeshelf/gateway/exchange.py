"""Runs one attempt of a call: sends it to a replica, and validates and relays the answer.

An answer is valid if it carries the call's id and the replica's signature and is complete. A
stream is relayed to the caller event by event; any other answer is read to its end first, so that
the call can still be retried elsewhere. The same holds where another gateway carries the call.

Keeps no state beyond the attempt; relies on :mod:`limeshelf.replicas.connections` to tell a reset
from a regular end of the connection.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from limeshelf.errors import BuffersFull, SendWithheld
from limeshelf.gateway.buffer_budget import SMALL_REQUEST_BYTES
from limeshelf.gateway.events import EventSplitter, EventTooLong
from limeshelf.gateway.result_rules import STATUS_SERVER_ERROR
from limeshelf.gateway.results import (
    Broken,
    Delivered,
    FailureCause,
    NeverRan,
    NotSent,
    WholeAnswer,
)
from limeshelf.replicas.connections import SendProgress
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.call import Call
    from limeshelf.calls.wire import AnswerHead, SendContext, SendWire
    from limeshelf.gateway.answer import Answer
    from limeshelf.gateway.results import ReplicaResult
    from limeshelf.replicas.connections import CallConnections

#: Largest answer body that is buffered.
MAX_ANSWER_BYTES = 32 << 20
#: Limits on reading the body of a refusal.
MAX_REFUSAL_BYTES = 1 << 16
REFUSAL_DRAIN_S = 0.1
STATUS_OK = 200
EVENT_STREAM = 'text/event-stream'


class Exchange:
    """Runs one attempt of a call at one replica.

    :param splitter: keeps the position in a stream across attempts.
    :param on_first_event: called when the first event of a stream has arrived.
    :param on_head: called when the head of an answer has arrived that carries the call's id, and
        either the replica's signature or its statement that it did not run the call. Another
        replica may have sent a misdirected answer. The intended replica is gone then, so
        attributing the notice in this head to it does no harm.
    :param may_send: see :class:`~limeshelf.replicas.connections.SendProgress`.
    """

    def __init__(
        self,
        call: Call,
        connections: CallConnections,
        wire: SendWire,
        answer: Answer,
        splitter: EventSplitter,
        on_first_event: Callable[[], None],
        on_head: Callable[[AnswerHead], None] = lambda head: None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._call = call
        self._connections = connections
        self._wire = wire
        self._answer = answer
        self._splitter = splitter
        self._on_first_event = on_first_event
        self._on_head = on_head
        self._progress = SendProgress(call.call_id, may_send)
        self._partial_bytes = 0

    async def run(self, context: SendContext, head_limit_s: float) -> ReplicaResult:
        """Send the call, and forward or return its answer.

        :param head_limit_s: time limit for the head of the answer, in seconds.
        :raises CallerDisconnected: the caller has closed its connection.
        """
        started_s = boottime_s()
        response: aiohttp.ClientResponse | None = None
        try:
            async with asyncio.timeout(head_limit_s):
                headers = self._wire.send_headers(self._call, context)
                response = await self._connections.send(self._call, headers, self._progress)
            return await self._handle_answer(response, started_s)
        except SendWithheld:
            return NotSent(FailureCause.WITHHELD)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # Must precede TimeoutError, a base class of ConnectionTimeoutError
            # (tests/gateway/test_path.py::test_replica_that_accepts_no_connection).
            return NeverRan(reached=False)
        except TimeoutError:
            if response is None:
                return self._timed_out(FailureCause.SILENT)
            return Broken(FailureCause.CUT_SHORT)
        except EventTooLong:
            return Broken(FailureCause.EVENT_TOO_LONG)
        except BuffersFull:
            return Broken(FailureCause.BUFFERS_FULL)
        except aiohttp.ClientPayloadError:
            return Broken(FailureCause.CUT_SHORT)
        except (aiohttp.ClientError, OSError, ValueError):
            return Broken(FailureCause.CONNECTION_BROKEN)
        finally:
            if response is not None:
                response.close()

    def deadline_exceeded(self) -> Broken | NotSent:
        """Return the result of the attempt where the call's deadline cancelled :meth:`run`."""
        return self._timed_out(FailureCause.TIME_OVER)

    def _timed_out(self, cause: FailureCause) -> Broken | NotSent:
        return Broken(cause) if self._progress.connected else NotSent(cause)

    async def _handle_answer(
        self, response: aiohttp.ClientResponse, started_s: float
    ) -> ReplicaResult:
        head = self._wire.read_answer(response.status, response.headers)
        time_to_head_s = boottime_s() - started_s
        if not self._belongs_to_call(head):
            return self._reject_foreign(head)
        self._record_unserved(head)
        if head.not_run:
            if head.call_id is None:
                self._close_connection()
            else:
                self._on_head(head)
                await self._drain_refusal(response, head)
            return NeverRan(True, head.misdirected, head.status)
        if not head.is_signed or head.encoded:
            return self._reject_foreign(head)
        self._on_head(head)
        if response.status == STATUS_OK and response.content_type == EVENT_STREAM:
            return await self._relay_stream(response, head, time_to_head_s)
        body = await self._read_whole(response)
        self._connections.apply_keep_alive(head)
        response.release()
        return WholeAnswer(head, body, time_to_head_s)

    def _belongs_to_call(self, head: AnswerHead) -> bool:
        """Return whether an answer is the one to this call, and not a surplus one to another.

        Another replica that uses the address may leave out the id. Its connection is a new one.
        """
        if head.call_id is None:
            return head.misdirected and self._progress.is_first_call
        return head.call_id == self._call.call_id

    def _record_unserved(self, head: AnswerHead) -> None:
        """Keep a call that may be sent again off the connection of this attempt."""
        connection = self._progress.connection
        if connection is not None and (head.not_run or head.status >= STATUS_SERVER_ERROR):
            connection.record_unserved(self._call.call_id)

    def _reject_foreign(self, head: AnswerHead) -> Broken:
        self._close_connection()
        return Broken(FailureCause.FOREIGN_ANSWER, head.status, head.call_id)

    def _close_connection(self) -> None:
        """Close the connection at once, before another call is assigned to it.

        An answer without a body has released it with its head.
        """
        if self._progress.connection is not None:
            self._progress.connection.close()

    async def _drain_refusal(self, response: aiohttp.ClientResponse, head: AnswerHead) -> None:
        """Read a refusal to its end, so that its connection can be reused.

        Its head says all that counts, so a body that does not end soon, or breaks off, only costs
        the connection.
        """
        try:
            async with asyncio.timeout(REFUSAL_DRAIN_S):
                await self._read_whole(response, MAX_REFUSAL_BYTES)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            # Not logged: the refusal itself is, with the attempt.
            response.close()
            return
        self._connections.apply_keep_alive(head)
        response.release()

    async def _read_whole(
        self, response: aiohttp.ClientResponse, limit_bytes: int = MAX_ANSWER_BYTES
    ) -> bytes:
        body = bytearray()
        content = response.content
        buffers = self._answer.buffers
        try:
            with buffers.transfer(lambda: content.set_exception(BuffersFull())):
                async for chunk in content.iter_any():
                    body += chunk
                    buffers.add(len(chunk))
                    if len(body) > limit_bytes:
                        raise ValueError('answer body exceeds the size limit')
            return bytes(body)
        finally:
            # The traceback of an error would keep it until the next full garbage collection.
            body.clear()

    def _hold_partial_event(self, response: aiohttp.ClientResponse) -> None:
        """Count the memory of an incomplete event, and let a large one be given up."""
        added_bytes = self._splitter.partial_bytes - self._partial_bytes
        if not added_bytes:
            return
        self._partial_bytes += added_bytes
        buffers = self._answer.buffers
        is_large = self._partial_bytes > SMALL_REQUEST_BYTES
        buffers.set_give_up(
            (lambda: response.content.set_exception(BuffersFull())) if is_large else None
        )
        if added_bytes > 0:
            buffers.add(added_bytes)
        else:
            buffers.release(-added_bytes)

    async def _relay_stream(
        self, response: aiohttp.ClientResponse, head: AnswerHead, time_to_head_s: float
    ) -> ReplicaResult:
        splitter = self._splitter
        splitter.discard_partial_event()
        longest_pause_s = 0.0
        last_s: float | None = None
        async for chunk in response.content.iter_any():
            events = splitter.feed(chunk)
            self._hold_partial_event(response)
            if not events:
                continue
            now_s = boottime_s()
            if last_s is None:
                self._on_first_event()
            else:
                longest_pause_s = max(longest_pause_s, now_s - last_s)
            last_s = now_s
            if not self._answer.started:
                await self._answer.start(head.status, head.headers)
            await self._answer.write(events)
        if splitter.has_partial_event:
            return Broken(FailureCause.CUT_SHORT)
        if not self._answer.started:
            await self._answer.start(head.status, head.headers)
        await self._answer.finish()
        self._connections.apply_keep_alive(head)
        response.release()
        return Delivered(head.status, time_to_head_s, longest_pause_s)
