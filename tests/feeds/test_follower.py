"""Following a table: a copy keeps the newest rows, whatever faults the store has."""

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
from limeshelf.util.clock import boottime_s
from standins.users_platform.store import StoreStandIn
from tests.support.positions import make_position
from tests.support.store import with_store


def encoded(value: str) -> str:
    return base64.b64encode(value.encode()).decode()


def test_follower_applies_changes_and_deletions() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.put('t', 'a', encoded('1'))
        applied: list[Row] = []
        copy = TableCopy('t', applied.append)
        task = asyncio.create_task(TableFollower(copy, client).run())
        await _until(lambda: len(applied) == 1)
        store.put('t', 'a', encoded('2'))
        store.drop('t', 'a')
        await _until(lambda: applied[-1].gone)
        assert copy.rows() == []
        task.cancel()

    with_store(scenario)


def test_full_read_follows_dropped_history() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.put('t', 'a', encoded('1'))
        copy = TableCopy('t', lambda row: None)
        follower = TableFollower(copy, client)
        task = asyncio.create_task(follower.run())
        await _until(lambda: follower.has_answered)
        store.faults.status = 503
        store.put('t', 'b', encoded('2'))
        store.drop('t', 'a')
        store.forget_history()
        store.faults.status = 0
        await _until(lambda: [row.key for row in copy.rows()] == ['b'])
        task.cancel()

    with_store(scenario)


def test_failed_call_does_not_lead_to_a_read_of_the_whole_table() -> None:
    class Store:
        def __init__(self) -> None:
            self.calls: list[str] = []

        async def read(self, table: str) -> Page:
            self.calls.append('read')
            return Page((), make_position(1), answered_s=boottime_s())

        async def changes(self, table: str, after: Position, wait_s: float) -> Page:
            self.calls.append('changes')
            await asyncio.sleep(0.01)
            if self.calls.count('changes') == 1:
                raise PlatformUnknown('store')
            return Page((), after, answered_s=boottime_s())

    async def scenario() -> None:
        store: Any = Store()
        task = asyncio.create_task(TableFollower(TableCopy('t', lambda row: None), store).run())
        await _until(lambda: len(store.calls) >= 4)
        task.cancel()
        assert store.calls.count('read') == 1

    asyncio.run(scenario())


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


def test_dropped_history_raises_history_gone() -> None:
    async def scenario(store: StoreStandIn, client: StoreClient) -> None:
        store.put('t', 'a', encoded('1'))
        store.forget_history()
        with pytest.raises(HistoryGone):
            await client.changes('t', BEGINNING, 0.1)

    with_store(scenario)


def test_unresponsive_store_times_out_with_unknown_outcome() -> None:
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
def test_rows_are_never_replaced_by_older_ones(pages: list[tuple[list[Row], int, bool]]) -> None:
    """Full reads and rows of updates are applied in any order, and may be stale."""
    positions: dict[str, Position] = {}

    def check_is_newer(row: Row) -> None:
        assert row.position > positions.get(row.key, BEGINNING)
        positions[row.key] = row.position

    copy = TableCopy('t', check_is_newer)
    for drawn, version, is_full in pages:
        if is_full:
            existing = tuple(
                row for row in drawn if not row.gone and row.position <= make_position(version)
            )
            copy.apply_full_read(Page(existing, make_position(version)))
        else:
            copy.apply_rows(drawn)


async def _until(condition: Any) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)
