"""Logs when this gateway's table copies become stale or fresh, and when it polls the store.

Owns the last logged state. :class:`~limeshelf.feeds.table_copy.TableCopy` determines whether a
copy is stale.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.feeds.table_copy import TableCopy


@attrs.define
class StalenessLog:
    """Logs a line for each change: at most one per table and check, and one for polling."""

    _stale_tables: set[str] = attrs.field(factory=set)
    _was_polling: bool = False

    def check(self, copies: Iterable[TableCopy], order: int, *, is_polling: bool) -> None:
        """Log what has changed since the last check.

        :param order: position of this gateway in the polling order.
        :param is_polling: whether this gateway polls the store now.
        """
        if is_polling != self._was_polling:
            self._was_polling = is_polling
            log_change('store_polling', begins=is_polling, order=order)
        for copy in copies:
            self._check_copy(copy)

    def _check_copy(self, copy: TableCopy) -> None:
        is_stale = copy.is_stale
        if not copy.confirmed_s or is_stale == (copy.table in self._stale_tables):
            return
        event = 'table_stale' if is_stale else 'table_fresh'
        change = self._stale_tables.add if is_stale else self._stale_tables.discard
        change(copy.table)
        log_change(
            event,
            table=copy.table,
            era=copy.position.era,
            version=copy.position.version,
            confirmed_by=copy.confirmed_by,
            age_ms=int(copy.age_s * MS_PER_S),
        )
