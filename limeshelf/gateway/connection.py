"""Bounds what callers' connections may send, and for how long they may stay idle.

The HTTP library parses requests. It would keep connections that never send a request, parse on
after an error, take a head of many megabytes, and parse whatever arrives, however much processor
time that takes. The limits are those of the configuration that is current when they apply, except
for the time-outs, which a connection keeps from when it was made.

Relies on attributes of the library's connection that are not documented; they are listed in
:data:`LIBRARY_ATTRIBUTES`, and tests/gateway/test_connection.py fails when a release drops one.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD

from limeshelf.errors import BuffersFull
from limeshelf.gateway.body_framing import CHUNK_FRAMING_BYTES, BodyFraming
from limeshelf.gateway.head_refusal import (
    STATUS_HEAD_TOO_LARGE,
    STATUS_UNAVAILABLE,
    head_refusal,
)
from limeshelf.metrics.event_log import log_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.streams import StreamReader

    from limeshelf.calls.routes import ClientLimits
    from limeshelf.gateway.buffer_budget import BufferShare
    from limeshelf.gateway.slowdown import Slowdown

#: Undocumented attributes of the library's connection that this module uses.
LIBRARY_ATTRIBUTES = (
    '_request_count',
    '_messages',
    '_lingering_time',
    '_buffer_paused',
    '_reading_paused',
    '_pause_transport_reading',
    '_resume_transport_reading',
    'force_close',
    'finish_response',
    'log_exception',
)
#: Limits before the first configuration is known.
DEFAULT_IDLE_TIMEOUT_S = 60.0
DEFAULT_HEAD_TIMEOUT_S = 10.0
DEFAULT_MAX_HEADER_BYTES = 1 << 16
#: Bytes of a head beyond those that count for its limit: method, version, ends of lines.
UNCOUNTED_HEAD_BYTES = 256
#: Received data is parsed in pieces of this size, and limits are checked after each.
PIECE_BYTES = 1 << 14
#: Most data of one body that the library buffers before it stops reading.
READ_BUFFER_BYTES = 1 << 16
#: Longest line of a request.
MAX_LINE_BYTES = 1 << 16
HEAD_END = b'\r\n\r\n'
#: Shortest header field: a name of one byte, a colon and the end of the line.
MIN_FIELD_BYTES = 4
#: Largest number of header fields, which no head within the limit of bytes reaches.
MAX_FIELDS = DEFAULT_MAX_HEADER_BYTES // MIN_FIELD_BYTES
#: Memory that a parsed header field takes beyond its bytes.
FIELD_MEMORY_BYTES = 300


class _Reading(enum.Enum):
    """What a connection is about to receive."""

    HEAD = enum.auto()
    BODY = enum.auto()
    #: Nothing until the request that has arrived is answered.
    NOTHING = enum.auto()


class CallerConnection(web.RequestHandler):
    """A connection whose input is bounded in size, time and processor time.

    :param manager: the server that created it.
    :param limits: returns the current limits; ``None`` before the first configuration.
    :param buffers: memory that its requests and their answers hold.
    :param slowdown: decides on the pauses of this and other connections.
    :param are_limits_outdated: returns whether a newer configuration may have raised the limits.
    """

    __slots__ = (
        '_are_limits_outdated',
        '_body',
        '_current_limits',
        '_first_request_timer',
        '_framing',
        '_head_bytes',
        '_head_timeout_s',
        '_head_timer',
        '_held_input',
        '_idle_timeout_s',
        '_input_closed',
        '_pause_timer',
        '_reading',
        '_slowdown',
        '_unanswered',
        'buffers',
    )

    def __init__(
        self,
        manager: web.Server,
        limits: Callable[[], ClientLimits | None],
        buffers: BufferShare,
        slowdown: Slowdown,
        are_limits_outdated: Callable[[], bool],
        **options: Any,
    ) -> None:
        current = limits()
        self._idle_timeout_s = current.idle_timeout_s if current else DEFAULT_IDLE_TIMEOUT_S
        self._head_timeout_s = current.header_timeout_s if current else DEFAULT_HEAD_TIMEOUT_S
        self._current_limits = limits
        self.buffers = buffers
        self._slowdown = slowdown
        self._are_limits_outdated = are_limits_outdated
        self._first_request_timer: asyncio.TimerHandle | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._pause_timer: asyncio.TimerHandle | None = None
        self._reading = _Reading.HEAD
        self._body: StreamReader = EMPTY_PAYLOAD
        self._head_bytes = 0
        self._framing = BodyFraming()
        self._unanswered = 0
        self._held_input = b''
        self._input_closed = False
        super().__init__(
            manager,
            keepalive_timeout=self._idle_timeout_s,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_FIELDS,
            read_bufsize=READ_BUFFER_BYTES,
            **options,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer for the first request."""
        super().connection_made(transport)
        self._first_request_timer = self._loop.call_later(
            self._idle_timeout_s, self._close_if_unused
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timers, and give the memory back."""
        for timer in (self._head_timer, self._first_request_timer, self._pause_timer):
            if timer is not None:
                timer.cancel()
        self._end_pause()
        self._held_input = b''
        self.buffers.close()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Receive a part of a request."""
        if self._input_closed:
            return
        if not data:
            # The library parses what it has kept while it was paused.
            self._parse(data)
            return
        self.buffers.add(len(data))
        if self._input_closed:
            return
        if self._is_held:
            self._hold(self._held_input + data)
        else:
            self._feed(data)

    def _hold(self, data: bytes) -> None:
        """Keep input that has to wait, and read no more if it is much.

        A connection that is not read does not show that its caller has left.
        """
        self._held_input = data
        if len(data) >= PIECE_BYTES or self._pause_timer is not None:
            self._pause_transport_reading()

    @property
    def _is_held(self) -> bool:
        """Return whether input must wait: for an answer, the body's reader or a pause."""
        return (
            bool(self._held_input)
            or self._pause_timer is not None
            or self._reading is _Reading.NOTHING
            or self._reading_paused
            or self._buffer_paused
        )

    def _feed(self, data: bytes) -> None:
        """Parse data piece by piece, and keep what has to wait."""
        for start in range(0, len(data), PIECE_BYTES):
            self._feed_piece(data[start : start + PIECE_BYTES])
            if self._input_closed:
                return
            if self._is_held:
                self._hold(data[start + PIECE_BYTES :])
                return

    def _feed_piece(self, piece: bytes) -> None:
        if self._reading is _Reading.HEAD:
            self._feed_head(piece)
        else:
            self._feed_body(piece)

    def _feed_head(self, piece: bytes) -> None:
        lines = _lines_of_head(piece)
        self._head_bytes += len(piece)
        if self._head_timer is None:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self._close_slow_head)
        self.buffers.add(lines * FIELD_MEMORY_BYTES)
        self.buffers.set_give_up(self._refuse_unserved)
        if self._input_closed:
            return
        self._parse(piece)
        is_too_large = self._head_bytes > self._max_header_bytes + UNCOUNTED_HEAD_BYTES
        if is_too_large and self._reading is _Reading.HEAD and not self._input_closed:
            is_outdated = self._are_limits_outdated()
            self._refuse_head(STATUS_UNAVAILABLE if is_outdated else STATUS_HEAD_TOO_LARGE)
        self._slow_down(lines)

    def _parse(self, data: bytes) -> None:
        """Have the library parse data, and follow what it has found."""
        requests = self._request_count
        super().data_received(data)
        found = self._request_count - requests
        if found:
            self._begin_requests(found)
        elif self._reading is _Reading.BODY:
            self._check_body_end()

    @property
    def _max_header_bytes(self) -> int:
        limits = self._current_limits()
        return limits.header_bytes if limits is not None else DEFAULT_MAX_HEADER_BYTES

    def _begin_requests(self, count: int) -> None:
        """Follow the requests whose heads have been parsed."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
        self._unanswered += count
        message, self._body = self._messages[-1]
        self._framing = BodyFraming(self._body.total_bytes)
        if not isinstance(message, RawRequestMessage):
            # Not valid: the library answers 400 and closes the connection.
            self._close_input()
            return
        self._reading = _Reading.BODY
        self.buffers.set_give_up(self._give_up_body)
        self._check_body_end()

    def _feed_body(self, piece: bytes) -> None:
        body, framing = self._body, self._framing
        framing.received_bytes += len(piece)
        self._parse(piece)
        if not self._unanswered:
            # Nobody reads the rest of this body.
            self.buffers.release(len(piece))
        if self._body is not body or self._reading_paused or self._input_closed:
            return
        added_bytes = framing.update(body.total_bytes)
        self.buffers.release(added_bytes)
        if framing.is_excessive(body.total_bytes) and not body.is_eof():
            body.set_exception(web.RequestPayloadError('too much framing'))
            self._close_input()
            return
        self._slow_down(added_bytes // CHUNK_FRAMING_BYTES)

    def _check_body_end(self) -> None:
        if not self._body.is_eof():
            return
        if not self.buffers.record_whole():
            self._give_up_body()
        self.buffers.set_give_up(None)
        self._reading = _Reading.NOTHING
        self._begin_next_if_answered()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer; the next request may be read once the last one is answered."""
        finished = await super().finish_response(request, resp, start_time)
        self._unanswered = max(0, self._unanswered - 1)
        self._begin_next_if_answered()
        return finished

    def _begin_next_if_answered(self) -> None:
        if self._unanswered or self._reading is not _Reading.NOTHING:
            return
        self._reading = _Reading.HEAD
        self._head_bytes = 0
        self._body = EMPTY_PAYLOAD
        self.buffers.clear()
        if self._held_input:
            self.buffers.add(len(self._held_input))
        self._loop.call_soon(self._feed_held)

    def _feed_held(self) -> None:
        """Parse the input that had to wait, unless it still has to."""
        held, self._held_input = self._held_input, b''
        if self._input_closed or self.transport is None:
            return
        if self._is_held:
            self._held_input = held
            self._read_on()
            return
        self._feed(held)
        if not self._held_input:
            self._resume_transport_reading()

    def _read_on(self) -> None:
        """Read while a request is answered, unless much input waits; see :meth:`_hold`."""
        is_paused = self._pause_timer is not None or self._reading_paused or self._buffer_paused
        if not is_paused and len(self._held_input) < PIECE_BYTES:
            super()._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Resume reading, unless input that has arrived has to be parsed first."""
        if self._input_closed or self._pause_timer is not None:
            return
        if self._held_input:
            self._loop.call_soon(self._feed_held)
            return
        super()._resume_transport_reading()

    def _slow_down(self, lines: int) -> None:
        """Pause reading after data that takes much processor time for its size."""
        pause_s = self._slowdown.pause_s(self, lines)
        if pause_s and not self._input_closed:
            self._pause_timer = self._loop.call_later(pause_s, self._resume_after_pause)

    def _resume_after_pause(self) -> None:
        self._end_pause()
        self._feed_held()

    def _end_pause(self) -> None:
        self._pause_timer = None
        self._slowdown.end_pause(self)

    def _close_input(self) -> None:
        """Read nothing more; the connection ends with the answer in progress."""
        self._input_closed = True
        self._lingering_time = 0.0
        self._held_input = b''
        self._pause_transport_reading()

    def _refuse_unserved(self) -> None:
        self._refuse_head(STATUS_UNAVAILABLE)

    def _refuse_head(self, status: int) -> None:
        """Answer a request whose head is not read to its end, and close the connection."""
        log_request('head_refused', status=status, received_bytes=self._head_bytes)
        if self.transport is not None:
            self.transport.write(head_refusal(status))
        self._close_input()
        self.force_close()

    def _give_up_body(self) -> None:
        """End the reading of a body; its reader refuses the request."""
        self._body.set_exception(BuffersFull())
        self._close_input()

    def _close_slow_head(self) -> None:
        self._head_timer = None
        self.force_close()

    def _close_if_unused(self) -> None:
        if not self._request_count:
            self.force_close()

    @property
    def is_unused(self) -> bool:
        """Return whether the connection waits for the first byte of a request."""
        return self._reading is _Reading.HEAD and not self._head_bytes

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Write a bounded line in place of the library's, which holds what was received."""
        error = options.get('exc_info')
        log_request('request_failed', error=type(error).__name__)


def _lines_of_head(piece: bytes) -> int:
    """Return the lines of a piece of data up to the end of the first head in it."""
    end = piece.find(HEAD_END)
    return piece.count(b'\n') if end < 0 else piece.count(b'\n', 0, end + len(HEAD_END))
