"""Selection of a replica for a model call."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from limeshelf.calls.routes import EngineSpec
from limeshelf.demand.keys import ModelKey
from limeshelf.demand.prefill_speed import PrefillSpeed
from limeshelf.dispatch.granted_load import GrantedPrefill
from limeshelf.dispatch.limits import Occupancy
from limeshelf.dispatch.messages import DispatchQuery
from limeshelf.dispatch.requests import QueuedRequest
from limeshelf.dispatch.selector import HolderSelector, call_cost
from limeshelf.membership.member import LOCAL
from limeshelf.platform.replicas import read_record
from limeshelf.replicas.directory import ReplicaDirectory
from limeshelf.replicas.health import Failure
from limeshelf.replicas.record import Holding, ReplicaRecord
from limeshelf.replicas.replica import Replica
from limeshelf.util.clock import VirtualClock, boottime_s, virtual_clock

ENGINE = EngineSpec(4, 20000, 100.0, 4, 1.0, {}, 2)


@pytest.fixture(autouse=True)
def clock() -> Iterator[VirtualClock]:
    with virtual_clock() as made:
        yield made


def selector_of(*data_centres: str) -> HolderSelector:
    directory = ReplicaDirectory(read_record)
    for number, data_centre in enumerate(data_centres):
        record = ReplicaRecord(
            f'r{number}', 'lm', f'ip:{number}', data_centre, 4, False, None, (Holding('m'),), 1
        )
        directory.apply_record(record)
    return HolderSelector(directory, PrefillSpeed(), lambda data_centre: LOCAL, 'z1')


def replica(selector: HolderSelector, replica_id: str) -> Replica:
    found = selector._directory.get(replica_id)
    assert found is not None
    return found


def chosen(selector: HolderSelector, requester: str = LOCAL, **changes: Any) -> str | None:
    fields: dict[str, Any] = {
        'ticket_id': 'a',
        'key': ModelKey('lm', 'm'),
        'prompt_tokens': 1000,
        'likely_tokens': 100,
        'priority': 1,
        'objective_ms': 1000,
        'left_ms': 5000,
        'pause_ms': 300,
        'data_centre': 'z1',
        'parts': [],
        'excluded': [],
        **changes,
    }
    request = QueuedRequest.from_query(DispatchQuery(**fields), requester, boottime_s())
    made = selector.choose(request, ENGINE)
    return made.replica_id if made is not None else None


def test_cost_adds_prefill_calls_and_memory() -> None:
    occupancy = Occupancy(calls=1, tokens=500, slots=4, memory_tokens=1000)
    assert call_cost(60.0, 300, occupancy) == pytest.approx(0.2 + 0.25 + 0.5)


def test_own_data_centre_goes_first() -> None:
    selector = selector_of('z2', 'z1')
    assert chosen(selector) == 'r1'
    assert chosen(selector, data_centre='z2') == 'r0'


def test_least_loaded_replica_goes_first() -> None:
    selector = selector_of('z1', 'z1')
    replica(selector, 'r0').own_load.calls = 1
    assert chosen(selector) == 'r1'


def test_suspended_replica_is_selected_only_if_all_are() -> None:
    selector = selector_of('z1', 'z1')
    replica(selector, 'r1').own_load.calls = 3
    replica(selector, 'r0').health.record_failure(Failure.NO_CONNECTION)
    assert chosen(selector) == 'r1'
    replica(selector, 'r1').health.record_failure(Failure.NO_CONNECTION)
    assert chosen(selector) == 'r0'


def test_replica_that_falls_over_from_rejections_keeps_a_slot_free() -> None:
    selector = selector_of('z1')
    limited = replica(selector, 'r0')
    limited.own_load.calls = 3
    assert chosen(selector) == 'r0'
    limited.backpressure.rejections.record(4.0, boottime_s())
    assert chosen(selector) is None


def test_full_replica_is_not_selected() -> None:
    selector = selector_of('z1')
    replica(selector, 'r0').own_load.calls = 4
    assert chosen(selector) is None


def test_only_holders_that_are_not_excluded_count() -> None:
    selector = selector_of('z1', 'z1')
    assert chosen(selector, excluded=['r0']) == 'r1'
    assert chosen(selector, key=ModelKey('lm', 'other')) is None


def test_other_gateways_are_granted_the_replicas_of_this_data_centre_alone() -> None:
    selector = selector_of('z2', 'z1')
    assert chosen(selector, requester='peer', data_centre='z2') == 'r1'
    assert chosen(selector_of('z2'), requester='peer') is None


def test_replica_of_another_owner_is_granted_only_part_of_its_prefill_capacity() -> None:
    """A prompt that the owner would admit exceeds the fallback share."""
    for owner, second in ((LOCAL, 'r0'), ('g1', None)):
        selector = selector_of('z1')
        selector._owner_of = lambda data_centre, owner=owner: owner  # type: ignore[misc]
        load = selector.load_of(replica(selector, 'r0'))
        load._history.append(GrantedPrefill(boottime_s(), 60.0))
        assert chosen(selector) == second
