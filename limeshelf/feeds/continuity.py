"""Decides whether an update from a peer extends the copy of a table without a gap.

An update contains the changes from one store position to another. Updates may be lost, delayed,
or sent by a peer whose copy is older. Only an update that leaves no gap confirms that the copy
is complete up to the update's end. :class:`limeshelf.feeds.table_copy.TableCopy` applies the
decisions.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.feeds.position import Position


class Continuity(enum.Enum):
    """How an update relates to the copy.

    ``CONTINUES``: it leaves no gap, and it ends at the position of the copy or later.
    ``BEHIND``: it ends before the position of the copy, and confirms nothing.
    ``GAP``: changes between the copy and the update are missing and must be requested.
    """

    CONTINUES = 'continues'
    BEHIND = 'behind'
    GAP = 'gap'


def continuity_of(after: Position, upto: Position, known: Position) -> Continuity:
    """Return how an update with the changes between two positions relates to a copy.

    :param after: position at which the update begins.
    :param upto: position at which it ends.
    :param known: position up to which the copy is complete.
    """
    if after > known:
        # Having a newer row does not mean that no earlier one is missing
        # (tests/membership/test_row_exchange.py::test_lost_update_is_asked_for).
        return Continuity.GAP
    return Continuity.CONTINUES if upto >= known else Continuity.BEHIND
