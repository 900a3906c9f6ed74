"""Decides whether an update from a peer extends the copy of a table without a gap.

An update contains the changes from one store position to another. Updates may be lost, delayed,
or sent by a peer whose copy is older. Only an update that leaves no gap confirms that the copy
is complete up to the update's end. :class:`limeshelf.feeds.table_copy.TableCopy` applies the
decisions.

A peer's copy may have skipped positions: those before its first read of the table, and those for
which the store no longer had the changes. A row that was written and deleted at skipped positions
is not among its rows, although a copy whose position lies there may have it.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.feeds.position import BEGINNING

if TYPE_CHECKING:
    from limeshelf.feeds.position import Position


@attrs.frozen
class UpdateRange:
    """The positions of the store that an update covers.

    :param after: position at which it begins, exclusive.
    :param upto: position at which it ends, inclusive.
    :param seen_from: position from which on the sender has skipped none.
    """

    after: Position
    upto: Position
    seen_from: Position

    @property
    def is_whole(self) -> bool:
        """Return whether the update contains all rows that exist in the era of its end."""
        return self.after == BEGINNING or self.after.era < self.upto.era

    def is_complete_for(self, known: Position) -> bool:
        """Return whether the update contains all changes after a position, deletions included.

        At its own beginning the sender had the same rows as any copy that was complete there.
        """
        return self.is_whole or known == self.after or known >= self.seen_from


class Continuity(enum.Enum):
    """How an update relates to the copy.

    ``CONTINUES``: it leaves no gap, and it ends at the position of the copy or later.
    ``BEHIND``: it ends before the position of the copy, and confirms nothing.
    ``GAP``: changes between the copy and the update are missing and must be requested.
    """

    CONTINUES = 'continues'
    BEHIND = 'behind'
    GAP = 'gap'


def continuity_of(update: UpdateRange, known: Position) -> Continuity:
    """Return how an update relates to a copy.

    :param known: position up to which the copy is complete.
    """
    if update.after > known:
        # Having a newer row does not mean that no earlier one is missing
        # (tests/membership/test_row_exchange.py::test_lost_update_is_asked_for).
        return Continuity.GAP
    if update.upto < known:
        return Continuity.BEHIND
    return Continuity.CONTINUES if update.is_complete_for(known) else Continuity.GAP
