"""The configuration in force in one process; it never goes back.

Owns the catalog in force and the recent changes. Relies on its callers for revisions:
:mod:`limeshelf.standalone.revisions.sync` and the admin program.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from limeshelf.errors import StaleRevision
from limeshelf.standalone.config.catalog import Catalog
from limeshelf.standalone.config.delta import Change, apply_changes
from limeshelf.standalone.config.document import Document

if TYPE_CHECKING:
    from collections.abc import Callable


class ConfigHolder:
    """Holds the highest revision seen and swaps it whole.

    Readers take :attr:`catalog` once per request and use that one object
    throughout, so a request never sees half of a change.
    """

    def __init__(self) -> None:
        self.catalog = Catalog.from_document(0, Document())
        #: Recent changes by revision, for peers that are a little behind.
        self._recent: dict[int, list[Change]] = {}
        self._listeners: list[Callable[[Catalog], None]] = []

    #: Revisions of changes kept for peers; older peers get the whole document.
    RECENT_LIMIT = 256

    @property
    def revision(self) -> int:
        """Return the revision in force; 0 before the first one."""
        return self.catalog.revision

    def add_listener(self, listener: Callable[[Catalog], None]) -> None:
        """Call *listener* with the new catalog after each swap."""
        self._listeners.append(listener)

    def take_changes(self, based_on: int, revision: int, changes: list[Change]) -> bool:
        """Extend revision *based_on* to *revision*.

        :return: whether it was new.
        :raises StaleRevision: when it does not extend the revision in force.
        """
        if revision <= self.revision:
            return False
        if based_on != self.revision:
            raise StaleRevision(self.revision, based_on)
        document = apply_changes(self.catalog.document, changes)
        self._recent[revision] = changes
        self._recent.pop(revision - self.RECENT_LIMIT, None)
        self._swap(Catalog.from_document(revision, document))
        return True

    def take_snapshot(self, revision: int, document: Document) -> bool:
        """Put a whole document in force if *revision* is higher; say whether."""
        if revision <= self.revision:
            return False
        self._recent.clear()
        self._swap(Catalog.from_document(revision, document))
        return True

    def changes_after(self, revision: int) -> list[list[Change]] | None:
        """Return the changes of each later revision, or ``None`` if not kept."""
        wanted = range(revision + 1, self.revision + 1)
        if any(number not in self._recent for number in wanted):
            return None
        return [self._recent[number] for number in wanted]

    def _swap(self, catalog: Catalog) -> None:
        before = self.revision
        self.catalog = catalog
        logging.info('config=in_force revision=%d before=%d', catalog.revision, before)
        for listener in self._listeners:
            listener(catalog)
