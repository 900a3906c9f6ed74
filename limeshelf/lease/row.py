"""The lease row in the platform's store: its format, and when a contender may acquire it.

The lease is free once its expiry has passed on the store's clock, or if the row names the
contender itself, whose answer was lost or which has restarted. Every answer of the store carries
its clock, so a contender need not watch the row for the duration of a lease, and clocks of
different machines are not compared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.util.decoding import DECODE_ERRORS, Count

if TYPE_CHECKING:
    from limeshelf.feeds.position import Position
    from limeshelf.feeds.rows import Page, Row

LEASE_TABLE = 'lease'
LEASE_KEY = 'placement'
#: Upper bound of the store's versions in one era, and so of the fences of one era.
FENCES_PER_ERA = 2**32


class LeaseValue(msgspec.Struct):
    """The value of the lease row.

    :ivar fence: fence of the holder's term.
    :ivar until_ms: expiry on the store's clock; 0 once the lease was released.
    """

    holder: str
    fence: Count
    until_ms: Count

    def encode(self) -> bytes:
        """Return the value as stored in the row."""
        return msgspec.json.encode(self)


_values = msgspec.json.Decoder(LeaseValue)


def find_row(page: Page) -> Row | None:
    """Return the lease row of a page, or ``None``."""
    for row in page.rows:
        if row.key == LEASE_KEY:
            return row
    return None


def read_value(row: Row | None) -> LeaseValue | None:
    """Return the decoded value of a lease row, or ``None`` without a row.

    :raises InvalidDocument: the value is not a lease.
    """
    if row is None:
        return None
    try:
        return _values.decode(row.value)
    except DECODE_ERRORS as error:
        raise InvalidDocument([Problem(LEASE_KEY, str(error))]) from None


def is_free(value: LeaseValue | None, now_ms: int, contender: str) -> bool:
    """Return whether *contender* may acquire the lease.

    :param now_ms: current time on the store's clock.
    """
    return value is None or value.until_ms <= now_ms or value.holder == contender


def next_fence(highest_known: int, value: LeaseValue | None, position: Position) -> int:
    """Return the fence of a new term: above that of the row, and above any known otherwise.

    If the store has eras, it is also above all fences of earlier eras, and above those of rows
    that a late write from an earlier era has replaced: these were written at earlier positions.

    :param position: position of the store when the row was read.
    """
    lowest = position.era * FENCES_PER_ERA + position.version if position.era else 0
    return max(highest_known, value.fence if value else 0, lowest) + 1


def was_acquired_in(era: int, value: LeaseValue | None) -> bool:
    """Return whether the term of a row began in the given era of the store."""
    return value is not None and value.fence // FENCES_PER_ERA == era
