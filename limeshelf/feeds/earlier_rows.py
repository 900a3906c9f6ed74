"""Which rows of a copy come from an earlier era of the store, and how long they are kept.

:class:`~limeshelf.feeds.table_copy.TableCopy` owns the rows, and
:mod:`limeshelf.feeds.restore_rule` decides which of two rows is valid.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.feeds.rows import Row


@attrs.define
class EarlierRows:
    """The rows of one copy that the store had in an earlier era.

    :param retention_s: how long they are kept after an era has begun, in seconds.
    :ivar outdated_keys: keys that exist in the current era, but with an older row than the one
        that is kept from an earlier era.
    """

    retention_s: float
    outdated_keys: set[str] = attrs.field(factory=set)
    _era_began_s: float = 0.0
    _may_exist: bool = False

    @property
    def is_retention_over(self) -> bool:
        """Return whether rows of earlier eras are not kept any more."""
        return boottime_s() - self._era_began_s > self.retention_s

    def begin_era(self) -> None:
        """Record that a later era of the store has begun."""
        self._era_began_s = boottime_s()
        self._may_exist = True

    def record_stored(self, row: Row, known: Row | None, era: int) -> None:
        """Record whether a row that is stored is of the current era.

        :param known: the row that it replaces; ``None`` if there was none.
        :param era: the current one.
        """
        if row.position.era >= era:
            self.outdated_keys.discard(row.key)
            return
        self._may_exist = True
        if known is not None and not known.gone and known.position.era == era:
            self.outdated_keys.add(row.key)

    def are_due_to_be_dropped(self) -> bool:
        """Return whether rows may have to be dropped now; they are looked for once."""
        if not self._may_exist or not self.is_retention_over:
            return False
        self._may_exist = bool(self.outdated_keys)
        return True
