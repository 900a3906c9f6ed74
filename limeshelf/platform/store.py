"""The platform's metadata store: rows under conditions, and the feed of their changes."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import aiohttp
import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import ConditionFailed, HistoryGone, Page, Row
from limeshelf.platform.sessions import open_session
from limeshelf.util.sockets import lasting_socket

STORE = 'store'
#: Longest wait for an answer, beyond what the call itself waits for.
ANSWER_S = 1.2
CONNECT_S = 0.6
IDLE_S = 20.0
STATUS_CONDITION = 412
STATUS_HISTORY_GONE = 410


class _Row(msgspec.Struct, rename={'key': 'Key', 'value': 'Value'}):
    key: str
    ver: int = 0
    value: str = ''
    gone: bool = False


class _Answer(msgspec.Struct, rename={'rows': 'Rows'}):
    ver: int = 0
    rows: list[_Row] = []
    more: bool = False
    now_ms: float = 0


_answers = msgspec.json.Decoder(_Answer)


def _rows(answer: _Answer) -> tuple[Row, ...]:
    try:
        return tuple(
            Row(row.key, base64.b64decode(row.value), row.ver, row.gone) for row in answer.rows
        )
    except ValueError:
        raise PlatformUnknown(STORE) from None


class StoreClient:
    """Client of the store; implements :class:`limeshelf.feeds.rows.RowTable`."""

    def __init__(self, address: str) -> None:
        self.calls = 0
        self._base_url = f'http://{address}'
        self._session: aiohttp.ClientSession | None = None

    def change_address(self, address: str) -> None:
        """Make the next calls at another address."""
        self._base_url = f'http://{address}'

    async def read(self, table: str) -> Page:
        """Return all rows of *table* as of one moment of each page."""
        rows: list[Row] = []
        version = 0
        start = ''
        while True:
            query = {'table': table, 'part': ''}
            if start:
                query['From'] = start
            answer = await self._call('GET', '/rows-get', query)
            page = _rows(answer)
            rows.extend(page)
            version = min(version, answer.ver) if version else answer.ver
            if not answer.more or not page:
                return Page(tuple(rows), version, int(answer.now_ms))
            start = page[-1].key + '\0'

    async def changes(self, table: str, after: int, wait_s: float) -> Page:
        """Return what changed after a version, as soon as something has."""
        query = {'table': table, 'after': str(after), 'WaitMs': str(int(wait_s * 1000))}
        answer = await self._call('GET', '/rows-feed', query, wait_s=wait_s)
        return Page(_rows(answer), answer.ver, int(answer.now_ms))

    async def write(self, table: str, key: str, value: bytes, expected: int | None) -> int:
        """Write a row and return the store's version."""
        put = {'table': table, 'part': '', 'Key': key, 'Value': base64.b64encode(value).decode()}
        answer = await self._transact(table, key, expected, put=[put], drop=[])
        return answer.ver

    async def delete(self, table: str, key: str, expected: int | None) -> None:
        """Delete a row."""
        drop = {'table': table, 'part': '', 'Key': key}
        await self._transact(table, key, expected, put=[], drop=[drop])

    async def _transact(
        self, table: str, key: str, expected: int | None, put: list[Any], drop: list[Any]
    ) -> _Answer:
        conditions = []
        if expected is not None:
            conditions = [{'table': table, 'part': '', 'Key': key, 'ver': expected}]
        body = {'ExpectedRevision': conditions, 'put': put, 'Delete': drop}
        return await self._call('POST', '/rows-tx', body=body)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
        wait_s: float = 0.0,
    ) -> _Answer:
        data = None if body is None else msgspec.json.encode(body)
        headers = {'Content-Type': 'application/json'} if data is not None else {}
        self.calls += 1
        try:
            async with asyncio.timeout(wait_s + ANSWER_S):
                async with self._open().request(
                    method, self._base_url + path, params=query, data=data, headers=headers
                ) as answer:
                    return self._judge(answer.status, await answer.read(), query)
        except aiohttp.ClientConnectorError:
            raise PlatformUnavailable(STORE) from None
        except (TimeoutError, aiohttp.ClientError, OSError):
            raise PlatformUnknown(STORE) from None

    def _judge(self, status: int, body: bytes, query: dict[str, str] | None) -> _Answer:
        if status == STATUS_HISTORY_GONE:
            raise HistoryGone((query or {}).get('table', ''))
        if status in (429, 503):
            raise PlatformUnavailable(STORE)
        if status not in (200, STATUS_CONDITION):
            raise PlatformUnknown(STORE)
        try:
            answer = _answers.decode(body)
            if status == STATUS_CONDITION:
                raise ConditionFailed(_rows(answer))
        except (msgspec.MsgspecError, ValueError):
            raise PlatformUnknown(STORE) from None
        return answer

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(CONNECT_S, IDLE_S, lasting_socket)
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
