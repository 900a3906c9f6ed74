"""The lease row in the platform's store: what it says, and when it may be taken.

Owns the form of the row. It is free once its end has passed on the store's clock, which
each answer of the store has, or if it names the contender itself: a holder whose answer
was lost, or that starts again. Nobody needs to watch a row through a lease's life, and
clocks of machines are not compared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.util.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from limeshelf.feeds.position import Position
    from limeshelf.feeds.rows import Page, Row

LEASE_TABLE = 'lease'
LEASE_KEY = 'placement'
#: Versions of one era of the store, and so fences of one, are fewer.
FENCES_AN_ERA = 2**32


class LeaseValue(msgspec.Struct):
    """The value of the lease row.

    :ivar fence: rises with each holder.
    :ivar until_ms: on the store's own clock; 0 once the lease was given back.
    """

    holder: str
    fence: int
    until_ms: int

    def encode(self) -> bytes:
        """Return the row's value as the store keeps it."""
        return msgspec.json.encode(self)


_values = msgspec.json.Decoder(LeaseValue)


def find_row(page: Page) -> Row | None:
    """Return the lease row of a page, if there is one."""
    for row in page.rows:
        if row.key == LEASE_KEY:
            return row
    return None


def read_value(row: Row | None) -> LeaseValue | None:
    """Return what a lease row says, or ``None`` without a row.

    :raises InvalidDocument: the value is not that of a lease.
    """
    if row is None:
        return None
    try:
        return _values.decode(row.value)
    except DECODE_ERRORS as error:
        raise InvalidDocument([Problem(LEASE_KEY, str(error))]) from None


def is_free(value: LeaseValue | None, now_ms: int, contender: str) -> bool:
    """Return whether *contender* may take the lease.

    :param now_ms: on the store's clock.
    """
    return value is None or value.until_ms <= now_ms or value.holder == contender


def next_fence(highest_seen: int, value: LeaseValue | None, position: Position) -> int:
    """Return the fence of a new term: above the row's, and above any seen elsewhere.

    Where the store states an era, also above all fences of earlier ones, and above those of rows
    that a late write of an earlier one has replaced: each was taken at an earlier position.

    :param position: of the store when the row was read.
    """
    lowest = position.era * FENCES_AN_ERA + position.version if position.era else 0
    return max(highest_seen, value.fence if value else 0, lowest) + 1


def was_taken_in(era: int, value: LeaseValue | None) -> bool:
    """Return whether the term of a row began in an era of the store."""
    return value is not None and value.fence // FENCES_AN_ERA == era
