"""Commits configuration revisions to the platform and reads them back.

Owns the format of the rows ``config/...`` in the table. Conditional writes to the table resolve
races between operators; snapshots are in the object store.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from absl import logging

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.config.delta import Change, document_from_json, document_to_json
from limeshelf.standalone.services.table import Committed, Condition, Write
from limeshelf.util.clock import wall_s

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import Document
    from limeshelf.standalone.services.objects import ObjectStoreClient
    from limeshelf.standalone.services.table import TableClient

HEAD_KEY = 'config/head'
REVISION_PREFIX = 'config/revision/'
OPERATION_PREFIX = 'config/operation/'
SNAPSHOT_PREFIX = 'config-snapshot-'
#: A snapshot is stored for each revision that is a multiple of this.
SNAPSHOT_EVERY = 20
#: Attempts to commit, or to find out whether a commit without an answer took effect.
COMMIT_ATTEMPTS = 3


@attrs.frozen
class Head:
    """The latest revision.

    :param snapshot_revision: latest revision with a stored snapshot, 0 if none.
    :param version: version of the head's row.
    """

    revision: int
    snapshot_revision: int
    version: int


@attrs.frozen
class RevisionRecord:
    """The stored record of one revision: its changes, operator and time."""

    revision: int
    operation_id: str
    operator: str
    committed_unix_s: float
    note: str
    changes: list[Change]


@dataclass(frozen=True)
class Applied:
    """The operation was committed as this revision."""

    revision: int


@dataclass(frozen=True)
class RaceLost:
    """Other operators committed first; nothing was changed.

    :param others: their revisions since the base revision.
    """

    revision: int
    others: list[RevisionRecord]


@dataclass(frozen=True)
class Undecided:
    """The outcome is unknown; repeating the call with the same operation id shows whether it
    was committed."""


@dataclass(frozen=True)
class NotApplied:
    """The platform is unreachable; nothing was changed."""


CommitOutcome = Applied | RaceLost | Undecided | NotApplied


class RevisionStore:
    """The configuration stored in the platform's table and object store."""

    def __init__(self, table: TableClient, objects: ObjectStoreClient) -> None:
        self._table = table
        self._objects = objects

    async def head(self) -> Head:
        """Return the latest revision.

        :raises PlatformUnavailable: the table is unreachable.
        :raises PlatformUnknown: the table sent no whole answer.
        """
        row = await self._table.read(HEAD_KEY)
        value = row.value or {'revision': 0, 'snapshot_revision': 0}
        return Head(value['revision'], value['snapshot_revision'], row.version)

    async def record(self, revision: int) -> RevisionRecord | None:
        """Return the record of *revision*, ``None`` if there is none."""
        row = await self._table.read(_revision_key(revision))
        return None if row.value is None else msgspec.convert(row.value, RevisionRecord)

    async def records_after(self, revision: int, until: int) -> list[RevisionRecord]:
        """Return the records of the revisions above *revision* up to *until*."""
        records = []
        for number in range(revision + 1, until + 1):
            record = await self.record(number)
            if record is None:
                break
            records.append(record)
        return records

    async def snapshot(self, revision: int) -> Document | None:
        """Return the stored snapshot of *revision*, ``None`` if there is none."""
        plain = await self._objects.get(f'{SNAPSHOT_PREFIX}{revision}')
        return None if plain is None else document_from_json(plain)

    async def commit(
        self,
        changes: list[Change],
        based_on: int,
        operation_id: str,
        operator: str,
        note: str,
    ) -> CommitOutcome:
        """Commit *changes* as the revision after *based_on*.

        Repeating the call with the same operation id never applies it twice.
        """
        record = RevisionRecord(based_on + 1, operation_id, operator, wall_s(), note, changes)
        may_be_written = False
        for _ in range(COMMIT_ATTEMPTS):
            try:
                outcome = await self._try_commit(record)
            except PlatformUnavailable:
                # An earlier write whose answer was lost may still take effect.
                return Undecided() if may_be_written else NotApplied()
            except PlatformUnknown:
                # The next attempt reads whether it was written.
                may_be_written = True
                continue
            if outcome is not None:
                return outcome
        return Undecided()

    async def _try_commit(self, record: RevisionRecord) -> Applied | RaceLost | None:
        """Return the outcome, or ``None`` if another operator wrote between read and write.

        The head is read before the operation's row: once the head has another version, a write
        of this operation that is still in transit can no longer commit.
        """
        head = await self.head()
        done = await self._operation(record.operation_id)
        if done is not None:
            return Applied(done)
        based_on = record.revision - 1
        if head.revision != based_on:
            return await self._race_lost(based_on, head.revision)
        if isinstance(await self._write(head, record), Committed):
            return Applied(record.revision)
        return None

    async def _operation(self, operation_id: str) -> int | None:
        row = await self._table.read(f'{OPERATION_PREFIX}{operation_id}')
        return None if row.value is None else int(row.value['revision'])

    async def _write(self, head: Head, record: RevisionRecord) -> object:
        new_head = {
            'revision': record.revision,
            'snapshot_revision': head.snapshot_revision,
        }
        operation_key = f'{OPERATION_PREFIX}{record.operation_id}'
        plain: dict[str, Any] = msgspec.to_builtins(record)
        return await self._table.transact(
            [Condition(HEAD_KEY, head.version), Condition(operation_key, 0)],
            [
                Write(HEAD_KEY, new_head),
                Write(_revision_key(record.revision), plain),
                Write(operation_key, {'revision': record.revision}),
            ],
        )

    async def _race_lost(self, based_on: int, head_revision: int) -> RaceLost:
        return RaceLost(head_revision, await self.records_after(based_on, head_revision))

    async def store_snapshot(self, revision: int, document: Document) -> None:
        """Store a snapshot and record it in the head.

        Failures are only logged: without the snapshot processes read more records.
        """
        try:
            await self._objects.put(f'{SNAPSHOT_PREFIX}{revision}', document_to_json(document))
            head = await self.head()
            if head.snapshot_revision >= revision:
                return
            value = {'revision': head.revision, 'snapshot_revision': revision}
            await self._table.transact(
                [Condition(HEAD_KEY, head.version)], [Write(HEAD_KEY, value)]
            )
        except (PlatformUnavailable, PlatformUnknown):
            logging.warning('config=snapshot_not_stored revision=%d', revision)


def _revision_key(revision: int) -> str:
    return f'{REVISION_PREFIX}{revision:010d}'
