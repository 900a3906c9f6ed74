"""The connection to one peer, with a bounded queue of frames.

Owns the frames queued for the peer and the connection to it. A peer that accepts no data costs
memory up to the limit of its queue, and does not delay frames to other peers. The socket options
of :mod:`limeshelf.util.sockets` detect an unreachable peer on an open connection too: data that
stays unacknowledged for 0.8 s breaks the connection, and the next frame opens another one.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

from limeshelf.peers.framing import PipeEnd, add_length_prefix, greeting
from limeshelf.peers.traffic import Traffic, Waiting
from limeshelf.util.backoff import full_jitter_s
from limeshelf.util.clock import boottime_s
from limeshelf.util.sockets import keep_alive, unacknowledged_bytes

#: Most frames queued for one peer; if there are more, the oldest are dropped.
MAX_QUEUED_FRAMES = 64
#: A connection over which no frame was sent for this long is closed.
IDLE_TIMEOUT_S = 30.0
#: Time-out for opening a connection.
CONNECT_TIMEOUT_S = 1.0
#: Base and limit of the exponential back-off after a failed connection.
RECONNECT_BASE_S = 0.1
RECONNECT_LIMIT_S = 1.0
#: A frame that has been queued for longer is dropped, because its content is out of date.
MAX_FRAME_AGE_S = 2.0


class _QueuedFrame(NamedTuple):
    queued_s: float
    kind: str
    frame: bytes


class PeerLink:
    """Sends frames to one peer, in the order in which they were queued.

    :param address: host and port at which the peer listens.
    :param traffic: counts to which this link adds.
    """

    def __init__(self, address: str, traffic: Traffic) -> None:
        self.address = address
        self._traffic = traffic
        self._frames: deque[_QueuedFrame] = deque()
        self._frame_queued = asyncio.Event()
        self._writer: asyncio.StreamWriter | None = None

    def put(self, frame: bytes, kind: str = '') -> None:
        """Queue *frame*; if the queue is full, drop its oldest frame.

        :param kind: its message's name on the wire.
        """
        if len(self._frames) >= MAX_QUEUED_FRAMES:
            self._frames.popleft()
            self._traffic.dropped += 1
        self._frames.append(_QueuedFrame(boottime_s(), kind, frame))
        self._frame_queued.set()

    def waiting(self) -> Waiting:
        """Return what waits to be sent to the peer."""
        return Waiting(
            self.address,
            queued_bytes=sum(len(queued.frame) for queued in self._frames),
            unsent_bytes=0 if self._writer is None else _unsent_bytes(self._writer),
            oldest_s=boottime_s() - self._frames[0].queued_s if self._frames else 0.0,
        )

    def pop_current(self) -> list[bytes]:
        """Return the queued frames that are not out of date, and clear the queue."""
        now_s = boottime_s()
        current = [one for one in self._frames if one.queued_s >= now_s - MAX_FRAME_AGE_S]
        self._traffic.dropped += len(self._frames) - len(current)
        self._frames.clear()
        for one in current:
            self._traffic.record_sent(one.kind, len(one.frame), now_s - one.queued_s)
        return [one.frame for one in current]

    async def run(self) -> None:
        """Send queued frames; return when none was queued for :data:`IDLE_TIMEOUT_S`."""
        failures = 0
        while await self._has_frames():
            try:
                await self._connect_and_send()
                failures = 0
            except OSError:
                # Includes time-outs. Not logged: unreachable peers are common and messages may be
                # lost, so that a line for each failure would flood the log.
                failures += 1
                pause_s = full_jitter_s(failures, RECONNECT_BASE_S, RECONNECT_LIMIT_S)
                await asyncio.sleep(pause_s)

    async def _has_frames(self) -> bool:
        """Wait for a queued frame; return whether there is one within :data:`IDLE_TIMEOUT_S`."""
        if self._frames:
            return True
        self._frame_queued.clear()
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                await self._frame_queued.wait()
        except TimeoutError:
            # The usual end of a link: there was no frame to send for a while.
            return False
        return True

    async def _connect_and_send(self) -> None:
        """Send frames over a new connection until it is idle.

        :raises OSError: the connection failed.
        """
        host, _, port = self.address.rpartition(':')
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            keep_alive(writer.get_extra_info('socket'))
            writer.write(greeting(PipeEnd.SENDER))
            self._writer = writer
            while await self._has_frames():
                if reader.at_eof() or writer.is_closing():
                    raise ConnectionResetError
                await self._send(writer, self.pop_current())
        finally:
            self._writer = None
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, frames: list[bytes]) -> None:
        writer.writelines([add_length_prefix(frame) for frame in frames])
        await writer.drain()


def _unsent_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the bytes of a connection that the other end has not acknowledged."""
    buffered_bytes = writer.transport.get_write_buffer_size()
    return buffered_bytes + unacknowledged_bytes(writer.get_extra_info('socket'))
