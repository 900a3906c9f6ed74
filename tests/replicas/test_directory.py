"""When the directory treats a replica as available, leaving or gone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator

import pytest

from limeshelf.feeds.rows import Row
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.freshness import REPORT_VALID_S
from limeshelf.replicas.record import Holding, ReplicaReport
from limeshelf.util.clock import VirtualClock
from tests.support.clock import fake_time
from tests.support.positions import make_position


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
    return Row(replica_id, json.dumps(entry).encode(), make_position(beat))


def available(directory: ReplicaDirectory) -> list[str]:
    return [replica.replica_id for replica in directory.of_service('s')]


def test_row_adds_a_replica_and_its_deletion_removes_it(directory: ReplicaDirectory) -> None:
    directory.apply_row(row())
    assert available(directory) == ['r1']
    directory.apply_row(Row('r1', b'', make_position(2), gone=True))
    assert available(directory) == []
    assert directory.all() == []


def test_first_row_with_a_start_time_is_applied_despite_a_lower_heartbeat_number(
    directory: ReplicaDirectory,
) -> None:
    directory.apply_row(row(beat=40))
    directory.apply_row(row(beat=1, state='draining', born=1_796_297_996_685))
    assert available(directory) == []


def test_leaving_is_never_withdrawn(directory: ReplicaDirectory) -> None:
    directory.apply_row(row(beat=1))
    directory.apply_row(row(beat=2, state='draining'))
    directory.apply_row(row(beat=3))
    assert available(directory) == []
    assert [replica.replica_id for replica in directory.all()] == ['r1']


def test_replica_whose_report_announces_leaving_gets_no_calls(directory: ReplicaDirectory) -> None:
    directory.apply_row(row())
    directory.apply_report('r1', ReplicaReport((), False, 0, leaving=True))
    assert available(directory) == []


def test_address_belongs_to_the_replica_whose_row_arrived_last(
    directory: ReplicaDirectory,
) -> None:
    directory.apply_row(row('r1'))
    directory.apply_row(row('r2'))
    assert available(directory) == ['r2']


@pytest.mark.parametrize('shown_by', ['row', 'answer'])
def test_living_replica_is_used_again_after_a_late_row_of_a_dead_start_at_its_address(
    directory: ReplicaDirectory, shown_by: str
) -> None:
    directory.apply_row(row('r1'))
    directory.apply_row(row('r2'))
    directory.apply_row(Row('r1', b'', make_position(3), gone=True))
    directory.apply_row(row('r1', beat=2))
    assert available(directory) == ['r1']
    if shown_by == 'row':
        directory.apply_row(Row('r1', b'', make_position(5), gone=True))
    else:
        dead = directory.get('r1')
        assert dead is not None
        directory.mark_gone(dead, 'misdirected')
    assert available(directory) == ['r2']


def test_row_of_a_replica_marked_as_gone_adds_it_again(
    directory: ReplicaDirectory,
) -> None:
    directory.apply_row(row())
    replica = directory.get('r1')
    assert replica is not None
    directory.mark_gone(replica, 'misdirected')
    assert available(directory) == []
    directory.apply_row(row(beat=2))
    assert available(directory) == ['r1']
    assert directory.get('r1') is not replica


def test_replica_with_an_invalid_row_gets_no_calls(directory: ReplicaDirectory) -> None:
    directory.apply_row(row('r1'))
    directory.apply_row(Row('r2', b'no row', make_position(1)))
    assert available(directory) == ['r1']
    directory.apply_row(Row('r1', b'no row', make_position(2)))
    assert available(directory) == []


def test_report_takes_precedence_over_heartbeats_while_it_is_valid(
    directory: ReplicaDirectory, clock: VirtualClock
) -> None:
    directory.apply_row(row(models=('m1',)))
    directory.apply_report('r1', ReplicaReport((Holding('m2'),), False, 1))
    directory.apply_row(row(beat=2, models=('m1',)))
    replica = directory.get('r1')
    assert replica is not None
    assert replica.holds('m2') and not replica.holds('m1')
    clock.advance(REPORT_VALID_S + 0.1)
    directory.apply_row(row(beat=1, models=('m3',)))
    assert replica.holds('m2')
    directory.apply_row(row(beat=3, models=('m1',)))
    assert replica.holds('m1')


def test_late_report_is_ignored(directory: ReplicaDirectory) -> None:
    directory.apply_row(row())
    directory.apply_report('r1', ReplicaReport((Holding('m2'),), False, 2))
    directory.apply_report('r1', ReplicaReport((), False, 1))
    replica = directory.get('r1')
    assert replica is not None and replica.holds('m2')
    directory.apply_report('r1', ReplicaReport((), False, 1), no_recent_orders=True)
    assert not replica.holds('m2')


def test_change_wakes_waiting_tasks(directory: ReplicaDirectory) -> None:
    async def scenario() -> None:
        waiting = asyncio.create_task(directory.wait_for_change(30.0))
        await asyncio.sleep(0)
        directory.apply_row(row())
        await waiting

    asyncio.run(scenario())
