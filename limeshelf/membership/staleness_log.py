"""Logs when this gateway's copies of tables grow too old, and when it asks the store itself.

Owns what was logged last. Relies on :class:`~limeshelf.feeds.table_copy.TableCopy` for how old
a copy is, and on :mod:`limeshelf.membership.store_polling` for who asks the store.
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
    """Writes a line at each change, so at most one a table and check."""

    _stale_tables: set[str] = attrs.field(factory=set)
    _was_polling: bool = False

    def check(self, copies: Iterable[TableCopy], order: int, *, is_polling: bool) -> None:
        """Log what has changed since the last check.

        :param order: place of this gateway in the order in which gateways ask the store.
        :param is_due: whether this gateway asks the store itself now.
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
