"""A stand-in for the platform's metadata store: rows, conditions, and their feed."""

from __future__ import annotations

import asyncio
import collections
import time
from typing import Any

import attrs
from aiohttp import web


@attrs.define
class StoreFaults:
    """Switches for what goes wrong.

    :ivar status: answer every call with this status and do nothing.
    :ivar silent: take calls and never answer.
    :ivar lose_answers: do writing calls and close without an answer.
    :ivar late_s: do writing calls this much later, without an answer.
    """

    status: int = 0
    silent: bool = False
    lose_answers: bool = False
    late_s: float = 0.0


@attrs.define
class _Row:
    key: str
    value: str
    version: int
    gone: bool = False


@attrs.frozen
class _Copy:
    """The rows as of one version.

    :ivar taken_s: on the steady clock.
    """

    version: int
    taken_s: float
    tables: dict[str, dict[str, _Row]]


#: Copies that are kept, the newest ones.
KEPT_COPIES = 2000


class StoreStandIn:
    """Keeps rows in memory and answers as the platform's store does.

    :ivar era: rises by one when the store comes back from an older copy; ``None`` for a store
        that states none.
    :ivar calls: answered, or refused.
    """

    def __init__(self, era: int | None = None) -> None:
        self.faults = StoreFaults()
        self.era = era
        self.calls = 0
        self._copies: collections.deque[_Copy] = collections.deque(maxlen=KEPT_COPIES)
        self._version = 0
        self._tables: dict[str, dict[str, _Row]] = {}
        self._oldest = 0
        self._changed = asyncio.Event()
        self._runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen on loopback and return the address."""
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        return f'127.0.0.1:{self._runner.addresses[0][1]}'

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: str) -> int:
        """Write a row as the operator or a replica does; *value* is base64."""
        self._keep_copy()
        self._version += 1
        self._tables.setdefault(table, {})[key] = _Row(key, value, self._version)
        self._wake()
        return self._version

    def drop(self, table: str, key: str) -> None:
        """Delete a row."""
        self._keep_copy()
        self._version += 1
        self._tables.setdefault(table, {})[key] = _Row(key, '', self._version, gone=True)
        self._wake()

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return self._version

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table as they are sent."""
        return [_as_json(row) for row in self._tables.get(table, {}).values() if not row.gone]

    def _keep_copy(self) -> None:
        tables = {table: dict(rows) for table, rows in self._tables.items()}
        self._copies.append(_Copy(self._version, time.monotonic(), tables))

    def return_to(self, version: int) -> None:
        """Come back from the copy of a version; what was written since is lost.

        :param version: or the newest kept one before it.
        """
        assert self.era is not None
        self._keep_copy()
        copies = [copy for copy in self._copies if copy.version <= version]
        copy = copies[-1] if copies else self._copies[0]
        self._tables = {table: dict(rows) for table, rows in copy.tables.items()}
        self._version = copy.version
        self._oldest = min(self._oldest, copy.version)
        self._copies = collections.deque(copies, maxlen=KEPT_COPIES)
        self.era += 1
        self._wake()

    def return_from(self, age_s: float) -> None:
        """Come back from a copy that was taken some seconds ago."""
        taken_s = time.monotonic() - age_s
        older = [copy.version for copy in self._copies if copy.taken_s <= taken_s]
        self.return_to(max(older, default=0))

    def forget_history(self) -> None:
        """Keep the rows but none of their changes."""
        self._oldest = self._version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        answer = await self._answer_call(request)
        if self.era is not None:
            answer.headers['Store-Era'] = str(self.era)
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
        ends = time.monotonic() + int(request.query.get('WaitMs', '0')) / 1000
        while True:
            if not self._oldest <= after <= self._version:
                return web.json_response({}, status=410)
            rows = [row for row in self._tables.get(table, {}).values() if row.version > after]
            left_s = ends - time.monotonic()
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
