"""The copy of one table of the store, in which rows are only replaced by newer ones.

Owns the rows, the position up to which they are complete, and when the store last confirmed
that. :class:`~limeshelf.feeds.follower.TableFollower` applies the store's answers, and
:class:`~limeshelf.membership.row_exchange.RowExchange` applies the updates of peers.
:mod:`limeshelf.feeds.restore_rule` decides which rows are valid in a later era of the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.feeds.continuity import Continuity, UpdateRange, continuity_of
from limeshelf.feeds.earlier_rows import EarlierRows
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.restore_rule import RestoreRule
from limeshelf.feeds.rows import Row
from limeshelf.feeds.skipped_positions import SkippedPositions
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import Page

#: Source of rows or of a confirmation that came from the store; for peers it is their address.
STORE = 'store'


def _never_heartbeat(known: bytes, new: bytes) -> bool:
    """Default for tables whose rows are written only when something changes."""
    return False


class TableCopy:
    """The newest known rows of one table.

    Pages and updates may be older than the known rows (a stale answer of the store, a delayed
    message). Within an era, the positions of rows decide which one is newer; this also holds for
    deleted rows, which are kept for this purpose.

    :param listener: called with each row that replaces an older one or is new.
    :param restore_rule: which rows of an earlier era of the store are valid in a later one.
    :param is_heartbeat: returns whether a row's new value differs from the known one only in its
        writer's sign of life, which other gateways do not need.
    :ivar position: position of the store up to which the rows are complete.
    :ivar confirmed_s: when the store last confirmed to any gateway that the rows are complete, on
        the clock of :func:`~limeshelf.util.clock.boottime_s`; 0 if never.
    :ivar confirmed_ms: the latest such time on the store's own clock; 0 if never, or unknown.
    :ivar peer_confirmed_s: as ``confirmed_s``, but only for confirmations that peers sent.
        Initially the time of the start, so that peers have as long as usual to send an update:
        otherwise hundreds of processes that start together would all poll the store until the
        first of them has found the others.
    :ivar source: source of the rows that were applied last, :data:`STORE` or a peer's address.
    :ivar confirmed_by: source of the confirmation of ``confirmed_s``, as in ``source``.
    :ivar needs_full_read: whether changes may be missing that the store no longer has, so that
        the whole table must be read to find which rows exist.
    :ivar announced: highest position up to which a peer has the rows but did not send them. The
        store is asked for them until the copy has reached it.
    :ivar skipped: positions for which it cannot tell which rows were deleted since.
    :ivar restore_listeners: called with the copy after rows of a later era have been applied.
    """

    def __init__(
        self,
        table: str,
        listener: Callable[[Row], None],
        follow_rule: FollowRule | None = None,
        restore_rule: RestoreRule | None = None,
        is_heartbeat: Callable[[bytes, bytes], bool] = _never_heartbeat,
    ) -> None:
        self.table = table
        self.follow_rule = follow_rule or FollowRule()
        self.position = BEGINNING
        self.confirmed_s = 0.0
        self.confirmed_ms = 0
        self.peer_confirmed_s = boottime_s()
        self.source = ''
        self.confirmed_by = ''
        self.needs_full_read = True
        self.announced = BEGINNING
        self.skipped = SkippedPositions()
        self.restore_listeners: list[Callable[[TableCopy], None]] = []
        self._rows: dict[str, Row] = {}
        # By key, the position of the last change that was no heartbeat.
        self._changed: dict[str, Position] = {}
        self._is_heartbeat = is_heartbeat
        self._listener = listener
        self._restore_rule = restore_rule or RestoreRule()
        self._earlier_rows = EarlierRows(self._restore_rule.retention_s)

    @property
    def age_s(self) -> float:
        """Return the time since the store last confirmed that the rows are complete."""
        return boottime_s() - self.confirmed_s

    @property
    def is_stale(self) -> bool:
        """Return whether the last confirmation is older than the table's rule allows."""
        return self.age_s > self.follow_rule.stale_after_s

    @property
    def lacks_announced_rows(self) -> bool:
        """Return whether a peer has announced rows that the copy does not have yet."""
        return self.announced > self.position

    @property
    def peers_overdue_s(self) -> float:
        """Return for how long sufficiently new updates from peers have been overdue, in seconds.

        Negative while they are not overdue.
        """
        return boottime_s() - self.peer_confirmed_s - self.follow_rule.stale_after_s

    def rows(self) -> list[Row]:
        """Return the rows that exist."""
        return [row for row in self._rows.values() if not row.gone]

    def rows_after(self, position: Position) -> list[Row]:
        """Return the rows that changed after a position, including deleted ones.

        A heartbeat is no change. A gateway that receives none keeps an earlier version of the row.
        """
        return [row for key, row in self._rows.items() if self._changed[key] > position]

    def is_in_current_era(self, key: str) -> bool:
        """Return whether a row exists in the known era of the store, even if it is outdated."""
        row = self._rows.get(key)
        return key in self._earlier_rows.outdated_keys or (
            row is not None and not row.gone and row.position.era == self.position.era
        )

    def current_era_value(self, key: str) -> bytes | None:
        """Return a row's value in the known era; ``None`` if it is missing or outdated there."""
        row = self._rows.get(key)
        if row is None or row.gone or row.position.era != self.position.era:
            return None
        return row.value

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Apply each row that is newer than the known one."""
        for row in rows:
            known = self._rows.get(row.key)
            if known is None:
                if self._was_dropped(row):
                    continue
            elif not self._replaces(row, known):
                if row.position.era == self.position.era > known.position.era and not row.gone:
                    self._earlier_rows.outdated_keys.add(row.key)
                continue
            self._store_row(row, known)

    def _was_dropped(self, row: Row) -> bool:
        """Return whether a row that the copy does not have does not exist any more."""
        if row.position.era == self.position.era:
            # The copy is complete up to its position, so the row was deleted before that.
            return row.position <= self.position
        return row.position.era < self.position.era and self._earlier_rows.is_retention_over

    def _replaces(self, row: Row, known: Row) -> bool:
        if row.position.era == known.position.era:
            return row.position > known.position
        return self._restore_rule.replaces(row, known)

    def _store_row(self, row: Row, known: Row | None) -> None:
        if row.gone and known is not None and not row.value:
            row = attrs.evolve(row, value=known.value)
        if not self._is_repetition(row, known):
            self._changed[row.key] = row.position
        self._rows[row.key] = row
        self._earlier_rows.record_stored(row, known, self.position.era)
        self._listener(row)

    def _is_repetition(self, row: Row, known: Row | None) -> bool:
        """Return whether a row that replaces the known one is a heartbeat."""
        return (
            known is not None
            and not row.gone
            and not known.gone
            and row.position.era == known.position.era
            and self._is_heartbeat(known.value, row.value)
        )

    def update_range(self, after: Position) -> UpdateRange:
        """Return the range of an update with the changes after a position.

        It begins earlier, with all rows, where the copy cannot tell all changes after *after*.
        """
        start = BEGINNING if self.skipped.contains(after) else after
        return UpdateRange(start, self.position, self.skipped.seen_from())

    def apply_update(
        self,
        rows: Iterable[Row],
        update: UpdateRange,
        age_s: float,
        confirmed_ms: int = 0,
        peer: str = '',
    ) -> Continuity:
        """Apply a peer's update, which contains the changes between two positions of the store.

        :param update: these positions.
        :param age_s: time since the store confirmed the changes, in seconds.
        :param confirmed_ms: when it did, on the store's clock; 0 if the peer does not state it.
        :param peer: address of the peer.
        :return: how the update relates to the copy.
        """
        self.source = peer
        continuity = continuity_of(update, self.position)
        if continuity is Continuity.CONTINUES:
            self._extend(list(rows), update)
            confirmed_s = boottime_s() - age_s
            self.record_confirmation(confirmed_s, confirmed_ms, peer)
            self.peer_confirmed_s = max(self.peer_confirmed_s, confirmed_s)
        else:
            self.apply_rows(rows)
        return continuity

    def _extend(self, rows: list[Row], update: UpdateRange) -> None:
        """Apply an update that leaves no gap."""
        before = self.position
        if update.upto > before:
            self.needs_full_read = False
        era_changed = self._advance_era(update.upto)
        if update.is_whole:
            self._delete_missing_rows({row.key for row in rows}, update.upto)
        self.apply_rows(rows)
        self.position = update.upto
        self.skipped.add(before, min(update.seen_from, update.upto))
        if era_changed:
            self._notify_restore_listeners()

    def apply_changes(self, page: Page) -> bool:
        """Apply the changes after the known position, as the store answered them.

        :return: whether the page continues the copy. A page of another era does not, because rows
            that changed before the known position may have changed again.
        """
        if page.position.era != self.position.era:
            self.needs_full_read |= page.position > self.position
            return False
        self.source = STORE
        self.apply_rows(page.rows)
        self.position = max(self.position, page.position)
        return True

    def apply_full_read(self, page: Page) -> bool:
        """Apply a full read; known rows of its era that it does not contain were deleted.

        :return: whether the page is of the newest known era. A delayed answer of an earlier era
            is ignored.
        """
        if page.position.era < self.position.era:
            return False
        self.source = STORE
        before = self.position
        era_changed = self._advance_era(page.position)
        if page.position >= self.position:
            self._delete_missing_rows({row.key for row in page.rows}, page.position)
            self.skipped.add(before, page.position)
        self.apply_rows(page.rows)
        self.position = max(self.position, page.position)
        self.needs_full_read = False
        if era_changed:
            self._notify_restore_listeners()
        return True

    def _delete_missing_rows(self, present: set[str], position: Position) -> None:
        """Delete the rows that did not exist at a position any more.

        :param present: keys of the rows of its era that did.
        """
        self._earlier_rows.outdated_keys &= present
        missing = [
            Row(row.key, b'', position, gone=True)
            for row in self.rows()
            if row.key not in present
            and row.position.era == position.era
            and row.position <= position
        ]
        if missing and self.source != STORE:
            log_change('deletions_missed', table=self.table, rows=len(missing), peer=self.source)
        self.apply_rows(missing)

    def _advance_era(self, position: Position) -> bool:
        """Switch to the era of *position* if it is later; return whether the store was restored.

        The first known position does not count as a restore.
        """
        before = self.position
        if position.era <= before.era and before != BEGINNING:
            return False
        self._earlier_rows.begin_era()
        if before == BEGINNING:
            return False
        self.position = Position(position.era)
        # The store's clock may be reset with the era.
        self.confirmed_ms = 0
        self._earlier_rows.outdated_keys.clear()
        log_change(
            'table_returned',
            table=self.table,
            era_before=before.era,
            version_before=before.version,
            era=position.era,
            version=position.version,
            source=self.source,
        )
        return True

    def _notify_restore_listeners(self) -> None:
        for listener in self.restore_listeners:
            listener(self)

    def drop_lost_rows(self) -> None:
        """Drop rows of earlier eras that were not written again within the retention period."""
        if not self._earlier_rows.are_due_to_be_dropped():
            return
        era = self.position.era
        outdated_keys = self._earlier_rows.outdated_keys
        lost = [
            Row(row.key, b'', self.position, gone=True)
            for row in self.rows()
            if row.position.era < era and row.key not in outdated_keys
        ]
        if lost:
            log_change('rows_not_written_again', table=self.table, era=era, rows=len(lost))
        for row in lost:
            self._store_row(row, self._rows[row.key])

    def record_confirmation(self, at_s: float, store_ms: int = 0, source: str = STORE) -> None:
        """Record that the store confirmed the rows as complete.

        :param at_s: estimated time of the confirmation, on this machine's boot clock.
        :param store_ms: its time on the store's clock; 0 if unknown.
        :param source: where the confirmation came from, as in the attribute ``source``.
        """
        if at_s > self.confirmed_s:
            self.confirmed_s = at_s
            self.confirmed_by = source
        self.confirmed_ms = max(self.confirmed_ms, store_ms)
