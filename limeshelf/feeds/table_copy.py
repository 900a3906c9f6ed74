"""The copy of one table of the store; what is known never goes back to something older.

Owns the rows, the position up to which they are complete, and when that was confirmed.
Relies on nobody: :class:`~limeshelf.feeds.follower.TableFollower` brings what the store
answers, and peers bring updates. What a later era of the store does to the rows is decided in
:mod:`limeshelf.feeds.return_rule`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.feeds.continuity import Continuity, continuity_of
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.return_rule import ReturnRule
from limeshelf.feeds.rows import Row
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import Page

#: Stands for the store where the source of rows or of a confirmation is named; peers are named
#: by their address.
STORE = 'store'


class TableCopy:
    """The rows of one table, as new as they were ever seen.

    Pages and updates may be older than what is known (a stale answer of the store, a
    late message); the position of each row decides, also for rows that are gone.

    :param listener: called with each row that became newer.
    :param return_rule: which rows of an earlier era of the store hold in a later one.
    :ivar position: of the store, up to which the rows are complete.
    :ivar confirmed_s: when the store last confirmed that to somebody, on the clock of
        :func:`~limeshelf.util.clock.boottime_s`; 0 if never.
    :ivar confirmed_ms: the latest such moment on the store's own clock; 0 if never, or unknown.
    :ivar peer_confirmed_s: as ``confirmed_s``, of what peers passed on; at the start peers have as
        long as ever to pass something on, or hundreds of processes that start together would
        all follow the store until the first of them has found the others.
    :ivar source: who brought the rows that were taken last, :data:`STORE` or a peer's address.
    :ivar confirmed_by: who brought the confirmation of ``confirmed_s``, as in ``source``.
    :ivar needs_full_read: whether changes may be missing that the store no longer keeps,
        so that only a read of the whole table shows which rows are there.
    :ivar return_listeners: called with the copy once the rows of a later era have been taken.
    """

    def __init__(
        self,
        table: str,
        listener: Callable[[Row], None],
        rule: FollowRule | None = None,
        return_rule: ReturnRule | None = None,
    ) -> None:
        self.table = table
        self.rule = rule or FollowRule()
        self.position = BEGINNING
        self.confirmed_s = 0.0
        self.confirmed_ms = 0
        self.peer_confirmed_s = boottime_s()
        self.source = ''
        self.confirmed_by = ''
        self.needs_full_read = True
        self.return_listeners: list[Callable[[TableCopy], None]] = []
        self._rows: dict[str, Row] = {}
        self._listener = listener
        self._return_rule = return_rule or ReturnRule()
        self._era_began_s = 0.0
        self._holds_earlier_rows = False
        # Keys that stand in this era of the store with less than is known of them.
        self._outdone: set[str] = set()

    @property
    def age_s(self) -> float:
        """Return for how long nobody has confirmed that the rows are the newest."""
        return boottime_s() - self.confirmed_s

    @property
    def is_stale(self) -> bool:
        """Return whether the rows may be older than they should be."""
        return self.age_s > self.rule.stale_s

    @property
    def peers_overdue_s(self) -> float:
        """Return for how long peers have passed on nothing that is new enough, in seconds.

        Below zero while they do.
        """
        return boottime_s() - self.peer_confirmed_s - self.rule.stale_s

    def rows(self) -> list[Row]:
        """Return the rows that are there."""
        return [row for row in self._rows.values() if not row.gone]

    def rows_after(self, position: Position) -> list[Row]:
        """Return the rows that changed after a position, those that went among them."""
        return [row for row in self._rows.values() if row.position > position]

    def has_of_this_era(self, key: str) -> bool:
        """Return whether a row stands in the era of the store that is known, however old."""
        row = self._rows.get(key)
        return key in self._outdone or (
            row is not None and not row.gone and row.position.era == self.position.era
        )

    def value_of_this_era(self, key: str) -> bytes | None:
        """Return what a row says in the era that is known; ``None`` without one, or if outdone."""
        row = self._rows.get(key)
        if row is None or row.gone or row.position.era != self.position.era:
            return None
        return row.value

    def take(self, rows: Iterable[Row]) -> None:
        """Keep each row that is newer than the known one."""
        for row in rows:
            known = self._rows.get(row.key)
            if known is None:
                if row.position.era < self.position.era and self._forgets_earlier_rows:
                    continue
            elif not self._replaces(row, known):
                if row.position.era == self.position.era > known.position.era and not row.gone:
                    self._outdone.add(row.key)
                continue
            self._keep(row, known)

    def _replaces(self, row: Row, known: Row) -> bool:
        if row.position.era == known.position.era:
            return row.position > known.position
        return self._return_rule.replaces(row, known)

    def _keep(self, row: Row, known: Row | None) -> None:
        if row.gone and known is not None and not row.value:
            row = attrs.evolve(row, value=known.value)
        self._rows[row.key] = row
        self._note_era(row, known)
        self._listener(row)

    def _note_era(self, row: Row, known: Row | None) -> None:
        """Note whether a row that is kept stands in this era of the store."""
        era = self.position.era
        if row.position.era >= era:
            self._outdone.discard(row.key)
            return
        self._holds_earlier_rows = True
        if known is not None and not known.gone and known.position.era == era:
            self._outdone.add(row.key)

    def take_update(
        self,
        rows: Iterable[Row],
        after: Position,
        upto: Position,
        age_s: float,
        confirmed_ms: int = 0,
        peer: str = '',
    ) -> Continuity:
        """Take a peer's update with the changes after one position up to another.

        :param after: position of the store after which all changes are in the update.
        :param upto: position of the store up to which they are.
        :param age_s: how long ago the store confirmed them to the peer, in seconds.
        :param confirmed_ms: the same moment on the store's clock; 0 if the peer does not say.
        :param peer: its address.
        :return: how it continues the copy.
        """
        self.source = peer
        continuity = continuity_of(after, upto, self.position)
        if continuity is Continuity.CONTINUES:
            if upto > self.position:
                self.needs_full_read = False
            has_returned = self._enter(upto)
            self.take(rows)
            self.position = upto
            confirmed_s = boottime_s() - age_s
            self.note_confirmed(confirmed_s, confirmed_ms, peer)
            self.peer_confirmed_s = max(self.peer_confirmed_s, confirmed_s)
            if has_returned:
                self._tell_return()
        else:
            self.take(rows)
        return continuity

    def take_changes(self, page: Page) -> bool:
        """Take what the store says has changed after the known position.

        :return: whether the page continues the copy. One of another era does not: what changed
            before the known position may have changed again.
        """
        if page.position.era != self.position.era:
            self.needs_full_read |= page.position > self.position
            return False
        self.source = STORE
        self.take(page.rows)
        self.position = max(self.position, page.position)
        return True

    def take_full(self, page: Page) -> bool:
        """Take all rows of the table; known ones of this era that lack there have gone.

        :return: whether the page is of the newest known era. An answer of an earlier one that
            comes late says nothing.
        """
        if page.position.era < self.position.era:
            return False
        self.source = STORE
        has_returned = self._enter(page.position)
        if page.position >= self.position:
            self._take_absences(page)
            self.position = page.position
        self.take(page.rows)
        self.needs_full_read = False
        if has_returned:
            self._tell_return()
        return True

    def _take_absences(self, page: Page) -> None:
        present = {row.key for row in page.rows}
        era = page.position.era
        self._outdone &= present
        absent = [
            Row(row.key, b'', page.position, gone=True)
            for row in self.rows()
            if row.key not in present and row.position.era == era and row.position <= page.position
        ]
        self.take(absent)

    def _enter(self, position: Position) -> bool:
        """Go over to the era of *position*, if that is a later one; return whether it is.

        The first position that is known begins no later era.
        """
        before = self.position
        if position.era <= before.era and before != BEGINNING:
            return False
        self._era_began_s = boottime_s()
        self._holds_earlier_rows = True
        if before == BEGINNING:
            return False
        self.position = Position(position.era)
        # The clock of the store may have begun anew as well.
        self.confirmed_ms = 0
        self._outdone.clear()
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

    def _tell_return(self) -> None:
        for listener in self.return_listeners:
            listener(self)

    @property
    def _forgets_earlier_rows(self) -> bool:
        return boottime_s() - self._era_began_s > self._return_rule.kept_s

    def drop_unwritten(self) -> None:
        """Drop rows of earlier eras that nobody has written again in time."""
        if not self._holds_earlier_rows or not self._forgets_earlier_rows:
            return
        era = self.position.era
        self._holds_earlier_rows = bool(self._outdone)
        lost = [
            Row(row.key, b'', self.position, gone=True)
            for row in self.rows()
            if row.position.era < era and row.key not in self._outdone
        ]
        if lost:
            log_change('rows_not_written_again', table=self.table, era=era, rows=len(lost))
        for row in lost:
            self._keep(row, self._rows[row.key])

    def note_confirmed(self, at_s: float, store_ms: int = 0, source: str = STORE) -> None:
        """Note that the store confirmed at a time that the rows are the newest.

        :param at_s: as estimated, on this machine's clock.
        :param store_ms: on the store's clock; 0 where that is not known.
        :param source: who brought it, as in ``source`` of the copy.
        """
        if at_s > self.confirmed_s:
            self.confirmed_s = at_s
            self.confirmed_by = source
        self.confirmed_ms = max(self.confirmed_ms, store_ms)
