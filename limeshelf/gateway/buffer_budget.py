"""Bounds the memory that the requests and answers of all connections take together.

Limits on each request do not bound their sum: many connections can each hold a request that is
just within the limits. When the sum exceeds the budget, a request or answer that is still being
transferred is given up: one that makes no progress if there is one, otherwise the one that began
last, so that earlier ones are completed. Small ones go on as long as there are others.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs

from limeshelf.metrics.event_log import log_request
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

#: Share of the budget that requests which have arrived whole may take. The rest is left to those
#: that arrive meanwhile.
WHOLE_REQUESTS_SHARE = 0.75
#: Up to this size a request is small.
SMALL_REQUEST_BYTES = 1 << 16
#: A transfer without any data for this long makes no progress.
STALLED_AFTER_S = 1.0


@attrs.define(eq=False)
class BufferShare:
    """What one connection holds of the budget.

    :ivar held_bytes: memory that it holds, in bytes.
    :ivar began_s: when its request began, on the boot clock.
    :ivar progress_s: when it last held more.
    """

    _budget: BufferBudget
    held_bytes: int = 0
    began_s: float = 0.0
    progress_s: float = 0.0
    _give_up: Callable[[], None] | None = None
    _is_whole: bool = False

    def add(self, size_bytes: int) -> None:
        """Record that the connection holds more; transfers are given up if need be."""
        self.progress_s = boottime_s()
        if not self.held_bytes:
            self.began_s = self.progress_s
        self.held_bytes += size_bytes
        self._budget.record_change(size_bytes)

    def release(self, size_bytes: int) -> None:
        """Record that the connection holds less."""
        size_bytes = min(size_bytes, self.held_bytes)
        self.held_bytes -= size_bytes
        self._budget.record_change(-size_bytes)

    def clear(self) -> None:
        """Record that the connection holds nothing, and waits for the next request."""
        self.release(self.held_bytes)
        self._give_up = None
        self._is_whole = False

    def close(self) -> None:
        """End the share with its connection."""
        self.clear()
        self._budget.remove(self)

    def set_give_up(self, give_up: Callable[[], None] | None) -> None:
        """Set how the transfer in progress is given up; ``None`` if there is none."""
        self._give_up = give_up

    @contextlib.contextmanager
    def transfer(self, give_up: Callable[[], None]) -> Iterator[None]:
        """Mark a transfer that may be given up until the block ends."""
        self._give_up = give_up
        try:
            yield
        finally:
            self._give_up = None

    def record_whole(self) -> bool:
        """Record that the request has arrived whole; return whether there is room to serve it."""
        has_room = self.held_bytes <= SMALL_REQUEST_BYTES or self._budget.has_room_for_whole(self)
        self._is_whole = has_room
        return has_room

    @property
    def is_whole(self) -> bool:
        """Return whether its request has arrived whole."""
        return self._is_whole

    @property
    def may_give_up(self) -> bool:
        """Return whether it holds a transfer that can be given up."""
        return self._give_up is not None and self.held_bytes > 0

    def give_up(self) -> None:
        """Give up the transfer in progress."""
        give_up, held_bytes = self._give_up, self.held_bytes
        self.clear()
        if give_up is not None:
            log_request('transfer_given_up', held_bytes=held_bytes)
            give_up()


class BufferBudget:
    """The memory for the requests and answers of all connections.

    :param limit_bytes: that memory, in bytes.
    :ivar held_bytes: what the connections hold now.
    :ivar given_up: number of transfers that were given up.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.given_up = 0
        self._shares: set[BufferShare] = set()

    def open_share(self) -> BufferShare:
        """Return the share of a new connection."""
        share = BufferShare(self)
        self._shares.add(share)
        return share

    def remove(self, share: BufferShare) -> None:
        """Remove the share of a connection that has ended."""
        self._shares.discard(share)

    def record_change(self, size_bytes: int) -> None:
        """Add to what is held; give up transfers while it exceeds the limit."""
        self.held_bytes += size_bytes
        while size_bytes > 0 and self.held_bytes > self.limit_bytes:
            transfers = [share for share in self._shares if share.may_give_up]
            if not transfers:
                return
            self.given_up += 1
            _choose_victim(transfers, boottime_s()).give_up()

    def has_room_for_whole(self, share: BufferShare) -> bool:
        """Return whether one more request may be kept whole."""
        whole_bytes = sum(one.held_bytes for one in self._shares if one.is_whole)
        return whole_bytes + share.held_bytes <= WHOLE_REQUESTS_SHARE * self.limit_bytes


def _choose_victim(transfers: list[BufferShare], now_s: float) -> BufferShare:
    """Return the transfer to give up.

    :param now_s: the current time on the boot clock.
    """
    large = [share for share in transfers if share.held_bytes > SMALL_REQUEST_BYTES]
    stalled = [share for share in large if now_s - share.progress_s >= STALLED_AFTER_S]
    if stalled:
        return min(stalled, key=lambda share: share.progress_s)
    return max(large or transfers, key=lambda share: share.began_s)
