"""Which copies are evicted to make room for a model."""

from __future__ import annotations

from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement.copy_values import CopyValues
from limeshelf.placement.eviction import Eviction, choose_eviction
from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView
from tests.placement.builders import busy, engine, rare_calls, replica

# A replica has 156 MB for models beside 4 MB for adapters (tests/placement/builders.py).


def evicted(model: str, here: ReplicaView, **demands: ModelDemand) -> Eviction | None:
    demands.setdefault('hot', busy(20))
    snapshot = PlacementSnapshot.capture(engine(), demands, [here, replica('r9', 'hot')])
    return choose_eviction(model, here, snapshot, CopyValues(snapshot, {}, {}))


def test_nothing_is_evicted_where_there_is_room() -> None:
    assert evicted('small', replica('r1', 'big', 'rare')) == Eviction()


def test_least_valuable_copy_is_evicted() -> None:
    here = replica('r1', 'big', 'small', 'rare')
    eviction = evicted('other', here, big=busy(1), small=rare_calls(0.1), rare=rare_calls(0.2))
    assert eviction is not None
    assert eviction.models == ('small', 'rare')


def test_copies_of_equal_value_are_evicted_by_name() -> None:
    here = replica('r1', 'small', 'rare', 'other')
    eviction = evicted('big', here, other=busy(1))
    assert eviction is not None
    assert eviction.models == ('rare', 'small')


def test_cheap_copy_is_kept_if_a_larger_one_is_evicted_anyway() -> None:
    here = replica('r1', 'big', 'small', 'rare')
    rare = ModelDemand(objective_s=6.0)
    eviction = evicted('hot', here, rare=rare, big=rare_calls(0.1), small=busy(5))
    assert eviction is not None
    assert eviction.models == ('big',)


def test_running_load_leaves_no_room() -> None:
    here = ReplicaView('r1', {'small'}, {'big', 'other'}, True)
    assert evicted('hot', here) is None
