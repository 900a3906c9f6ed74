"""The lease under which one gateway gives orders, and its fence."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import ConditionFailed
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.feeds.rows import Page, Row, RowTable

LEASE_TABLE = 'lease'
LEASE_KEY = 'placement'
#: A holder renews when this share of the lease has passed; chosen, not measured
#: (commit a904fff).
RENEW_SHARE = 0.35


class LeaseValue(msgspec.Struct):
    """The lease row.

    :ivar fence: rises with each holder.
    :ivar until_ms: on the store's own clock.
    """

    holder: str
    fence: int
    until_ms: int


_values = msgspec.json.Decoder(LeaseValue)


@attrs.define
class Term:
    """One holding of the lease.

    :ivar renewed_s: when the row was last written, on this machine's steady
        clock; a moment before the write was sent.
    :ivar row_version: the store's version of that write.
    """

    fence: int
    renewed_s: float
    row_version: int


class Leadership:
    """Competes for the lease row; holds, renews and gives back.

    :param holder: names this process's machine in the row and in orders.
    :param lease_s: life of a lease without renewal.
    """

    def __init__(self, store: RowTable, holder: str, lease_s: float) -> None:
        self.term: Term | None = None
        self._store = store
        self._holder = holder
        self._lease_s = lease_s
        self._highest_fence = 0

    @property
    def fence(self) -> int:
        """Return the fence of the term, or 0 without one."""
        return self.term.fence if self.term else 0

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
        """Renew the lease, or take it if it is free."""
        try:
            if self.term is None:
                await self._contend()
            elif self._renewal_due(self.term):
                await self._renew(self.term)
        except (PlatformUnavailable, PlatformUnknown):
            return

    def _renewal_due(self, term: Term) -> bool:
        return boottime_s() - term.renewed_s > RENEW_SHARE * self._lease_s

    async def _contend(self) -> None:
        page = await self._store.read(LEASE_TABLE)
        row = _lease_row(page)
        value = _values.decode(row.value) if row is not None else None
        if value is not None and value.until_ms > page.now_ms and value.holder != self._holder:
            return
        fence = max(self._highest_fence, value.fence if value else 0) + 1
        await self._write(fence, row.version if row else 0, page.now_ms)

    async def _renew(self, term: Term) -> None:
        page = await self._store.read(LEASE_TABLE)
        row = _lease_row(page)
        value = _values.decode(row.value) if row is not None else None
        if row is None or value is None or value.fence != term.fence:
            self.end('row_taken')
            return
        await self._write(term.fence, row.version, page.now_ms)

    async def _write(self, fence: int, expected: int, now_ms: int) -> None:
        """Write the row; the store's clock stood at *now_ms* or later before."""
        sent_s = boottime_s()
        value = LeaseValue(self._holder, fence, now_ms + int(self._lease_s * 1000))
        try:
            version = await self._store.write(
                LEASE_TABLE, LEASE_KEY, msgspec.json.encode(value), expected
            )
        except ConditionFailed:
            if self.term is not None:
                self.end('condition_failed')
            return
        if self.term is None:
            self.term = Term(fence, sent_s, version)
            self._highest_fence = max(self._highest_fence, fence)
            log_change('term_begun', fence=fence, row_version=version)
        else:
            self.term.renewed_s = sent_s
            self.term.row_version = version

    async def release(self) -> None:
        """Give the lease back, so that a successor need not wait."""
        term = self.term
        if term is None:
            return
        self.end('released')
        value = LeaseValue(self._holder, term.fence, 0)
        try:
            await self._store.write(
                LEASE_TABLE, LEASE_KEY, msgspec.json.encode(value), term.row_version
            )
        except (ConditionFailed, PlatformUnavailable, PlatformUnknown):
            return


def _lease_row(page: Page) -> Row | None:
    for row in page.rows:
        if row.key == LEASE_KEY:
            return row
    return None
