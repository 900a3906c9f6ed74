"""Leader election: the lease that lets one gateway send orders, and its fence.

Owns the term of this process. The store's conditional writes allow one writer of the lease row
at a time; replicas that compare fences refuse the orders of a preceding leader.

When a lease expires, another gateway may acquire it; expiry alone does not end the holder's term.
While the store is unreachable the last holder continues to plan, since no other gateway can
replace it. Whether it also continues to send orders depends on the replicas:

* If they compare fences, it does, since no other gateway would place models; the first order of a
  successor to a replica fences it off there.
* If they do not, it sends orders only while its lease is certainly valid
  (:meth:`Leadership.order_time_left_s`). Without that bound, a leader that had been partitioned
  with its data centre for 5 s sent an order under its old fence 0.4 s after its successor.

A term belongs to one era of the store. After the store was restored from an older copy, the row
may be that of an earlier holder, or missing. The holder then begins a new term with a higher
fence; contenders wait for as long as a renewal that the store lost may still let its holder send
orders.

A term ends when a renewal finds another holder in the row, when a replica or a peer shows a higher
fence, when the holder reaches no replica that other gateways reach, or when the process stops.

Two machines must not order in turn within the platform's limit (*order_gap_s*). So a machine that
ordered, and that another one has followed, leads again only that long after its own last order. A
process knows when it ordered, but not when its machine did before the process started. Where
replicas do not compare fences, it counts its start as an order. Only a row that names the machine
itself shows that no other has followed it.

The standalone system has a lease of its own (:mod:`limeshelf.standalone.lease.keeper`). Its table
has no clock, so contenders watch the row for longer than the lease lasts; some of its upstreams
check no fence, so the holder checks before each order that its lease is still valid.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import ConditionFailed
from limeshelf.feeds.store_clock import StoreClock
from limeshelf.lease.order_record import OrderRecord
from limeshelf.lease.row import LEASE_KEY, LEASE_TABLE, LeaseValue, next_fence
from limeshelf.lease.row_reader import LeaseReader
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from limeshelf.feeds.rows import RowStore
    from limeshelf.lease.row_reader import LeaseView

#: The holder renews once this share of the lease time has passed since the last renewal.
RENEW_SHARE = 0.35
#: If replicas do not compare fences, no order is sent within this time before the lease may
#: expire. It covers the transmission to the replica and clock drift.
ORDER_MARGIN_S = 0.2


@attrs.define
class Term:
    """A period of holding the lease under one fence.

    :ivar fence: fencing token; higher than that of every earlier term of any holder.
    :ivar renewed_s: start of the current lease period on the boot clock; not later than the start
        from which the row's expiry is computed.
    :ivar row_position: position of the row as last written.
    :ivar store_clock_offset_s: store clock minus boot clock, as of the last read of the row. It is
        too high by at most the duration of that read and never too low, so that an expiry computed
        from it is never early.
    """

    fence: int
    renewed_s: float
    row_position: Position
    store_clock_offset_s: float = 0.0

    def renewal_is_due(self, now_s: float, lease_s: float) -> bool:
        """Return whether to renew now.

        :param lease_s: duration of a lease without renewal.
        """
        return now_s - self.renewed_s > RENEW_SHARE * lease_s


class Leadership:
    """Acquires, renews and releases the lease.

    :param holder: name of this instance in the row and in orders.
    :param lease_s: duration of a lease without renewal.
    :param replicas_check_fences: whether replicas refuse an order with a lower fence than
        one they have received.
    :param clock: gives the time when the store was last restored from a copy.
    :param order_gap_s: time after a machine's last order within which it must not order again if
        another one has followed it; 0 for none.
    :ivar orders: the orders of this process; whoever sends one records it there.
    """

    def __init__(
        self,
        store: RowStore,
        holder: str,
        lease_s: float,
        replicas_check_fences: bool = True,
        clock: StoreClock | None = None,
        order_gap_s: float = 0.0,
    ) -> None:
        self.term: Term | None = None
        self.orders = OrderRecord()
        self._order_gap_s = order_gap_s
        self._started_s = boottime_s()
        self._replicas_check_fences = replicas_check_fences
        self._released = False
        self._store = store
        self._holder = holder
        self._lease_s = lease_s
        self._highest_fence = 0
        self._store_unavailable = False
        self._is_waiting = False
        self._reader = LeaseReader(store, holder, lease_s, clock or StoreClock())

    @property
    def fence(self) -> int:
        """Return the fence of the term, or 0 without one."""
        return self.term.fence if self.term else 0

    @property
    def store_is_unavailable(self) -> bool:
        """Return whether the last attempt to use the store failed."""
        return self._store_unavailable

    def order_time_left_s(self) -> float:
        """Return for how much longer orders may be sent, in seconds; 0 if none may.

        Infinite during a term if the replicas themselves refuse the orders of a preceding leader.
        """
        if self.term is None:
            return 0.0
        if self._replicas_check_fences:
            return math.inf
        end_s = self.term.renewed_s + self._lease_s - ORDER_MARGIN_S
        return max(0.0, end_s - boottime_s())

    def observe_fence(self, fence: int) -> None:
        """Record a fence of a peer, or one known to a replica; a higher one ends the term."""
        self._highest_fence = max(self._highest_fence, fence)
        if self.term is not None and fence > self.term.fence:
            self.end_term('superseded')

    def end_term(self, cause: str) -> None:
        """End the term; no order is sent under it any more."""
        if self.term is not None:
            log_change('term_ended', fence=self.term.fence, cause=cause)
            self.term = None

    async def renew_or_acquire(self) -> None:
        """Renew the lease if due, or acquire it if it is free; no effect after :meth:`release`."""
        if self._released:
            return
        try:
            if self.term is None:
                await self._acquire_if_free()
            elif self.term.renewal_is_due(boottime_s(), self._lease_s):
                await self._renew(self.term)
            else:
                return
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The term continues (see the module docstring), and the next call tries again. A write
            # with unknown effect needs no clean-up: its row names this holder, which may acquire
            # the lease again.
            self._log_store_reachability(error_name=type(error).__name__)
            return
        self._log_store_reachability(error_name='')

    def _log_store_reachability(self, error_name: str) -> None:
        """Log when the store becomes unavailable or available again.

        :param error_name: name of the error of this attempt; empty without one.
        """
        if bool(error_name) == self._store_unavailable:
            return
        self._store_unavailable = bool(error_name)
        if error_name:
            log_change('lease_store_lost', fence=self.fence, cause=error_name)
        else:
            log_change('lease_store_reached', fence=self.fence)

    async def _acquire_if_free(self) -> None:
        view = await self._read()
        if view.is_unreadable:
            # The fence of the overwritten row is unknown. Each term needs a write to the store, so
            # without eras no fence is above the row's version; next_fence() covers eras.
            self._highest_fence = max(self._highest_fence, view.position.version)
        if self._reader.may_be_acquired(view) and self._may_follow(view):
            await self._acquire(view)

    def _may_follow(self, view: LeaseView) -> bool:
        """Return whether this machine's last order is too old to count as a turn."""
        wait_s = self._time_to_follow_s(view)
        if (wait_s > 0) != self._is_waiting:
            self._is_waiting = wait_s > 0
            if self._is_waiting:
                log_change('lease_deferred', wait_s=round(wait_s, 2))
        return wait_s <= 0

    def _time_to_follow_s(self, view: LeaseView) -> float:
        """Return the seconds until this machine may lead, if the lease is free; 0 or less: now.

        Without a row no other machine has led, unless the store lost the row.
        """
        if view.names(self._holder) and view.was_acquired_in_this_era:
            return 0.0
        last_s = self.orders.last_s()
        if view.row is not None and not self._replicas_check_fences:
            last_s = max(last_s, self._started_s)
        return last_s + self._order_gap_s - boottime_s()

    async def _read(self) -> LeaseView:
        view = await self._reader.read()
        if view.value is not None:
            self._highest_fence = max(self._highest_fence, view.value.fence)
        return view

    async def _acquire(self, view: LeaseView) -> None:
        """Write the row and begin a term, unless another contender writes first."""
        fence = next_fence(self._highest_fence, view.value, view.page.position)
        written = await self._write(fence, view.position, view.page.now_ms)
        if written is None or written.era != view.era or self._released:
            # Another contender wrote first, the store was restored from a copy meanwhile, or this
            # process is stopping: no term begins, and nothing is logged.
            return
        self.term = Term(fence, view.requested_s, written, view.store_clock_offset_s)
        self._highest_fence = max(self._highest_fence, fence)
        log_change('term_begun', fence=fence, era=written.era, row_version=written.version)

    async def _renew(self, term: Term) -> None:
        """Renew by a conditional write; read the row only if it has changed since the last one."""
        began_s = boottime_s()
        now_ms = int((began_s + term.store_clock_offset_s) * MS_PER_S)
        written = await self._write(term.fence, term.row_position, now_ms)
        if written is None:
            await self._renew_from_row(term)
            return
        if written.era != term.row_position.era:
            # The condition held by chance, and the row may have been that of a later holder.
            self._end_if_current(term, 'store_returned')
            return
        term.renewed_s = began_s
        term.row_position = written

    async def _renew_from_row(self, term: Term) -> None:
        """Read the row after a failed condition, and renew if this process still holds the lease.

        The row may have been changed by a write of this process whose answer was lost.
        """
        view = await self._read()
        if view.era > term.row_position.era:
            await self._reacquire(term, view)
            return
        if view.value is None or view.value.fence != term.fence:
            self._end_if_current(term, 'row_taken')
            return
        if self.term is not term:
            # The term ended during the read; a fence is never reused.
            return
        written = await self._write(term.fence, view.position, view.page.now_ms)
        if written is None:
            self._end_if_current(term, 'condition_failed')
            return
        term.renewed_s = view.requested_s
        term.row_position = written
        term.store_clock_offset_s = view.store_clock_offset_s

    async def _reacquire(self, term: Term, view: LeaseView) -> None:
        """Begin a new term in a later era of the store, which has lost the row of *term*.

        While the lease of *term* lasts, no other process can hold one. After that another may have
        acquired it by a write that is lost as well, so the reader decides; until it allows the
        write, *term* continues as while the store is unreachable.
        """
        if view.was_acquired_in_this_era:
            self._end_if_current(term, 'row_taken')
            return
        is_valid = view.requested_s < term.renewed_s + self._lease_s
        is_free = self._reader.may_be_acquired(view) and self._may_follow(view)
        if self.term is term and (is_valid or is_free):
            await self._acquire(view)

    def _end_if_current(self, term: Term, cause: str) -> None:
        """End *term* if it is still the current one."""
        if self.term is term:
            self.end_term(cause)

    async def _write(self, fence: int, expected: Position, now_ms: int) -> Position | None:
        """Write the row and return its position; ``None`` if the condition failed.

        :param now_ms: start of the lease period on the store's clock.
        """
        value = LeaseValue(self._holder, fence, now_ms + int(self._lease_s * 1000))
        try:
            return await self._store.write(LEASE_TABLE, LEASE_KEY, value.encode(), expected)
        except ConditionFailed:
            return None

    async def release(self) -> None:
        """Release the lease permanently, so that a successor need not wait for it to expire."""
        self._released = True
        await self.hand_over('released')

    async def hand_over(self, cause: str) -> None:
        """End the term, if there is one, and free the lease for others.

        Where replicas do not compare fences, an order must not arrive after one of the successor:
        the lease is freed once all orders are answered, and expires if one was not.

        :param cause: for the log.
        """
        term = self.term
        if term is None:
            return
        self.end_term(cause)
        if not self._replicas_check_fences:
            await self.orders.wait_until_answered()
            if self.orders.unanswered_within(self._lease_s):
                log_change('lease_not_released', fence=term.fence, cause='order_unanswered')
                return
        value = LeaseValue(self._holder, term.fence, 0)
        try:
            await self._store.write(LEASE_TABLE, LEASE_KEY, value.encode(), term.row_position)
        except (ConditionFailed, PlatformUnavailable, PlatformUnknown) as error:
            # This only costs time: a successor can acquire the lease once the row has expired.
            log_change('lease_not_released', fence=term.fence, cause=type(error).__name__)
