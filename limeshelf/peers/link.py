"""The connection to one peer, with its bounded queue.

Owns the frames that wait for the peer and the connection to it. A peer that takes nothing
costs memory up to the queue's limit and delays nobody else. Relies on
:mod:`limeshelf.util.sockets` to notice a peer that is out of reach, also one whose open
connection has fallen silent: unacknowledged data breaks it after 0.8 s, and the next frame
opens another.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

import attrs

from limeshelf.peers.framing import PipeEnd, framed, greeting
from limeshelf.util.backoff import full_jitter_s
from limeshelf.util.clock import boottime_s
from limeshelf.util.sockets import keep_alive

#: Frames kept for a peer that does not take them; older ones are dropped.
MAX_QUEUED_FRAMES = 64
#: A connection that was not used for this long is closed.
IDLE_S = 30.0
#: Longest time for a new connection.
CONNECT_S = 1.0
#: Bound of the pause after a failed attempt to connect: the first and the largest.
RECONNECT_BASE_S = 0.1
RECONNECT_LIMIT_S = 1.0
#: A frame that waits for a connection for longer is dropped: what it says is out of date.
FRAME_LIFE_S = 2.0


@attrs.define
class Traffic:
    """What went to the peers of one process, over all links.

    :ivar sent_bytes: in frames that a connection took.
    :ivar dropped: frames that were queued for a peer and never sent.
    """

    sent_bytes: int = 0
    dropped: int = 0


class _QueuedFrame(NamedTuple):
    queued_s: float
    frame: bytes


class PeerLink:
    """Sends frames to one peer, one after the other.

    :param address: where the peer listens, host and port.
    :param traffic: counts what is sent and dropped.
    """

    def __init__(self, address: str, traffic: Traffic) -> None:
        self.address = address
        self._traffic = traffic
        self._frames: deque[_QueuedFrame] = deque()
        self._arrived = asyncio.Event()

    def put(self, frame: bytes) -> None:
        """Queue *frame*; where the queue is full, the oldest frame is dropped for it."""
        if len(self._frames) >= MAX_QUEUED_FRAMES:
            self._frames.popleft()
            self._traffic.dropped += 1
        self._frames.append(_QueuedFrame(boottime_s(), frame))
        self._arrived.set()

    def take(self) -> list[bytes]:
        """Return the queued frames that are not out of date, and forget all."""
        oldest_s = boottime_s() - FRAME_LIFE_S
        frames = [queued.frame for queued in self._frames if queued.queued_s >= oldest_s]
        self._traffic.dropped += len(self._frames) - len(frames)
        self._frames.clear()
        return frames

    async def run(self) -> None:
        """Connect when there is something to send; end after :data:`IDLE_S` without it."""
        failures = 0
        while await self._has_frames():
            try:
                await self._connect_and_send()
                failures = 0
            except OSError:
                # Also a time-out. A peer out of reach is an ordinary state here: messages
                # may be lost, and a line for each would flood the log.
                failures += 1
                pause_s = full_jitter_s(failures, RECONNECT_BASE_S, RECONNECT_LIMIT_S)
                await asyncio.sleep(pause_s)

    async def _has_frames(self) -> bool:
        """Return whether a frame is queued, as soon as one is; not after :data:`IDLE_S`."""
        if self._frames:
            return True
        self._arrived.clear()
        try:
            async with asyncio.timeout(IDLE_S):
                await self._arrived.wait()
        except TimeoutError:
            # The usual end of a link: nothing was to be sent for a while.
            return False
        return True

    async def _connect_and_send(self) -> None:
        """Send frames over a new connection until it is idle; raises if it breaks."""
        host, _, port = self.address.rpartition(':')
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            keep_alive(writer.get_extra_info('socket'))
            writer.write(greeting(PipeEnd.SENDER))
            while await self._has_frames():
                if reader.at_eof() or writer.is_closing():
                    raise ConnectionResetError
                await self._send(writer, self.take())
        finally:
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, frames: list[bytes]) -> None:
        writer.writelines([framed(frame) for frame in frames])
        await writer.drain()
        self._traffic.sent_bytes += sum(map(len, frames))
