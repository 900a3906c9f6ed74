"""Decides whether other gateways are sent rows, or only told that there are some.

Rows that are large for the machine's link are announced: the update states the position of the
copy and omits the rows before it, and its receivers read them from the store. So an update to many
gateways is small, and others wait for at most one large answer to a query.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.row_conversion import (
    announcement_from_copy,
    row_bytes,
    update_from_copy,
)
from limeshelf.peers.link_budget import LinkBudget

if TYPE_CHECKING:
    from limeshelf.feeds.position import Position
    from limeshelf.feeds.table_copy import TableCopy
    from limeshelf.membership.row_messages import TableUpdate

#: Rows of a table that are larger are sent in answer to a query only where the link has room.
SMALL_ANSWER_BYTES = 1 << 14


@attrs.define
class UpdateSizes:
    """Makes updates of a size that the link has room for.

    :param budget: what messages to other gateways may take of the machine's link.
    """

    budget: LinkBudget = attrs.field(factory=LinkBudget)

    def for_receivers(self, receivers: int, copy: TableCopy, after: Position) -> TableUpdate:
        """Return the changes of a copy after a position, or their announcement.

        :param receivers: number of gateways to which the update is sent.
        """
        update = update_from_copy(copy, after)
        size_bytes = row_bytes(update) * receivers
        if not size_bytes or self.budget.allows_broadcast(size_bytes):
            return update
        return announcement_from_copy(copy)

    def for_query(self, copy: TableCopy, after: Position) -> TableUpdate:
        """Return the changes of a copy that one gateway queried, or their announcement."""
        update = update_from_copy(copy, after)
        if row_bytes(update) <= SMALL_ANSWER_BYTES or self.budget.has_room():
            return update
        return announcement_from_copy(copy)
