"""When a replica is believed to be there, to leave, and to be gone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator

import pytest

from limeshelf.feeds.rows import Row
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.freshness import REPORT_LIFE_S
from limeshelf.replicas.record import Holding, ReplicaReport
from limeshelf.util.clock import VirtualClock
from tests.support.clock import fake_time
from tests.support.positions import at


@pytest.fixture
def clock() -> Iterator[VirtualClock]:
    with fake_time() as clock:
        yield clock


@pytest.fixture
def directory(clock: VirtualClock) -> ReplicaDirectory:
    return ReplicaDirectory(read_record)


def row(
    replica_id: str = 'r1',
    address: str = '10.0.0.1:1',
    beat: int = 1,
    state: str = 'ready',
    models: tuple[str, ...] = (),
    **others: int,
) -> Row:
    entry = {
        'Service': 's',
        'Address': address,
        'Zone': 'z1',
        'Slots': 4,
        'SeqNo': beat,
        'State': state,
        'Models': [{'Name': name} for name in models],
        **others,
    }
    return Row(replica_id, json.dumps(entry).encode(), at(beat))


def taking_calls(directory: ReplicaDirectory) -> list[str]:
    return [replica.replica_id for replica in directory.of_service('s')]


def test_row_makes_a_replica_and_its_deletion_ends_it(directory: ReplicaDirectory) -> None:
    directory.take_row(row())
    assert taking_calls(directory) == ['r1']
    directory.take_row(Row('r1', b'', at(2), gone=True))
    assert taking_calls(directory) == []
    assert directory.all() == []


def test_first_row_that_states_a_start_is_obeyed_though_its_heartbeats_begin_anew(
    directory: ReplicaDirectory,
) -> None:
    directory.take_row(row(beat=40))
    directory.take_row(row(beat=1, state='draining', born=1_796_297_996_685))
    assert taking_calls(directory) == []


def test_leaving_is_never_taken_back(directory: ReplicaDirectory) -> None:
    directory.take_row(row(beat=1))
    directory.take_row(row(beat=2, state='draining'))
    directory.take_row(row(beat=3))
    assert taking_calls(directory) == []
    assert [replica.replica_id for replica in directory.all()] == ['r1']


def test_replica_that_reports_to_leave_takes_no_calls(directory: ReplicaDirectory) -> None:
    directory.take_row(row())
    directory.take_report('r1', ReplicaReport((), False, 0, leaving=True))
    assert taking_calls(directory) == []


def test_address_belongs_to_the_newest_incarnation(directory: ReplicaDirectory) -> None:
    directory.take_row(row('r1'))
    directory.take_row(row('r2'))
    assert taking_calls(directory) == ['r2']


def test_row_of_a_replica_that_was_taken_for_gone_brings_it_back(
    directory: ReplicaDirectory,
) -> None:
    directory.take_row(row())
    replica = directory.get('r1')
    assert replica is not None
    directory.mark_gone(replica, 'misdirected')
    assert taking_calls(directory) == []
    directory.take_row(row(beat=2))
    assert taking_calls(directory) == ['r1']
    assert directory.get('r1') is not replica


def test_row_that_cannot_be_read_names_no_replica(directory: ReplicaDirectory) -> None:
    directory.take_row(row('r1'))
    directory.take_row(Row('r2', b'no row', at(1)))
    assert taking_calls(directory) == ['r1']
    directory.take_row(Row('r1', b'no row', at(2)))
    assert taking_calls(directory) == []


def test_report_goes_before_heartbeats_while_it_is_new(
    directory: ReplicaDirectory, clock: VirtualClock
) -> None:
    directory.take_row(row(models=('m1',)))
    directory.take_report('r1', ReplicaReport((Holding('m2'),), False, 1))
    directory.take_row(row(beat=2, models=('m1',)))
    replica = directory.get('r1')
    assert replica is not None
    assert replica.holds('m2') and not replica.holds('m1')
    clock.advance(REPORT_LIFE_S + 0.1)
    directory.take_row(row(beat=1, models=('m3',)))
    assert replica.holds('m2')
    directory.take_row(row(beat=3, models=('m1',)))
    assert replica.holds('m1')


def test_late_report_is_left_out(directory: ReplicaDirectory) -> None:
    directory.take_row(row())
    directory.take_report('r1', ReplicaReport((Holding('m2'),), False, 2))
    directory.take_report('r1', ReplicaReport((), False, 1))
    replica = directory.get('r1')
    assert replica is not None and replica.holds('m2')
    directory.take_report('r1', ReplicaReport((), False, 1), settled=True)
    assert not replica.holds('m2')


def test_change_wakes_who_waits(directory: ReplicaDirectory) -> None:
    async def play() -> None:
        waiting = asyncio.create_task(directory.wait_for_change(30.0))
        await asyncio.sleep(0)
        directory.take_row(row())
        await waiting

    asyncio.run(play())
