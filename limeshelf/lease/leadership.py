"""Who leads: the lease under which one gateway gives orders, and its fence.

Owns the term of this process. Relies on the store for one writer of the row at a time,
and, where replicas compare fences, on them for shutting out a predecessor.

The end of a lease lets others take it; it does not end the term of its holder. While the
store is away the last holder goes on planning: nobody else could take its place. Whether it
also goes on ordering depends on the replicas:

* where they compare fences it does, since nobody else would place models, and the first
  order of a successor at a replica shuts it out there;
* where they do not, it orders only while the lease surely is its own
  (:meth:`Leadership.order_time_left_s`). Without that bound a leader that had been cut off
  with its data centre for 5 s ordered under its old fence 0.4 s after its successor.

A term is of one era of the store. When the store comes back from an older copy, the row may be
that of an earlier holder, or none: the holder begins another term there, under a higher fence, and
the others wait for as long as the last renewal that they do not see may let its holder order.

A term ends when a renewal finds the row in other hands, when a replica or a peer shows a
higher fence, or at a stop.

The lease of our own wire (:mod:`limeshelf.standalone.lease.keeper`) stays apart from
this one. Its table states no clock, so contenders watch the row for longer than a
lease's life, and some of its upstreams check no fence, so the holder judges before it
orders whether the lease still is valid.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import ConditionFailed
from limeshelf.feeds.store_clock import StoreClock
from limeshelf.lease.row import LEASE_KEY, LEASE_TABLE, LeaseValue, next_fence
from limeshelf.lease.row_reader import LeaseReader
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from limeshelf.feeds.rows import RowStore
    from limeshelf.lease.row_reader import LeaseView

#: A holder renews when this share of the lease has passed since the last renewal.
RENEW_SHARE = 0.35
#: Where replicas do not compare fences, no order leaves this shortly before the lease may be
#: over: time for its way to the replica, and for clocks that run at unlike speeds.
ORDER_MARGIN_S = 0.2


@attrs.define
class Term:
    """One holding of the lease.

    :ivar fence: rises with each term, whoever holds it.
    :ivar renewed_s: from when the lease lasts, on the boot clock: a moment before the
        store told the time from which the row's end was counted.
    :ivar row_position: of that write.
    :ivar store_ahead_s: by how much the store's clock is ahead of the boot clock, as of the
        last read of the row. Too much by the time of that read, never too little, so no
        row's end that is counted by it is early.
    """

    fence: int
    renewed_s: float
    row_position: Position
    store_ahead_s: float = 0.0

    def renewal_is_due(self, now_s: float, lease_s: float) -> bool:
        """Return whether to renew now.

        :param lease_s: life of a lease without renewal.
        """
        return now_s - self.renewed_s > RENEW_SHARE * lease_s


class Leadership:
    """Competes for the lease row; holds, renews and gives back.

    :param holder: names this process's machine in the row and in orders.
    :param lease_s: life of a lease without renewal.
    :param replicas_check_fences: whether replicas refuse an order with a lower fence than
        one they have seen.
    :param clock: knows when the store last came back from a copy.
    """

    def __init__(
        self,
        store: RowStore,
        holder: str,
        lease_s: float,
        replicas_check_fences: bool = True,
        clock: StoreClock | None = None,
    ) -> None:
        self.term: Term | None = None
        self._replicas_check_fences = replicas_check_fences
        self._released = False
        self._store = store
        self._holder = holder
        self._lease_s = lease_s
        self._highest_fence = 0
        self._store_lost = False
        self._reader = LeaseReader(store, holder, lease_s, clock or StoreClock())

    @property
    def fence(self) -> int:
        """Return the fence of the term, or 0 without one."""
        return self.term.fence if self.term else 0

    @property
    def store_is_lost(self) -> bool:
        """Return whether the store failed the last step."""
        return self._store_lost

    def order_time_left_s(self) -> float:
        """Return for how much longer orders may leave, in seconds; 0 if none may.

        Infinite under a term where the replicas themselves refuse a predecessor's orders.
        """
        if self.term is None:
            return 0.0
        if self._replicas_check_fences:
            return math.inf
        end_s = self.term.renewed_s + self._lease_s - ORDER_MARGIN_S
        return max(0.0, end_s - boottime_s())

    def note_fence(self, fence: int) -> None:
        """Note a fence that somebody else uses or a replica has seen."""
        self._highest_fence = max(self._highest_fence, fence)
        if self.term is not None and fence > self.term.fence:
            self.end('superseded')

    def end(self, cause: str) -> None:
        """End the term; no order goes out under it any more."""
        if self.term is not None:
            log_change('term_ended', fence=self.term.fence, cause=cause)
            self.term = None

    async def step(self) -> None:
        """Renew the lease, or take it if it is free; nothing once it was given back."""
        if self._released:
            return
        try:
            if self.term is None:
                await self._contend()
            elif self.term.renewal_is_due(boottime_s(), self._lease_s):
                await self._renew(self.term)
            else:
                return
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The term goes on (see above), and the next step asks again. A write whose
            # effect is unknown needs no more: its row names this holder, who may take it.
            self._note_store(lost_by=type(error).__name__)
            return
        self._note_store(lost_by='')

    def _note_store(self, lost_by: str) -> None:
        """Log when a step is the first that the store failed, or the first that it did not."""
        if bool(lost_by) == self._store_lost:
            return
        self._store_lost = bool(lost_by)
        if lost_by:
            log_change('lease_store_lost', fence=self.fence, cause=lost_by)
        else:
            log_change('lease_store_reached', fence=self.fence)

    async def _contend(self) -> None:
        view = await self._read()
        if view.is_unreadable:
            # The fence of the row before is not known; each rose with a write to the store.
            self._highest_fence = max(self._highest_fence, view.position.version)
        if self._reader.may_be_taken(view):
            await self._take(view)

    async def _read(self) -> LeaseView:
        view = await self._reader.read()
        if view.value is not None:
            self._highest_fence = max(self._highest_fence, view.value.fence)
        return view

    async def _take(self, view: LeaseView) -> None:
        """Begin a term, if nobody else writes the row first."""
        fence = next_fence(self._highest_fence, view.value, view.page.position)
        written = await self._write(fence, view.position, view.page.now_ms)
        if written is None or written.era != view.era or self._released:
            # Another contender wrote first, the store came back from a copy meanwhile, or this
            # process stops: no term, so no event.
            return
        self.term = Term(fence, view.asked_s, written, view.store_ahead_s)
        self._highest_fence = max(self._highest_fence, fence)
        log_change('term_begun', fence=fence, era=written.era, row_version=written.version)

    async def _renew(self, term: Term) -> None:
        """Write the row anew; it is read before only if it is not as this process left it."""
        began_s = boottime_s()
        now_ms = int((began_s + term.store_ahead_s) * MS_PER_S)
        written = await self._write(term.fence, term.row_position, now_ms)
        if written is None:
            await self._renew_from_row(term)
            return
        if written.era != term.row_position.era:
            # Its condition held by chance, perhaps for the row of a later holder.
            self._end_term(term, 'store_returned')
            return
        term.renewed_s = began_s
        term.row_position = written

    async def _renew_from_row(self, term: Term) -> None:
        """Renew a row that changed since the last answer that came.

        The change may be a write of this process whose answer was lost.
        """
        view = await self._read()
        if view.era > term.row_position.era:
            await self._take_again(term, view)
            return
        if view.value is None or view.value.fence != term.fence:
            self._end_term(term, 'row_taken')
            return
        if self.term is not term:
            # It ended while the store was asked; a fence is never taken up again.
            return
        written = await self._write(term.fence, view.position, view.page.now_ms)
        if written is None:
            self._end_term(term, 'condition_failed')
            return
        term.renewed_s = view.asked_s
        term.row_position = written
        term.store_ahead_s = view.store_ahead_s

    async def _take_again(self, term: Term, view: LeaseView) -> None:
        """Begin another term in a later era of the store, in which the row of *term* is lost.

        While its lease lasts nobody else can hold one. Later than that somebody may have, as of
        a write that is lost as well; *term* goes on meanwhile as while the store is away.
        """
        if view.was_taken_in_this_era:
            self._end_term(term, 'row_taken')
            return
        lasts = view.asked_s < term.renewed_s + self._lease_s
        if self.term is term and (lasts or self._reader.may_be_taken(view)):
            await self._take(view)

    def _end_term(self, term: Term, cause: str) -> None:
        """End *term*, unless it has ended already and another one has begun."""
        if self.term is term:
            self.end(cause)

    async def _write(self, fence: int, expected: Position, now_ms: int) -> Position | None:
        """Write the row and return its position, ``None`` if another writer was first.

        :param now_ms: time on the store's clock from which the lease's life counts.
        """
        value = LeaseValue(self._holder, fence, now_ms + int(self._lease_s * 1000))
        try:
            return await self._store.write(LEASE_TABLE, LEASE_KEY, value.encode(), expected)
        except ConditionFailed:
            return None

    async def release(self) -> None:
        """Give the lease back, so that a successor need not wait; it is not taken again."""
        self._released = True
        term = self.term
        if term is None:
            return
        self.end('released')
        value = LeaseValue(self._holder, term.fence, 0)
        try:
            await self._store.write(LEASE_TABLE, LEASE_KEY, value.encode(), term.row_position)
        except (ConditionFailed, PlatformUnavailable, PlatformUnknown) as error:
            # Nothing is lost but time: the row's end lets a successor in.
            log_change('lease_not_released', fence=term.fence, cause=type(error).__name__)
