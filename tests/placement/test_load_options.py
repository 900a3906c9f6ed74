"""Where a model could be loaded now, and how soon it would be ready there."""

from __future__ import annotations

import math

from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement.copy_values import CopyValues
from limeshelf.placement.load_options import (
    BUSY_UNLOAD_S,
    LoadOption,
    load_options,
    local_ready_in_s,
    predicted_ready_in_s,
)
from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView
from tests.placement.builders import busy, engine, replica


def options(
    replicas: list[ReplicaView], store_allowed: bool = True, **demands: ModelDemand
) -> dict[str, LoadOption]:
    snapshot = PlacementSnapshot.capture(engine(), demands, replicas)
    found = load_options('rare', snapshot, CopyValues(snapshot, {}, {}), store_allowed)
    return {option.replica.replica_id: option for option in found}


def test_load_time_depends_on_the_tier_of_the_weights() -> None:
    disk, memory = replica('disk'), replica('memory')
    disk.on_disk = memory.in_memory = frozenset({'rare'})
    found = options([replica('store'), disk, memory])
    spec = engine().models['rare']
    assert found['store'].load_s == spec.load_s
    assert found['disk'].load_s == spec.disk_load_s
    assert found['memory'].load_s == spec.warm_load_s
    assert [option.from_store for option in found.values()] == [True, False, False]


def test_unload_of_a_copy_that_answers_calls_comes_first() -> None:
    idle = replica('idle', 'hot', 'other')
    answering = replica('answering', 'hot', 'big')
    found = options([idle, answering], hot=busy(4), big=busy(4))
    assert found['idle'].eviction.models == ('other',)
    assert found['idle'].ready_in_s == found['idle'].load_s
    assert found['answering'].ready_in_s == found['answering'].load_s + BUSY_UNLOAD_S


def test_replicas_that_cannot_load_are_left_out() -> None:
    occupied = replica('occupied', is_idle=False)
    holder = replica('holder', 'rare')
    assert options([occupied, holder]) == {}
    assert options([replica('store')], store_allowed=False) == {}


def occupied(name: str, free_in_s: float, *on_disk: str) -> ReplicaView:
    """Return a replica that is loading a model for that much longer, with weights on its disk."""
    one = replica(name, 'hot', is_idle=False)
    one.loading = {'big'}
    one.free_in_s = free_in_s
    one.on_disk = frozenset(on_disk)
    return one


def survey_of(*replicas: ReplicaView) -> PlacementSnapshot:
    return PlacementSnapshot.capture(engine(), {}, list(replicas))


def test_busy_replica_loads_its_local_weights_after_its_current_load() -> None:
    disk_load_s = engine().models['rare'].disk_load_s
    snapshot = survey_of(occupied('r1', 3.0, 'rare'), occupied('r2', 1.0, 'rare'), replica('r3'))
    assert local_ready_in_s('rare', snapshot) == 1.0 + disk_load_s
    assert local_ready_in_s('other', snapshot) == math.inf


def test_models_that_wait_for_one_replica_are_loaded_in_sequence() -> None:
    snapshot = survey_of(occupied('r1', 2.0, 'rare', 'other'))
    values = CopyValues(snapshot, {}, {})
    disk_load_s = engine().models['rare'].disk_load_s
    assert predicted_ready_in_s(['rare', 'other', 'small'], snapshot, values) == {
        'rare': 2.0 + disk_load_s,
        'other': 2.0 + 2 * disk_load_s,
    }
