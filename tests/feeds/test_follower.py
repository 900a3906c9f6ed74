"""Following a table: newest wins, nothing goes back, whatever the store does."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import ConditionFailed, HistoryGone, Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.platform.store import StoreClient
from standins.users_platform.store import StoreStandIn
from tests.support.positions import make_position


def text(value: str) -> str:
    return base64.b64encode(value.encode()).decode()


def with_store(scenario: Any) -> None:
    async def run() -> None:
        store = StoreStandIn()
        client = StoreClient(await store.start())
        try:
            await scenario(store, client)
        finally:
            await client.close()
            await store.close()

    asyncio.run(run())


def test_feed_brings_changes_and_deletions() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.put('t', 'a', text('1'))
        taken: list[Row] = []
        copy = TableCopy('t', taken.append)
        task = asyncio.create_task(TableFollower(copy, client).run())
        await _until(lambda: len(taken) == 1)
        store.put('t', 'a', text('2'))
        store.drop('t', 'a')
        await _until(lambda: taken[-1].gone)
        assert copy.rows() == []
        task.cancel()

    with_store(scenario)


def test_dropped_history_is_read_whole() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.put('t', 'a', text('1'))
        copy = TableCopy('t', lambda row: None)
        follower = TableFollower(copy, client)
        task = asyncio.create_task(follower.run())
        await _until(lambda: follower.reached)
        store.faults.status = 503
        store.put('t', 'b', text('2'))
        store.drop('t', 'a')
        store.forget_history()
        store.faults.status = 0
        await _until(lambda: [row.key for row in copy.rows()] == ['b'])
        task.cancel()

    with_store(scenario)


def test_lost_answer_is_unknown_and_refusal_is_not() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.faults.lose_answers = True
        with pytest.raises(PlatformUnknown):
            await client.write('t', 'a', b'1', BEGINNING)
        store.faults.lose_answers = False
        page = await client.read('t')
        assert [row.value for row in page.rows] == [b'1']
        with pytest.raises(ConditionFailed) as failed:
            await client.write('t', 'a', b'2', BEGINNING)
        assert failed.value.rows[0].value == b'1'
        store.faults.status = 429
        with pytest.raises(PlatformUnavailable):
            await client.write('t', 'a', b'3', None)

    with_store(scenario)


def test_history_gone_has_a_type() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.put('t', 'a', text('1'))
        store.forget_history()
        with pytest.raises(HistoryGone):
            await client.changes('t', BEGINNING, 0.1)

    with_store(scenario)


def test_silent_store_gives_an_unknown_outcome_in_bounded_time() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.faults.silent = True
        async with asyncio.timeout(5):
            with pytest.raises(PlatformUnknown):
                await client.read('t')

    with_store(scenario)


rows = st.builds(
    Row,
    key=st.sampled_from('abc'),
    value=st.binary(max_size=2),
    position=st.builds(make_position, st.integers(1, 30)),
    gone=st.booleans(),
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(pages=st.lists(st.tuples(st.lists(rows, max_size=4), st.integers(1, 30), st.booleans())))
def test_rows_never_go_back(pages: list[tuple[list[Row], int, bool]]) -> None:
    """Full pages, feeds and peers' updates come in any order and may be stale."""
    positions: dict[str, Position] = {}

    def newer(row: Row) -> None:
        assert row.position > positions.get(row.key, BEGINNING)
        positions[row.key] = row.position

    copy = TableCopy('t', newer)
    for found, version, whole in pages:
        if whole:
            there = tuple(
                row for row in found if not row.gone and row.position <= make_position(version)
            )
            copy.take_full(Page(there, make_position(version)))
        else:
            copy.take(found)


async def _until(met: Any) -> None:
    async with asyncio.timeout(5):
        while not met():
            await asyncio.sleep(0.01)
