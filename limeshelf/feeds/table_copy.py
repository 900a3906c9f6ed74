"""The copy of one table of the store; what is known never goes back to something older.

Owns the rows, the version up to which they are complete, and when that was confirmed.
Relies on nobody: :class:`~limeshelf.feeds.follower.TableFollower` brings what the store
answers, and peers bring updates.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.feeds.continuity import Continuity, continuity_of
from limeshelf.feeds.rows import Row
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.feeds.rows import Page

#: Stands for the store where the source of rows or of a confirmation is named; peers are named
#: by their address.
STORE = 'store'


@attrs.frozen
class FollowRule:
    """How a table is followed.

    The values in force stand in :mod:`limeshelf.programs.followed_tables`; the defaults are
    for a table that no peer shares.

    :ivar wait_s: how long the store holds a call for changes, in seconds.
    :ivar pace_s: pause after changes, in seconds, so that one call brings several.
    :ivar stale_s: a copy that was not confirmed for longer, in seconds, is too old to go
        by, and the store is asked.
    :ivar first_delay_s: longest pause before the first call, in seconds. Where all processes
        start together, the rows of the others are not there yet; peers may bring the table
        meanwhile.
    """

    wait_s: float = 8.0
    pace_s: float = 0.0
    stale_s: float = 1.0
    first_delay_s: float = 0.0


class TableCopy:
    """The rows of one table, as new as they were ever seen.

    Pages and updates may be older than what is known (a stale answer of the store, a
    late message); the version of each row decides, also for rows that are gone.

    :param listener: called with each row that became newer.
    :ivar version: of the store, up to which the rows are complete; 0 before any.
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
    """

    def __init__(
        self, table: str, listener: Callable[[Row], None], rule: FollowRule | None = None
    ) -> None:
        self.table = table
        self.rule = rule or FollowRule()
        self.version = 0
        self.confirmed_s = 0.0
        self.confirmed_ms = 0
        self.peer_confirmed_s = boottime_s()
        self.source = ''
        self.confirmed_by = ''
        self.needs_full_read = True
        self._rows: dict[str, Row] = {}
        self._listener = listener

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

    def rows_after(self, version: int) -> list[Row]:
        """Return the rows that changed after a version, those that went among them."""
        return [row for row in self._rows.values() if row.version > version]

    def take(self, rows: Iterable[Row]) -> None:
        """Keep each row that is newer than the known one."""
        for row in rows:
            known = self._rows.get(row.key)
            if known is None or row.version > known.version:
                self._rows[row.key] = row
                self._listener(row)

    def take_update(
        self,
        rows: Iterable[Row],
        after: int,
        upto: int,
        age_s: float,
        confirmed_ms: int = 0,
        peer: str = '',
    ) -> Continuity:
        """Take a peer's update with the changes after one version up to another.

        :param after: version of the store after which all changes are in the update.
        :param upto: version of the store up to which they are.
        :param age_s: how long ago the store confirmed them to the peer, in seconds.
        :param confirmed_ms: the same moment on the store's clock; 0 if the peer does not say.
        :param peer: its address.
        :return: how it continues the copy.
        """
        self.source = peer
        self.take(rows)
        continuity = continuity_of(after, upto, self.version)
        if continuity is Continuity.CONTINUES:
            self.version = upto
            confirmed_s = boottime_s() - age_s
            self.note_confirmed(confirmed_s, confirmed_ms, peer)
            self.peer_confirmed_s = max(self.peer_confirmed_s, confirmed_s)
            self.needs_full_read = False
        return continuity

    def take_changes(self, page: Page) -> None:
        """Take what the store says has changed after the known version."""
        self.source = STORE
        self.take(page.rows)
        self.version = max(self.version, page.version)

    def take_full(self, page: Page) -> None:
        """Take all rows of the table; known ones that lack there have gone."""
        self.source = STORE
        if page.version >= self.version:
            present = {row.key for row in page.rows}
            missing = [
                Row(row.key, b'', page.version, gone=True)
                for row in self.rows()
                if row.key not in present and row.version <= page.version
            ]
            self.take(missing)
            self.version = page.version
        self.take(page.rows)
        self.needs_full_read = False

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
