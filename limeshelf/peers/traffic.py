"""Counts what one process sends to its peers, and logs when much of it waits to be sent.

Owns these counts. The links of :mod:`limeshelf.peers.link` add to them.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

#: Waiting bytes, over all peers, from which on a line is logged. A link of 10 Mbit/s takes 0.2 s
#: for them.
BUSY_BYTES = 1 << 18
#: Interval between two checks, and between two lines while they wait.
CHECK_INTERVAL_S = 1.0


def _ignore_frame(kind: str, size_bytes: int, waited_s: float) -> None:
    """Default for processes that export no metrics of their frames."""


@attrs.define
class Traffic:
    """Counts of what one process sent to its peers, over all links.

    :ivar sent_bytes: bytes of the frames taken from a queue to be written to a connection.
    :ivar sent_bytes_by_kind: the same by the message's name on the wire.
    :ivar dropped: frames that were queued for a peer and dropped from the queue.
    :ivar on_sent: called for each frame with its kind, its size and how long it was queued.
    """

    sent_bytes: int = 0
    sent_bytes_by_kind: Counter[str] = attrs.field(factory=Counter)
    dropped: int = 0
    on_sent: Callable[[str, int, float], None] = _ignore_frame

    def record_sent(self, kind: str, size_bytes: int, waited_s: float) -> None:
        """Count a frame that is taken from its queue to be written to a connection.

        :param waited_s: time for which it was queued.
        """
        self.sent_bytes += size_bytes
        self.sent_bytes_by_kind[kind] += size_bytes
        self.on_sent(kind, size_bytes, waited_s)


@attrs.frozen
class Waiting:
    """What waits to be sent to one peer.

    :param queued_bytes: bytes of frames that are not written to the connection yet.
    :param unsent_bytes: bytes written to it that the peer's machine has not acknowledged.
    :param oldest_s: how long the oldest of the queued frames has been queued; 0 if there is none.
    """

    address: str
    queued_bytes: int
    unsent_bytes: int
    oldest_s: float

    @property
    def total_bytes(self) -> int:
        """Return the bytes that wait in this process and in the operating system."""
        return self.queued_bytes + self.unsent_bytes


@attrs.define
class TrafficLog:
    """Logs a line once per second while much waits to be sent, and one when it no longer does.

    :param waiting: returns what waits, by peer.
    """

    traffic: Traffic
    waiting: Callable[[], list[Waiting]]
    _was_busy: bool = False
    _counted: Counter[str] = attrs.field(factory=Counter)

    async def run(self) -> None:
        """Check regularly; runs until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Log what waits, if it is much or was at the last check."""
        waiting = self.waiting()
        sent = self.traffic.sent_bytes_by_kind - self._counted
        self._counted = Counter(self.traffic.sent_bytes_by_kind)
        is_busy = sum(one.total_bytes for one in waiting) >= BUSY_BYTES
        if is_busy:
            self._log_busy(waiting, sent)
        elif self._was_busy:
            log_change('peers_link_free')
        self._was_busy = is_busy

    def _log_busy(self, waiting: list[Waiting], sent: Counter[str]) -> None:
        most = max(waiting, key=lambda one: one.total_bytes)
        log_change(
            'peers_link_busy',
            queued_bytes=sum(one.queued_bytes for one in waiting),
            unsent_bytes=sum(one.unsent_bytes for one in waiting),
            oldest_ms=int(max(one.oldest_s for one in waiting) * MS_PER_S),
            peers=len(waiting),
            peer=most.address,
            peer_bytes=most.total_bytes,
            sent_bytes=dict(sent),
        )
