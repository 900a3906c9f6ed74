"""The platform's metadata store: rows under conditions, and the feed of their changes.

Owns the connections to the store. Relies on the port in :mod:`limeshelf.feeds.rows`.
Retries nothing: a call that had no effect and one whose effect is unknown raise
different errors. What its callers send again while the store is away:

* reads and the feed of each table, after a pause (:mod:`limeshelf.feeds.follower`);
* the lease's row, with the next step of a holder or contender
  (:mod:`limeshelf.lease.leadership`); giving it back at a stop is tried once;
* this gateway's own row, until it is written (:mod:`limeshelf.membership.registration`).
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import ConditionFailed, Page, Row
from limeshelf.feeds.store_clock import StoreClock
from limeshelf.platform.sessions import open_session
from limeshelf.platform.store_era import ERA_HEADER, StoreEra
from limeshelf.platform.store_forms import (
    NO_PART,
    STORE,
    Put,
    RowCondition,
    RowKey,
    StoreAnswer,
    Transaction,
    read_answer,
    rows_of,
)
from limeshelf.util.clock import MS_PER_S, boottime_s
from limeshelf.util.sockets import keepalive_socket

if TYPE_CHECKING:
    from collections.abc import Callable

#: Longest wait for an answer, beyond what the call itself waits for.
ANSWER_S = 1.2
#: Longest time for a new connection.
CONNECT_S = 0.6
#: An unused connection is closed after this time.
IDLE_S = 20.0


class StoreOperation(enum.StrEnum):
    """What a call to the store does, as the label of its counter."""

    READ = 'read'
    #: Waits for changes.
    FOLLOW = 'follow'
    WRITE = 'write'


def _count_nothing(operation: StoreOperation, table: str) -> None:
    """Stand for a counter where nobody counts."""


class StoreClient:
    """Implements :class:`limeshelf.feeds.rows.RowStore`, whose errors it raises.

    :param count_call: called with the operation and the table of each call.
    :param clock: learns from each answer how the store's clock stands.
    """

    def __init__(
        self,
        address: str,
        count_call: Callable[[StoreOperation, str], None] = _count_nothing,
        clock: StoreClock | None = None,
    ) -> None:
        self._base_url = f'http://{address}'
        self._count_call = count_call
        self._clock = clock or StoreClock()
        self._era = StoreEra(self._clock.advance_era)
        self._session: aiohttp.ClientSession | None = None

    def change_address(self, address: str) -> None:
        """Send the next calls to another address of the same store."""
        self._base_url = f'http://{address}'
        self._clock.reset_offset_upper_bound()

    async def read(self, table: str) -> Page:
        """Return all rows of *table* as of one moment of each page."""
        rows: list[Row] = []
        position = BEGINNING
        answered_s = 0.0
        as_of_ms = 0
        start = ''
        while True:
            query = {'table': table, 'part': NO_PART}
            if start:
                query['From'] = start
            asked_s = boottime_s()
            self._count_call(StoreOperation.READ, table)
            answer = await self._call('GET', '/rows-get', query)
            page = rows_of(answer, table)
            if answer.more and not page:
                # Nothing says where the next page begins.
                raise PlatformUnknown(STORE)
            answered_s = answered_s or self._answered_s(asked_s, answer)
            as_of_ms = as_of_ms or int(answer.now_ms)
            rows.extend(page)
            if start and position.era != answer.era:
                # Rows of two eras are no table.
                raise PlatformUnknown(STORE)
            position = min(position, answer.position) if start else answer.position
            if not answer.more:
                now_ms = int(answer.now_ms)
                return Page(tuple(rows), position, now_ms, answered_s, as_of_ms)
            # The least key behind the last one.
            start = page[-1].key + '\0'

    async def changes(self, table: str, after: Position, wait_s: float) -> Page:
        """Return what changed after a position, as soon as something has."""
        query = {'table': table, 'after': str(after.version), 'WaitMs': str(int(wait_s * 1000))}
        asked_s = boottime_s()
        self._count_call(StoreOperation.FOLLOW, table)
        answer = await self._call('GET', '/rows-feed', query, wait_s=wait_s)
        answered_s = self._answered_s(asked_s, answer)
        now_ms = int(answer.now_ms)
        return Page(rows_of(answer, table), answer.position, now_ms, answered_s, now_ms)

    def _answered_s(self, asked_s: float, answer: StoreAnswer) -> float:
        if self._is_of_before(answer):
            return asked_s
        return self._clock.estimate_answer_s(asked_s, boottime_s(), answer.now_ms / MS_PER_S)

    def _is_of_before(self, answer: StoreAnswer) -> bool:
        """Return whether an answer is of an earlier era, whose clock says nothing any more."""
        return self._clock.era is not None and answer.era < self._clock.era

    async def write(
        self, table: str, key: str, value: bytes, expected: Position | None
    ) -> Position:
        """Write a row and return the store's position.

        :param expected: position that the row must have, ``BEGINNING`` for no row; ``None``
            writes whatever there is.
        :raises ConditionFailed: the row has another position.
        """
        conditions = self._conditions(table, key, expected)
        put = Put(table, NO_PART, key, value)
        self._count_call(StoreOperation.WRITE, table)
        answer = await self._transact(Transaction(conditions, put=[put], drop=[]))
        return answer.position

    def _conditions(self, table: str, key: str, expected: Position | None) -> list[RowCondition]:
        if expected is None:
            return []
        if expected != BEGINNING and self._era.is_over(expected.era):
            # The version that the row had may be another row's, or another content's, by now.
            raise ConditionFailed
        return [RowCondition(table, NO_PART, key, expected.version)]

    async def delete(self, table: str, key: str, expected: Position | None) -> None:
        """Delete a row; arguments and errors as for :meth:`write`."""
        conditions = self._conditions(table, key, expected)
        drop = RowKey(table, NO_PART, key)
        self._count_call(StoreOperation.WRITE, table)
        await self._transact(Transaction(conditions, put=[], drop=[drop]))

    async def _transact(self, transaction: Transaction) -> StoreAnswer:
        asked_s = boottime_s()
        answer = await self._call('POST', '/rows-tx', body=transaction)
        if answer.now_ms and not self._is_of_before(answer):
            self._clock.record_answer(asked_s, answer.now_ms / MS_PER_S)
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Transaction | None = None,
        wait_s: float = 0.0,
    ) -> StoreAnswer:
        data = None if body is None else msgspec.json.encode(body)
        headers = {'Content-Type': 'application/json'} if data is not None else {}
        try:
            async with asyncio.timeout(wait_s + ANSWER_S):
                async with self._open().request(
                    method, self._base_url + path, params=query, data=data, headers=headers
                ) as answer:
                    era = self._era.note(answer.headers.get(ERA_HEADER))
                    return read_answer(answer.status, await answer.read(), era, query)
        except aiohttp.ClientConnectorError:
            raise PlatformUnavailable(STORE) from None
        except (TimeoutError, aiohttp.ClientError, OSError):
            raise PlatformUnknown(STORE) from None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(CONNECT_S, IDLE_S, keepalive_socket)
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
