"""Client of the platform's metadata store: conditional writes, reads and the change feed.

Owns the connections to the store and implements the interface in :mod:`limeshelf.feeds.rows`.
Retries nothing: a request that had no effect and one whose effect is unknown raise
different errors. Callers retry the following while the store is unavailable:

* reads and the feed of each table, after a pause (:mod:`limeshelf.feeds.follower`);
* the lease row, with the next step of the holder or a contender
  (:mod:`limeshelf.lease.leadership`); the release during a shutdown is tried only once;
* the row of this gateway, until it is written (:mod:`limeshelf.membership.registration`).
"""

from __future__ import annotations

import enum
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import ConditionFailed, Page, Row
from limeshelf.feeds.store_clock import StoreClock
from limeshelf.metrics.event_log import log_change
from limeshelf.platform.late_calls import LateCalls
from limeshelf.platform.sessions import open_session
from limeshelf.platform.silence import MAX_WRITE_SILENCE_S, Progress
from limeshelf.platform.store_era import ERA_HEADER, StoreEra
from limeshelf.platform.store_messages import (
    STORE,
    UNNAMED_PARTITION,
    Put,
    RowCondition,
    RowKey,
    StoreResponse,
    Transaction,
    decode_rows,
    read_response,
)
from limeshelf.util.clock import MS_PER_S, boottime_s
from limeshelf.util.sockets import keepalive_socket

if TYPE_CHECKING:
    from collections.abc import Callable

#: Timeout for opening a connection; its call counts as late long before.
CONNECT_TIMEOUT_S = 10.0
#: Largest body of an answer; the store's pages have 1 MB.
MAX_ANSWER_BYTES = 16 << 20
#: An idle connection is closed after this time.
KEEPALIVE_S = 20.0


class StoreOperation(enum.StrEnum):
    """Kind of a request to the store, used as a label of its counter."""

    READ = 'read'
    #: Long poll for changes.
    FOLLOW = 'follow'
    WRITE = 'write'


def _ignore_call(operation: StoreOperation, table: str) -> None:
    """Default for clients whose requests are not counted."""


