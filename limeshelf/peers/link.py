"""The connection to one peer, with its bounded queue.

Owns the frames that wait for the peer and the socket to it. A peer that takes nothing
costs memory up to the queue's limit and delays nobody else.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import pynng

#: Frames kept for a peer that does not take them; older ones are dropped. Chosen, not
#: measured.
MAX_QUEUED_FRAMES = 64
#: A connection that was not used for this long is closed. Chosen, not measured.
IDLE_S = 30.0
#: Pauses between attempts to connect, the first and the largest. Chosen, not measured.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
#: A frame that the connection does not take for this long is dropped. Chosen, not measured.
SEND_TIMEOUT_MS = 2000


class PeerLink:
    """Sends frames to one peer, one after the other.

    :param address: where the peer listens, host and port.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._frames: deque[bytes] = deque()
        self._arrived = asyncio.Event()
        self._socket: Any = None

    def open(self) -> None:
        """Start connecting in the background."""
        self._socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._socket.dial(f'tcp://{self.address}', block=False)

    def put(self, frame: bytes) -> bool:
        """Queue *frame*; return whether the oldest one was dropped for it."""
        is_full = len(self._frames) >= MAX_QUEUED_FRAMES
        if is_full:
            self._frames.popleft()
        self._frames.append(frame)
        self._arrived.set()
        return is_full

    async def take(self) -> bytes | None:
        """Return the next frame, or ``None`` after :data:`IDLE_S` without one."""
        while not self._frames:
            self._arrived.clear()
            try:
                await asyncio.wait_for(self._arrived.wait(), IDLE_S)
            except TimeoutError:
                # The usual end of a link: nothing was to be sent for a while.
                return None
        return self._frames.popleft()

    async def transmit(self, frame: bytes) -> bool:
        """Send *frame*; return whether the peer's connection took it."""
        try:
            await self._socket.asend(frame)
        except pynng.NNGException:
            # A peer out of reach is an ordinary state here: messages may be lost, and
            # a line for each would flood the log. The node counts it.
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
