"""Selection of a replica for a plain call."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from limeshelf.calls.routes import EngineSpec, ServiceSpec
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.health import Failure
from limeshelf.replicas.record import ReplicaRecord, ReplicaReport
from limeshelf.replicas.replica import Replica
from limeshelf.routing.plain_selector import QUEUE_REPORT_TTL_S, PlainLoad, PlainReplicaSelector
from limeshelf.util.clock import VirtualClock, virtual_clock

WEB = ServiceSpec('web', 50, None)
MODELS = ServiceSpec('web', 50, EngineSpec(4, 20000, 100.0, 4, 1.0, {}, 2))


@pytest.fixture
def clock() -> Iterator[VirtualClock]:
    with virtual_clock() as made:
        yield made


def directory_of(*data_centres: str) -> ReplicaDirectory:
    directory = ReplicaDirectory(read_record)
    for number, data_centre in enumerate(data_centres):
        directory.apply_record(
            ReplicaRecord(f'r{number}', 'web', f'ip:{number}', data_centre, 4, False, None, (), 1)
        )
    return directory


def replica(directory: ReplicaDirectory, replica_id: str) -> Replica:
    found = directory.get(replica_id)
    assert found is not None
    return found


def chosen(directory: ReplicaDirectory, service: ServiceSpec = WEB, *excluded: str) -> set[str]:
    """Return the replicas selected in 40 consecutive choices."""
    selector = PlainReplicaSelector(directory, 'z1')
    selected = [selector.choose(service, frozenset(excluded)) for _ in range(40)]
    return {replica.replica_id for replica in selected if replica is not None}


def test_cost_is_the_higher_of_slots_and_memory_plus_the_queue() -> None:
    assert PlainLoad(calls=1, slots=4).cost == 0.25
    assert PlainLoad(calls=1, slots=4, memory_share=0.5).cost == 0.5
    assert PlainLoad(calls=1, slots=4, memory_share=0.5, queued=2).cost == 1.0
    assert PlainLoad(calls=2, slots=0).cost == 2.0


def test_equally_loaded_replicas_share_the_calls(clock: VirtualClock) -> None:
    assert chosen(directory_of('z1', 'z1')) == {'r0', 'r1'}


def test_least_loaded_replica_goes_first(clock: VirtualClock) -> None:
    directory = directory_of('z1', 'z1')
    replica(directory, 'r0').own_load.calls = 1
    assert chosen(directory) == {'r1'}


def test_own_data_centre_is_preferred_at_equal_load(clock: VirtualClock) -> None:
    directory = directory_of('z1', 'z2')
    assert chosen(directory) == {'r0'}
    replica(directory, 'r0').own_load.calls = 1
    assert chosen(directory) == {'r1'}


def test_suspended_replica_is_tried_only_when_all_are(clock: VirtualClock) -> None:
    directory = directory_of('z1', 'z1')
    replica(directory, 'r0').own_load.calls = 4
    replica(directory, 'r1').health.record_failure(Failure.NO_CONNECTION)
    assert chosen(directory) == {'r0'}
    assert chosen(directory, WEB, 'r0') == {'r1'}


def test_no_replica_if_all_are_excluded(clock: VirtualClock) -> None:
    assert chosen(directory_of('z1'), WEB, 'r0') == set()


def test_reported_queue_counts_until_the_report_expires(clock: VirtualClock) -> None:
    directory = directory_of('z1', 'z1')
    directory.apply_report('r0', ReplicaReport((), False, 0, queued=3))
    assert chosen(directory, MODELS) == {'r1'}
    clock.advance(QUEUE_REPORT_TTL_S + 0.1)
    assert chosen(directory, MODELS) == {'r0', 'r1'}
