"""Synchronises quarantined calls with the quarantine table in the platform's store.

Owns this gateway's view of the rows, and the suspects still to be written. Writes through the
store's port, and receives the rows of other gateways from the copy of the table.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.quarantine import is_quarantined
from limeshelf.crashes.rows import QUARANTINE_TABLE, decode_value, encode_value
from limeshelf.crashes.suspects import UpdateSource
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

#: Maximum number of rows in the table; the row written longest ago is deleted first.
MAX_ROWS = 500
#: Longest random delay before a write. If several gateways detect a second crash at the same
#: moment, one writes first and the others find its row.
WRITE_JITTER_S = 0.2
#: The same for rows that the store has lost, longer because every gateway knows them.
REWRITE_JITTER_S = 1.2
#: Limits of the random delay after a failed write: of the first one, and of any.
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 2.0


@attrs.frozen
class _KnownRow:
    state: SuspectState
    position: Position


@attrs.define
class QuarantineSync:
    """Writes rows of suspects observed by this gateway, and merges the rows of all gateways."""

    store: RowStore
    suspects: Suspects
    _rows: dict[str, _KnownRow] = attrs.field(factory=dict)
    _unwritten: set[Fingerprint] = attrs.field(factory=set)
    _has_unwritten: asyncio.Event = attrs.field(factory=asyncio.Event)
    _jitter_s: float = attrs.field(factory=lambda: WRITE_JITTER_S)

    def __attrs_post_init__(self) -> None:
        self.suspects.add_listener(self._on_change)

    def apply_row(self, row: Row) -> bool:
        """Apply a row of the table; return whether it could be decoded.

        Rows are deleted when the table is full. The deletion of a row does not clear the suspect.
        """
        if row.gone:
            self._rows.pop(row.key, None)
            return True
        state = decode_value(row.key, row.value)
        if state is None:
            log_change('quarantine_row_invalid', key=row.key)
            return False
        self._rows[row.key] = _KnownRow(state, row.position)
        self.suspects.merge(state, UpdateSource.ROW)
        return True

    def _on_change(self, state: SuspectState, source: UpdateSource) -> None:
        fingerprint = state.fingerprint
        is_due = is_quarantined(state) and self.suspects.is_observed_locally(fingerprint)
        is_own_update = source is UpdateSource.OWN and fingerprint in self._rows
        if is_due or is_own_update:
            self._unwritten.add(fingerprint)
            self._has_unwritten.set()

    def rewrite_lost_rows(self, copy: TableCopy) -> None:
        """Schedule rows to be written that are missing or outdated in the store's later era."""
        era = copy.position.era
        self._unwritten.update(Fingerprint(key) for key in self._rows)
        lost = [
            key
            for key, known in self._rows.items()
            if known.position.era < era and not copy.is_in_current_era(key)
        ]
        for key in lost:
            del self._rows[key]
        if lost:
            log_change('quarantine_rows_lost', rows=len(lost), era=era)
        if self._unwritten:
            self._jitter_s = REWRITE_JITTER_S
            self._has_unwritten.set()

    async def run(self) -> None:
        """Write pending suspects, with retries; runs until cancelled."""
        failures = 0
        while True:
            await self._has_unwritten.wait()
            await asyncio.sleep(random.uniform(0.0, self._jitter_s))
            self._jitter_s = WRITE_JITTER_S
            try:
                await self._write_all()
                failures = 0
            except (PlatformUnavailable, PlatformUnknown) as error:
                failures += 1
                if failures == 1:
                    log_change('quarantine_not_written', reason=repr(error))
                await asyncio.sleep(full_jitter_s(failures, RETRY_BASE_S, RETRY_LIMIT_S))

    async def _write_all(self) -> None:
        while self._unwritten:
            fingerprint = next(iter(self._unwritten))
            await self._write(fingerprint)
            self._unwritten.discard(fingerprint)
        self._has_unwritten.clear()

    async def _write(self, fingerprint: Fingerprint) -> None:
        while (state := self._state_to_write(fingerprint)) is not None:
            known = self._rows.get(fingerprint)
            if known is None:
                await self._evict_oldest_row()
            expected = known.position if known is not None else BEGINNING
            value = encode_value(state)
            try:
                written = await self.store.write(QUARANTINE_TABLE, fingerprint, value, expected)
                self._rows[fingerprint] = _KnownRow(state, written)
            except ConditionFailed as failed:
                self._rows.pop(fingerprint, None)
                for row in failed.rows:
                    self.apply_row(row)

    def _state_to_write(self, fingerprint: Fingerprint) -> SuspectState | None:
        """Return the state to write; ``None`` if the row already contains it."""
        state = self.suspects.state_of(fingerprint)
        known = self._rows.get(fingerprint)
        if state is None or (known is not None and known.state.merged(state) == known.state):
            return None
        return state

    async def _evict_oldest_row(self) -> None:
        if len(self._rows) < MAX_ROWS:
            return
        oldest = min(self._rows, key=lambda key: self._rows[key].position)
        position = self._rows.pop(oldest).position
        try:
            await self.store.delete(QUARANTINE_TABLE, oldest, position)
        except ConditionFailed:
            # The row was written again meanwhile; its newer version arrives with the table.
            return
