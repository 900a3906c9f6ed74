"""Writing suspects to the quarantine table, and merging the rows of other gateways."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import pytest

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes import quarantine_sync as sync_module
from limeshelf.crashes.quarantine_sync import QuarantineSync
from limeshelf.crashes.rows import QUARANTINE_TABLE, decode_value, encode_value
from limeshelf.crashes.suspects import ReplicaCrash, Suspects, SuspectState, UpdateSource
from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import ConditionFailed, Page, Row
from limeshelf.feeds.table_copy import TableCopy
from tests.support.positions import make_position

CALL = Fingerprint('aa')
R1, R2, R3 = (ReplicaCrash(name) for name in ('r1', 'r2', 'r3'))


@attrs.define
class Store:
    """Fake of the platform's store.

    :ivar failures: errors that the next writes raise; :exc:`PlatformUnknown` after the write was
        applied.
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
        self.rows[key] = Row(key, value, make_position(self._version))
        if failure is not None:
            raise failure
        return make_position(self._version)

    async def delete(self, table: str, key: str, expected: Position | None) -> None:
        self._check(key, expected)
        del self.rows[key]

    def _check(self, key: str, expected: Position | None) -> None:
        row = self.rows.get(key)
        if (row.position if row is not None else BEGINNING) != expected:
            raise ConditionFailed((row,) if row is not None else ())


@pytest.fixture(autouse=True)
def no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ('WRITE_JITTER_S', 'REWRITE_JITTER_S', 'RETRY_BASE_S', 'RETRY_LIMIT_S'):
        monkeypatch.setattr(sync_module, name, 0.0)


def run_syncs(store: Store, *suspects: Suspects, update: Any) -> None:
    """Run a sync task for the suspects of each gateway, and call *update* with the objects."""

    async def scenario() -> None:
        syncs = [QuarantineSync(store, one) for one in suspects]
        tasks = [asyncio.create_task(sync.run()) for sync in syncs]
        update(*syncs)
        await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()

    asyncio.run(scenario())


def stored(store: Store) -> SuspectState | None:
    row = store.rows.get(CALL)
    return decode_value(row.key, row.value) if row is not None else None


def test_second_crash_is_written_by_the_gateway_that_observed_one() -> None:
    store, observer, receiver = Store(), Suspects(), Suspects()

    def update(*_: QuarantineSync) -> None:
        observer.record_crash(CALL, R1)
        assert store.writes == 0
        received = SuspectState(CALL, frozenset({R1, R2}))
        observer.merge(received, UpdateSource.PEER)
        receiver.merge(received, UpdateSource.PEER)

    run_syncs(store, observer, receiver, update=update)
    state = stored(store)
    assert state is not None and state.crashes == {R1, R2}
    assert store.writes == 1


@pytest.mark.parametrize(
    'failures',
    [
        [PlatformUnavailable('store')] * 3,
        [PlatformUnknown('store')],
        [PlatformUnknown('store'), PlatformUnavailable('store')],
    ],
)
def test_write_with_failed_or_unknown_outcome_is_retried(failures: list[Exception]) -> None:
    store, observer = Store(failures=failures), Suspects()

    def update(*_: QuarantineSync) -> None:
        observer.record_crash(CALL, R1)
        observer.record_crash(CALL, R2)

    run_syncs(store, observer, update=update)
    state = stored(store)
    assert state is not None and state.crash_count == 2


def test_concurrent_writes_of_two_gateways_are_merged() -> None:
    store, first, second = Store(), Suspects(), Suspects()

    def update(*_: QuarantineSync) -> None:
        first.record_crash(CALL, R1)
        first.record_crash(CALL, R2)
        second.record_crash(CALL, R2)
        second.record_crash(CALL, R3)

    run_syncs(store, first, second, update=update)
    state = stored(store)
    assert state is not None and state.crashes == {R1, R2, R3}


def test_cleared_call_is_cleared_in_its_row() -> None:
    store, observer = Store(), Suspects()

    def update(sync: QuarantineSync) -> None:
        state = SuspectState(CALL, frozenset({R1, R2}))
        sync.apply_row(Row(CALL, encode_value(state), make_position(0)))
        observer.record_completion(CALL)

    run_syncs(store, observer, update=update)
    state = stored(store)
    assert state is not None and state.crash_count == 0


def test_starting_gateway_reads_the_rows_and_writes_none() -> None:
    store, new = Store(), Suspects()

    def update(sync: QuarantineSync) -> None:
        state = SuspectState(CALL, frozenset({R1, R2, R3}))
        assert sync.apply_row(Row(CALL, encode_value(state), make_position(4)))
        assert not sync.apply_row(Row('bb', b'no such row', make_position(5)))
        assert sync.apply_row(Row(CALL, b'', make_position(6), gone=True))

    run_syncs(store, new, update=update)
    known = new.state_of(CALL)
    assert known is not None and known.crash_count == 3
    assert store.writes == 0


def test_oldest_row_is_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sync_module, 'MAX_ROWS', 2)
    store, observer = Store(), Suspects()

    def update(*_: QuarantineSync) -> None:
        for number in range(3):
            observer.record_crash(Fingerprint(f'c{number}'), R1)
            observer.record_crash(Fingerprint(f'c{number}'), R2)

    run_syncs(store, observer, update=update)
    assert len(store.rows) == 2


def test_rows_lost_by_the_store_are_written_again() -> None:
    store, first, second = Store(), Suspects(), Suspects()

    def update(*syncs: QuarantineSync) -> None:
        state = SuspectState(CALL, frozenset({R1, R2}))
        copy = TableCopy(QUARANTINE_TABLE, lambda row: None)
        row = Row(CALL, encode_value(state), make_position(60, 1))
        copy.apply_full_read(Page((row,), make_position(60, 1)))
        for sync in syncs:
            sync.apply_row(row)
        copy.apply_full_read(Page((), make_position(40, 2)))
        for sync in syncs:
            sync.rewrite_lost_rows(copy)

    run_syncs(store, first, second, update=update)
    state = stored(store)
    assert state is not None and state.crashes == {R1, R2}


def test_row_that_the_store_reverted_is_written_again() -> None:
    store, observer = Store(), Suspects()
    store.rows[CALL] = Row(
        CALL, encode_value(SuspectState(CALL, frozenset({R1}))), make_position(40, 2)
    )

    def update(sync: QuarantineSync) -> None:
        copy = TableCopy(QUARANTINE_TABLE, sync.apply_row)
        state = SuspectState(CALL, frozenset({R1, R2}))
        copy.apply_full_read(
            Page((Row(CALL, encode_value(state), make_position(60, 1)),), make_position(60, 1))
        )
        copy.apply_full_read(Page((store.rows[CALL],), make_position(41, 2)))
        sync.rewrite_lost_rows(copy)

    run_syncs(store, observer, update=update)
    state = stored(store)
    assert state is not None and state.crashes == {R1, R2}
