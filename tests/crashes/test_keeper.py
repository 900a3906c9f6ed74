"""Which suspects are written to the store, and what comes of rows of others."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import pytest

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes import keeper as keeper_module
from limeshelf.crashes.keeper import QuarantineKeeper
from limeshelf.crashes.rows import QUARANTINE_TABLE, read_value, write_value
from limeshelf.crashes.suspects import NewsSource, ReplicaEnd, Suspects, SuspectState
from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import ConditionFailed, Page, Row
from limeshelf.feeds.table_copy import TableCopy
from tests.support.positions import at

CALL = Fingerprint('aa')
R1, R2, R3 = (ReplicaEnd(name) for name in ('r1', 'r2', 'r3'))


@attrs.define
class Store:
    """Keeps rows as the platform's store does.

    :ivar failures: errors that the next writes raise; after :exc:`PlatformUnknown` it is done.
    """

    rows: dict[str, Row] = attrs.field(factory=dict)
    failures: list[Exception] = attrs.field(factory=list)
    writes: int = 0
    _version: int = 0

    async def write(
        self, table: str, key: str, value: bytes, expected: Position | None
    ) -> Position:
        assert table == QUARANTINE_TABLE
        await asyncio.sleep(0)
        self.writes += 1
        failure = self.failures.pop(0) if self.failures else None
        if isinstance(failure, PlatformUnavailable):
            raise failure
        self._check(key, expected)
        self._version += 1
        self.rows[key] = Row(key, value, at(self._version))
        if failure is not None:
            raise failure
        return at(self._version)

    async def delete(self, table: str, key: str, expected: Position | None) -> None:
        self._check(key, expected)
        del self.rows[key]

    def _check(self, key: str, expected: Position | None) -> None:
        row = self.rows.get(key)
        if (row.position if row is not None else BEGINNING) != expected:
            raise ConditionFailed((row,) if row is not None else ())


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ('WRITE_SPREAD_S', 'RETURN_SPREAD_S', 'RETRY_BASE_S', 'RETRY_LIMIT_S'):
        monkeypatch.setattr(keeper_module, name, 0.0)


def play(store: Store, *suspects: Suspects, note: Any) -> None:
    """Run a keeper for each gateway's suspects while *note* brings news."""

    async def scenario() -> None:
        keepers = [QuarantineKeeper(store, one) for one in suspects]
        tasks = [asyncio.create_task(keeper.run()) for keeper in keepers]
        note(*keepers)
        await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()

    asyncio.run(scenario())


def stored(store: Store) -> SuspectState | None:
    row = store.rows.get(CALL)
    return read_value(row.key, row.value) if row is not None else None


def test_second_end_is_written_by_who_saw_one() -> None:
    store, saw, heard = Store(), Suspects(), Suspects()

    def note(*_: QuarantineKeeper) -> None:
        saw.note_end(CALL, R1)
        assert store.writes == 0
        told = SuspectState(CALL, frozenset({R1, R2}))
        saw.merge(told, NewsSource.PEER)
        heard.merge(told, NewsSource.PEER)

    play(store, saw, heard, note=note)
    state = stored(store)
    assert state is not None and state.ends == {R1, R2}
    assert store.writes == 1


@pytest.mark.parametrize(
    'failures',
    [
        [PlatformUnavailable('store')] * 3,
        [PlatformUnknown('store')],
        [PlatformUnknown('store'), PlatformUnavailable('store')],
    ],
)
def test_write_that_fails_or_is_in_doubt_is_repeated(failures: list[Exception]) -> None:
    store, saw = Store(failures=failures), Suspects()

    def note(*_: QuarantineKeeper) -> None:
        saw.note_end(CALL, R1)
        saw.note_end(CALL, R2)

    play(store, saw, note=note)
    state = stored(store)
    assert state is not None and state.open_count == 2


def test_two_that_write_at_once_lose_nothing() -> None:
    store, first, second = Store(), Suspects(), Suspects()

    def note(*_: QuarantineKeeper) -> None:
        first.note_end(CALL, R1)
        first.note_end(CALL, R2)
        second.note_end(CALL, R2)
        second.note_end(CALL, R3)

    play(store, first, second, note=note)
    state = stored(store)
    assert state is not None and state.ends == {R1, R2, R3}


def test_call_that_is_cleared_is_cleared_in_its_row() -> None:
    store, saw = Store(), Suspects()

    def note(keeper: QuarantineKeeper) -> None:
        state = SuspectState(CALL, frozenset({R1, R2}))
        keeper.take_row(Row(CALL, write_value(state), at(0)))
        saw.note_finished(CALL)

    play(store, saw, note=note)
    state = stored(store)
    assert state is not None and state.open_count == 0


def test_gateway_that_starts_learns_from_the_rows_and_writes_nothing() -> None:
    store, new = Store(), Suspects()

    def note(keeper: QuarantineKeeper) -> None:
        state = SuspectState(CALL, frozenset({R1, R2, R3}))
        assert keeper.take_row(Row(CALL, write_value(state), at(4)))
        assert not keeper.take_row(Row('bb', b'no such row', at(5)))
        assert keeper.take_row(Row(CALL, b'', at(6), gone=True))

    play(store, new, note=note)
    known = new.state_of(CALL)
    assert known is not None and known.open_count == 3
    assert store.writes == 0


def test_oldest_row_gives_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(keeper_module, 'MAX_ROWS', 2)
    store, saw = Store(), Suspects()

    def note(*_: QuarantineKeeper) -> None:
        for number in range(3):
            saw.note_end(Fingerprint(f'c{number}'), R1)
            saw.note_end(Fingerprint(f'c{number}'), R2)

    play(store, saw, note=note)
    assert len(store.rows) == 2


def test_rows_that_the_store_has_lost_are_written_again_by_one() -> None:
    store, first, second = Store(), Suspects(), Suspects()

    def note(*keepers: QuarantineKeeper) -> None:
        state = SuspectState(CALL, frozenset({R1, R2}))
        copy = TableCopy(QUARANTINE_TABLE, lambda row: None)
        row = Row(CALL, write_value(state), at(60, 1))
        copy.apply_full_read(Page((row,), at(60, 1)))
        for keeper in keepers:
            keeper.take_row(row)
        copy.apply_full_read(Page((), at(40, 2)))
        for keeper in keepers:
            keeper.note_return(copy)

    play(store, first, second, note=note)
    state = stored(store)
    assert state is not None and state.ends == {R1, R2}


def test_row_that_the_store_has_as_it_was_before_is_written_again() -> None:
    store, saw = Store(), Suspects()
    store.rows[CALL] = Row(CALL, write_value(SuspectState(CALL, frozenset({R1}))), at(40, 2))

    def note(keeper: QuarantineKeeper) -> None:
        copy = TableCopy(QUARANTINE_TABLE, keeper.take_row)
        state = SuspectState(CALL, frozenset({R1, R2}))
        copy.apply_full_read(Page((Row(CALL, write_value(state), at(60, 1)),), at(60, 1)))
        copy.apply_full_read(Page((store.rows[CALL],), at(41, 2)))
        keeper.note_return(copy)

    play(store, saw, note=note)
    state = stored(store)
    assert state is not None and state.ends == {R1, R2}
