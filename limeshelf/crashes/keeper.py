"""Keeps calls that rest or are refused for good in the platform's store.

Owns what this gateway knows of the rows, and which suspects still have to be written. Relies on
the store's port for writes, and on the copy of the table for the rows of others.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.quarantine import is_quarantined
from limeshelf.crashes.rows import QUARANTINE_TABLE, read_value, write_value
from limeshelf.crashes.suspects import NewsSource
from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import BEGINNING
from limeshelf.feeds.rows import ConditionFailed
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import full_jitter_s

if TYPE_CHECKING:
    from limeshelf.crashes.suspects import Suspects, SuspectState
    from limeshelf.feeds.position import Position
    from limeshelf.feeds.rows import Row, RowStore
    from limeshelf.feeds.table_copy import TableCopy

#: Rows that the table keeps; the one that was written longest ago goes first.
MAX_ROWS = 500
#: Longest pause before a write, in seconds: of gateways that learn of a second end at the same
#: moment, one writes and the others find its row.
WRITE_SPREAD_S = 0.2
#: The same for rows that the store has lost, which every gateway knows, in seconds.
RETURN_SPREAD_S = 1.2
#: Pause after a failed write: bound of the first, and the largest.
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 2.0


@attrs.frozen
class _KnownRow:
    state: SuspectState
    position: Position


@attrs.define
class QuarantineKeeper:
    """Writes the rows of suspects that this gateway witnessed, and takes in those of all."""

    store: RowStore
    suspects: Suspects
    _rows: dict[str, _KnownRow] = attrs.field(factory=dict)
    _due: set[Fingerprint] = attrs.field(factory=set)
    _is_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _spread_s: float = attrs.field(factory=lambda: WRITE_SPREAD_S)

    def __attrs_post_init__(self) -> None:
        self.suspects.add_listener(self._note_change)

    def take_row(self, row: Row) -> bool:
        """Take a row of the table; return whether it could be read.

        One that went, for want of room, takes back nothing that gateways still know.
        """
        if row.gone:
            self._rows.pop(row.key, None)
            return True
        state = read_value(row.key, row.value)
        if state is None:
            log_change('quarantine_row_invalid', key=row.key)
            return False
        self._rows[row.key] = _KnownRow(state, row.position)
        self.suspects.merge(state, NewsSource.ROW)
        return True

    def _note_change(self, state: SuspectState, source: NewsSource) -> None:
        fingerprint = state.fingerprint
        rests = is_quarantined(state) and self.suspects.is_witnessed(fingerprint)
        clears = source is NewsSource.OWN and fingerprint in self._rows
        if rests or clears:
            self._due.add(fingerprint)
            self._is_due.set()

    def note_return(self, copy: TableCopy) -> None:
        """Have rows written again that the store's later era lacks, or has as they were before."""
        era = copy.position.era
        self._due.update(Fingerprint(key) for key in self._rows)
        lost = [
            key
            for key, known in self._rows.items()
            if known.position.era < era and not copy.is_in_current_era(key)
        ]
        for key in lost:
            del self._rows[key]
        if lost:
            log_change('quarantine_rows_lost', rows=len(lost), era=era)
        if self._due:
            self._spread_s = RETURN_SPREAD_S
            self._is_due.set()

    async def run(self) -> None:
        """Write what has to be written, until it is there."""
        failures = 0
        while True:
            await self._is_due.wait()
            await asyncio.sleep(random.uniform(0.0, self._spread_s))
            self._spread_s = WRITE_SPREAD_S
            try:
                await self._write_due()
                failures = 0
            except (PlatformUnavailable, PlatformUnknown) as error:
                failures += 1
                if failures == 1:
                    log_change('quarantine_not_written', reason=repr(error))
                await asyncio.sleep(full_jitter_s(failures, RETRY_BASE_S, RETRY_LIMIT_S))

    async def _write_due(self) -> None:
        while self._due:
            fingerprint = next(iter(self._due))
            await self._write(fingerprint)
            self._due.discard(fingerprint)
        self._is_due.clear()

    async def _write(self, fingerprint: Fingerprint) -> None:
        while (state := self._missing_in_row(fingerprint)) is not None:
            known = self._rows.get(fingerprint)
            if known is None:
                await self._make_room()
            expected = known.position if known is not None else BEGINNING
            value = write_value(state)
            try:
                written = await self.store.write(QUARANTINE_TABLE, fingerprint, value, expected)
                self._rows[fingerprint] = _KnownRow(state, written)
            except ConditionFailed as failed:
                self._rows.pop(fingerprint, None)
                for row in failed.rows:
                    self.take_row(row)

    def _missing_in_row(self, fingerprint: Fingerprint) -> SuspectState | None:
        """Return what the row has to say; ``None`` if it says so already."""
        state = self.suspects.state_of(fingerprint)
        known = self._rows.get(fingerprint)
        if state is None or (known is not None and known.state.merged(state) == known.state):
            return None
        return state

    async def _make_room(self) -> None:
        if len(self._rows) < MAX_ROWS:
            return
        oldest = min(self._rows, key=lambda key: self._rows[key].position)
        position = self._rows.pop(oldest).position
        try:
            await self.store.delete(QUARANTINE_TABLE, oldest, position)
        except ConditionFailed:
            # It was written anew meanwhile, and its newer row comes with the table.
            return