class StoreClient:
    """Implements :class:`limeshelf.feeds.rows.RowStore`, whose errors it raises.

    :param count_call: called with the operation and the table of each request.
    :param clock: updated with the store's time from its responses.
    """

    def __init__(
        self,
        address: str,
        count_call: Callable[[StoreOperation, str], None] = _ignore_call,
        clock: StoreClock | None = None,
    ) -> None:
        self._base_url = f'http://{address}'
        self._count_call = count_call
        self._clock = clock or StoreClock()
        self._era = StoreEra(self._clock.advance_era)
        self._late_calls = LateCalls(STORE)
        self._session: aiohttp.ClientSession | None = None

    def change_address(self, address: str) -> None:
        """Send further requests to another address of the same store."""
        self._base_url = f'http://{address}'
        self._clock.reset_offset_upper_bound()

    async def read(self, table: str) -> Page:
        """Return all rows of *table*.

        Each page is consistent in itself; the position is the lowest of all pages.
        """
        progress = Progress(self._late_calls.limit)
        kind = f'{StoreOperation.READ} {table}'
        return await self._late_calls.wait(self._read(table, progress), progress, kind)

    async def _read(self, table: str, progress: Progress) -> Page:
        rows: list[Row] = []
        position = BEGINNING
        answered_s = 0.0
        as_of_ms = 0
        start = ''
        while True:
            query = {'table': table, 'part': UNNAMED_PARTITION}
            if start:
                query['From'] = start
            sent_s = boottime_s()
            self._count_call(StoreOperation.READ, table)
            response = await self._call('GET', '/rows-get', progress, query)
            page = decode_rows(response, table)
            if response.more and not page:
                # The next page starts after the last readable row of this one, and there is none.
                raise PlatformUnknown(STORE)
            answered_s = answered_s or self._answered_s(sent_s, response)
            as_of_ms = as_of_ms or int(response.now_ms)
            rows.extend(page)
            if start and position.era != response.era:
                # Rows of different eras do not form a consistent table.
                raise PlatformUnknown(STORE)
            position = min(position, response.position) if start else response.position
            if not response.more:
                now_ms = int(response.now_ms)
                return Page(tuple(rows), position, now_ms, answered_s, as_of_ms)
            # The smallest key that sorts after the last one.
            start = page[-1].key + '\0'

    async def changes(self, table: str, after: Position, wait_s: float) -> Page:
        """Return the changes after a position, waiting up to *wait_s* for the first one."""
        progress = Progress(self._late_calls.limit)
        call = self._changes(table, after, wait_s, progress)
        return await self._late_calls.wait(call, progress, f'{StoreOperation.FOLLOW} {table}')

    async def _changes(
        self, table: str, after: Position, wait_s: float, progress: Progress
    ) -> Page:
        query = {'table': table, 'after': str(after.version), 'WaitMs': str(int(wait_s * 1000))}
        sent_s = boottime_s()
        self._count_call(StoreOperation.FOLLOW, table)
        response = await self._call('GET', '/rows-feed', progress, query, wait_s=wait_s)
        answered_s = self._answered_s(sent_s, response)
        now_ms = int(response.now_ms)
        return Page(decode_rows(response, table), response.position, now_ms, answered_s, now_ms)

    def _answered_s(self, sent_s: float, response: StoreResponse) -> float:
        if self._is_from_earlier_era(response):
            return sent_s
        return self._clock.estimate_answer_s(sent_s, boottime_s(), response.now_ms / MS_PER_S)

    def _is_from_earlier_era(self, response: StoreResponse) -> bool:
        """Return whether a response is from an earlier era, whose clock is no longer valid."""
        return self._clock.era is not None and response.era < self._clock.era

    async def write(
        self, table: str, key: str, value: bytes, expected: Position | None
    ) -> Position:
        """Write a row and return the store's position.

        :param expected: position that the row must have, ``BEGINNING`` if it must not exist;
            ``None`` writes unconditionally.
        :raises ConditionFailed: the row has a different position.
        """
        conditions = self._conditions(table, key, expected)
        put = Put(table, UNNAMED_PARTITION, key, value)
        self._count_call(StoreOperation.WRITE, table)
        transaction = Transaction(conditions, put=[put], drop=[])
        response = await self._transact(transaction, f'{StoreOperation.WRITE} {table}')
        return response.position

    def _conditions(self, table: str, key: str, expected: Position | None) -> list[RowCondition]:
        if expected is None:
            return []
        if expected != BEGINNING and self._era.is_superseded(expected.era):
            # After a restore, the same version may belong to another row or to other content.
            raise ConditionFailed
        return [RowCondition(table, UNNAMED_PARTITION, key, expected.version)]

    async def delete(self, table: str, key: str, expected: Position | None) -> None:
        """Delete a row; arguments and errors as for :meth:`write`."""
        conditions = self._conditions(table, key, expected)
        drop = RowKey(table, UNNAMED_PARTITION, key)
        self._count_call(StoreOperation.WRITE, table)
        transaction = Transaction(conditions, put=[], drop=[drop])
        await self._transact(transaction, f'{StoreOperation.WRITE} {table}')

    async def _transact(self, transaction: Transaction, kind: str) -> StoreResponse:
        sent_s = boottime_s()
        progress = Progress(self._late_calls.limit, MAX_WRITE_SILENCE_S)
        call = self._call('POST', '/rows-tx', progress, body=transaction)
        response = await self._late_calls.wait(call, progress, kind)
        if response.now_ms and not self._is_from_earlier_era(response):
            self._clock.record_answer(sent_s, response.now_ms / MS_PER_S)
        return response

    async def _call(
        self,
        method: str,
        path: str,
        progress: Progress,
        query: dict[str, str] | None = None,
        body: Transaction | None = None,
        wait_s: float = 0.0,
    ) -> StoreResponse:
        data = None if body is None else msgspec.json.encode(body)
        headers = {'Content-Type': 'application/json'} if data is not None else {}
        progress.wait_s = wait_s
        progress.begin_request()
        try:
            async with self._get_session().request(
                method,
                self._base_url + path,
                params=query,
                data=data,
                headers=headers,
                trace_request_ctx=progress,
            ) as response:
                progress.record_head()
                era = self._era.observe(response.headers.get(ERA_HEADER))
                received = await _read_body(response, progress)
                return read_response(response.status, received, era, query)
        except aiohttp.ClientConnectorError:
            raise PlatformUnavailable(STORE) from None
        except (TimeoutError, aiohttp.ClientError, OSError):
            raise PlatformUnknown(STORE) from None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(
                CONNECT_TIMEOUT_S,
                KEEPALIVE_S,
                keepalive_socket,
                trace_configs=[_trace_connecting()],
            )
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        self._late_calls.close()
        if self._session is not None:
            await self._session.close()


async def _read_body(response: aiohttp.ClientResponse, progress: Progress) -> bytes:
    body = bytearray()
    async for part in response.content.iter_any():
        progress.record_part()
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            log_change('store_answer_too_large', received_bytes=len(body))
            raise PlatformUnknown(STORE)
    return bytes(body)


def _trace_connecting() -> aiohttp.TraceConfig:
    """Return a configuration that records in a call's progress when a connection is opened."""

    async def begin(_: aiohttp.ClientSession, context: SimpleNamespace, __: Any) -> None:
        context.trace_request_ctx.begin_connecting()

    async def end(_: aiohttp.ClientSession, context: SimpleNamespace, __: Any) -> None:
        context.trace_request_ctx.record_connected()

    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(begin)
    config.on_connection_create_end.append(end)
    return config
