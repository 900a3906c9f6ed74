"""Stand-in for the platform's metadata store: rows, conditional writes and the change feed."""

from __future__ import annotations

import asyncio
import collections
import time
from typing import Any

import attrs
from aiohttp import web


@attrs.define
class StoreFaults:
    """Fault switches of the store.

    :ivar status: answer every call with this status without carrying it out; 0 is off.
    :ivar silent: accept calls and never answer.
    :ivar lose_answers: apply transactions and close the connection without an answer.
    :ivar late_s: apply transactions after this delay and never answer; 0 is off.
    :ivar answer_delay_s: carry out every call and send its answer this much later; 0 is off.
    """

    status: int = 0
    silent: bool = False
    lose_answers: bool = False
    late_s: float = 0.0
    answer_delay_s: float = 0.0


@attrs.define
class _Row:
    key: str
    value: str
    version: int
    gone: bool = False


@attrs.frozen
class _Snapshot:
    """A snapshot of all rows as of one version.

    :ivar taken_s: time at which it was made, on the monotonic clock.
    """

    version: int
    taken_s: float
    tables: dict[str, dict[str, _Row]]


#: Number of newest snapshots that are kept.
MAX_SNAPSHOTS = 2000


class StoreStandIn:
    """Keeps rows in memory and answers as the platform's store does.

    :ivar era: increases by one when the store is restored from a snapshot; ``None`` if the
        store sends no era.
    :ivar calls: number of calls received.
    """

    def __init__(self, era: int | None = None) -> None:
        self.faults = StoreFaults()
        self.era = era
        self.calls = 0
        self._snapshots: collections.deque[_Snapshot] = collections.deque(maxlen=MAX_SNAPSHOTS)
        self._version = 0
        self._tables: dict[str, dict[str, _Row]] = {}
        self._oldest_version = 0
        self._changed = asyncio.Event()
        self._runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Start listening on the loopback interface and return the address."""
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        return f'127.0.0.1:{self._runner.addresses[0][1]}'

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: str) -> int:
        """Write a row unconditionally and return the new version; *value* is base64."""
        self._add_snapshot()
        self._version += 1
        self._tables.setdefault(table, {})[key] = _Row(key, value, self._version)
        self._notify_feeds()
        return self._version

    def drop(self, table: str, key: str) -> None:
        """Delete a row; the feed reports the deletion."""
        self._add_snapshot()
        self._version += 1
        self._tables.setdefault(table, {})[key] = _Row(key, '', self._version, gone=True)
        self._notify_feeds()

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return self._version

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table in their JSON form."""
        return [_as_json(row) for row in self._tables.get(table, {}).values() if not row.gone]

    def _add_snapshot(self) -> None:
        tables = {table: dict(rows) for table, rows in self._tables.items()}
        self._snapshots.append(_Snapshot(self._version, time.monotonic(), tables))

    def restore_version(self, version: int) -> None:
        """Restore the store from a snapshot; later writes are lost.

        :param version: the newest snapshot that is not newer is used, or else the oldest one.
        """
        assert self.era is not None
        self._add_snapshot()
        snapshots = [snapshot for snapshot in self._snapshots if snapshot.version <= version]
        snapshot = snapshots[-1] if snapshots else self._snapshots[0]
        self._tables = {table: dict(rows) for table, rows in snapshot.tables.items()}
        self._version = snapshot.version
        self._oldest_version = min(self._oldest_version, snapshot.version)
        self._snapshots = collections.deque(snapshots, maxlen=MAX_SNAPSHOTS)
        self.era += 1
        self._notify_feeds()

    def restore_from_age(self, age_s: float) -> None:
        """Restore the store from the newest snapshot that is at least *age_s* old."""
        taken_s = time.monotonic() - age_s
        older = [snapshot.version for snapshot in self._snapshots if snapshot.taken_s <= taken_s]
        self.restore_version(max(older, default=0))

    def forget_history(self) -> None:
        """Discard the change history but keep the rows; older feed positions get 410."""
        self._oldest_version = self._version
        self._notify_feeds()

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        answer = await self._answer_call(request)
        if self.era is not None:
            answer.headers['Store-Era'] = str(self.era)
        if self.faults.answer_delay_s:
            await asyncio.sleep(self.faults.answer_delay_s)
        return answer

    async def _answer_call(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        if request.path == '/rows-get':
            return self._get(request.query['table'])
        if request.path == '/rows-feed':
            return await self._feed(request)
        if request.path == '/rows-tx':
            return await self._transact(request)
        return web.Response(status=404)

    def _answer(self, rows: list[_Row], status: int = 200) -> web.Response:
        body = {
            'Rows': [_as_json(row) for row in rows],
            'more': False,
            'ver': self._version,
            'now_ms': int(time.monotonic() * 1000),
        }
        return web.json_response(body, status=status)

    def _get(self, table: str) -> web.Response:
        rows = [row for row in self._tables.get(table, {}).values() if not row.gone]
        return self._answer(sorted(rows, key=lambda row: row.key))

    async def _feed(self, request: web.BaseRequest) -> web.Response:
        table = request.query['table']
        after = int(request.query['after'])
        deadline_s = time.monotonic() + int(request.query.get('WaitMs', '0')) / 1000
        while True:
            if not self._oldest_version <= after <= self._version:
                return web.json_response({}, status=410)
            rows = [row for row in self._tables.get(table, {}).values() if row.version > after]
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0:
                return self._answer(sorted(rows, key=lambda row: row.version))
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        if self.faults.late_s:
            asyncio.get_running_loop().call_later(self.faults.late_s, self._apply, body)
            await asyncio.sleep(3600)
        refused = self._apply(body)
        if self.faults.lose_answers:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        return refused or self._answer([])

    def _apply(self, body: Any) -> web.Response | None:
        expected = body.get('ExpectedRevision', [])
        held = [self._tables.get(e['table'], {}).get(e['Key']) for e in expected]
        for entry, row in zip(expected, held, strict=True):
            version = 0 if row is None or row.gone else row.version
            if version != entry['ver']:
                return self._answer([row for row in held if row is not None], status=412)
        for entry in body.get('put', []):
            self.put(entry['table'], entry['Key'], entry['Value'])
        for entry in body.get('Delete', []):
            self.drop(entry['table'], entry['Key'])
        return None


def _as_json(row: _Row) -> dict[str, Any]:
    fields: dict[str, Any] = {'Key': row.key, 'Value': row.value, 'ver': row.version}
    if row.gone:
        fields['gone'] = True
    return fields
