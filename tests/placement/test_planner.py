"""The choice of the next model copy to load and of those to evict."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement.planner import CopyMove, CopyPlanner, MoveReason
from limeshelf.placement.snapshot import ReplicaView
from tests.placement.builders import CAPACITY_MB, SIZES, busy, engine, rare_calls, replica


def planner(**demands: ModelDemand) -> CopyPlanner:
    return CopyPlanner(engine(), demands, {})


def test_missing_requested_model_comes_first() -> None:
    move = planner(hot=busy(20, replicas=0.9), rare=rare_calls(call_waits=True)).next_move(
        [replica('r1', 'hot', 'big'), replica('r2', 'small', 'other')]
    )
    assert move is not None
    assert (move.model, move.reason) == ('rare', 'missing')


def test_overloaded_model_gets_a_copy_in_place_of_an_idle_one() -> None:
    replicas = [replica('r1', 'hot', 'big'), replica('r2', 'small', 'other', 'rare')]
    move = planner(hot=busy(20)).next_move(replicas)
    assert move is not None
    assert (move.replica_id, move.model, move.reason) == ('r2', 'hot', 'crowded')
    assert 'hot' not in move.evicted


def test_busy_copy_is_not_evicted_for_a_rarely_called_model() -> None:
    """Otherwise copies of the busiest model are evicted one by one for rarely called models.

    In the end one replica of nine served the busiest model.
    """
    replicas = [replica('r1', 'hot', 'big'), replica('r2', 'hot', 'small', 'rare')]
    demands = {
        'hot': busy(20, replicas=2.0),
        'big': busy(3),
        'small': rare_calls(),
        'rare': rare_calls(),
        'other': rare_calls(call_waits=True),
    }
    move = planner(**demands).next_move(replicas)
    assert move is None or 'hot' not in move.evicted


def test_rarely_called_models_replace_each_other_in_the_remaining_room() -> None:
    replicas = [replica('r1', 'hot', 'big'), replica('r2', 'hot', 'small', 'rare')]
    demands = {
        'hot': busy(20, replicas=2.0),
        'big': busy(3),
        'small': rare_calls(0.1),
        'rare': ModelDemand(objective_s=6.0),
        'other': rare_calls(call_waits=True),
    }
    replicas[1].ready = {'hot', 'small'}
    replicas.append(replica('r3', 'rare', 'small', 'big'))
    move = planner(**demands).next_move(replicas)
    assert move is not None
    assert (move.model, move.replica_id) == ('other', 'r3')


def test_starved_model_is_eventually_loaded() -> None:
    """Otherwise four requested models have no copy for 25 s."""
    replicas = [replica('r1', 'hot'), replica('r2', 'hot'), replica('r3', 'big', 'small', 'rare')]
    for busy_replica in replicas[:2]:
        busy_replica.is_idle = False
    demands = {
        'hot': busy(20, replicas=2.0),
        'big': busy(3),
        'small': rare_calls(0.1),
        'rare': rare_calls(0.1),
        'other': rare_calls(0.2, call_waits=True),
    }
    assert CopyPlanner(engine(), demands, {}).next_move(replicas) is None
    move = CopyPlanner(engine(), demands, {}, {'other': 20.0}).next_move(replicas)
    assert move is not None
    assert move.model == 'other'
    assert 'hot' not in move.evicted


def test_busy_model_gets_no_copy_beyond_its_need_and_one_spare() -> None:
    """The spare copy stands in if the first one is lost."""
    replicas = [replica('r1', 'hot', 'big'), replica('r2', 'small', 'other', 'rare')]
    move = planner(hot=busy(20, replicas=0.4)).next_move(replicas)
    assert move is not None
    assert (move.model, move.replica_id) == ('hot', 'r2')
    replicas.append(replica('r3', 'hot', 'big'))
    assert planner(hot=busy(20, replicas=0.4)).next_move(replicas) is None


def test_latency_tolerant_model_gets_no_spare_copy() -> None:
    replicas = [replica('r1', 'hot', 'big'), replica('r2', 'small', 'other', 'rare')]
    tolerant = attrs.evolve(busy(20, replicas=0.4), objective_s=6.0)
    assert planner(hot=tolerant).next_move(replicas) is None


def test_copies_go_to_other_data_centres_first() -> None:
    replicas = [
        replica('r1', 'hot', 'big', 'small'),
        replica('r2', 'other', data_centre='c1'),
        replica('r3', 'rare', data_centre='c2'),
    ]
    move = planner(hot=busy(20, replicas=2.0)).next_move(replicas)
    assert move is not None
    assert (move.model, move.replica_id) == ('hot', 'r3')


def test_further_copy_does_not_go_where_another_model_keeps_the_replica_busy() -> None:
    replicas = [
        replica('r1', 'hot', 'small', 'rare'),
        replica('r2', 'big'),
        replica('r3', 'other'),
    ]
    demands = {'hot': busy(20, replicas=2.0), 'big': busy(10, replicas=1.0)}
    move = planner(**demands).next_move(replicas)
    assert move is not None
    assert (move.model, move.replica_id) == ('hot', 'r3')


def test_last_ready_copy_stays() -> None:
    """A copy that is still loading serves no calls, so it does not replace a ready one."""
    loading = ReplicaView('r2', {'small'}, {'hot'}, False)
    move = planner(hot=busy(20), other=rare_calls()).next_move(
        [replica('r1', 'hot', 'big'), loading]
    )
    assert move is None or 'hot' not in move.evicted


def test_moves_with_low_gain_leave_replicas_idle() -> None:
    replicas = [
        replica('r1', 'hot', is_idle=False),
        replica('r2', 'big', is_idle=False),
        replica('r3', 'small'),
    ]
    demands = {'hot': busy(20, 0.5), 'big': busy(3), 'small': rare_calls(), 'other': rare_calls()}
    assert planner(**demands).next_move(replicas) is None
    demands['other'] = busy(5)
    move = planner(**demands).next_move(replicas)
    assert move is not None
    assert move.model == 'other'


def test_low_demand_keeps_initial_copies() -> None:
    replicas = [
        replica('r1', 'hot', 'other'),
        replica('r2', 'hot', 'big'),
        replica('r3', 'hot', 'small', 'rare'),
    ]
    copy_planner = CopyPlanner(
        engine(), {}, {'hot': 3, 'big': 1, 'small': 1, 'rare': 1, 'other': 1}
    )
    assert copy_planner.next_move(replicas) is None


def test_low_demand_evicts_surplus_copies_for_models_without_one() -> None:
    replicas = [replica(f'r{n}', 'hot', 'big') for n in range(4)]
    replicas[0].ready = {'hot', 'small', 'rare'}
    copy_planner = CopyPlanner(engine(), {}, {'hot': 4, 'big': 3, 'small': 1, 'rare': 1})
    move = copy_planner.next_move(replicas)
    assert move is not None
    assert (move.model, len(move.evicted)) == ('other', 1)


names = st.sampled_from(sorted(SIZES))
demands = st.builds(
    ModelDemand,
    calls_per_s=st.floats(0, 40),
    long_term_calls_per_s=st.floats(0, 40),
    busy_replicas=st.floats(0, 4),
    running=st.floats(0, 40),
    adapters=st.integers(0, 9),
    recently_missing=st.booleans(),
    objective_s=st.sampled_from([0.0, 1.0, 6.0]),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    held=st.lists(st.sets(names, max_size=3), min_size=1, max_size=4),
    demands=st.dictionaries(names, demands, max_size=5),
)
def test_a_move_always_fits_and_gains_more_than_it_loses(
    held: list[set[str]], demands: dict[str, ModelDemand]
) -> None:
    replicas = [
        replica(f'r{n}', *models)
        for n, models in enumerate(held)
        if sum(SIZES[name] for name in models) + 4.0 <= CAPACITY_MB
    ]
    move = planner(**demands).next_move(replicas)
    if move is None:
        return
    target = next(one for one in replicas if one.replica_id == move.replica_id)
    assert move.model not in target.ready
    kept = (target.ready - set(move.evicted)) | {move.model}
    assert sum(SIZES[name] for name in kept) + 4.0 <= CAPACITY_MB
    assert move.gain >= move.loss


def test_low_demand_evicts_from_the_model_with_most_copies() -> None:
    replicas = [
        replica('r1', 'hot', 'big'),
        replica('r2', 'hot', 'big'),
        replica('r3', 'hot', 'small', 'rare'),
        replica('r4', 'hot', 'rare', 'small'),
    ]
    copy_planner = CopyPlanner(engine(), {}, {'hot': 4, 'big': 2, 'small': 2, 'rare': 2})
    move = copy_planner.next_move(replicas)
    assert move is not None
    assert (move.model, move.evicted) == ('other', ('hot',))


def test_move_is_immutable() -> None:
    with pytest.raises(AttributeError):
        CopyMove('r1', 'm', (), True, MoveReason.MISSING).model = 'n'  # type: ignore[misc]


def test_latency_critical_model_is_not_unloaded() -> None:
    demands = {
        'hot': busy(30),
        'other': ModelDemand(objective_s=1.0),
        'small': ModelDemand(objective_s=6.0),
        'rare': ModelDemand(objective_s=6.0),
    }
    replicas = [replica('r1', 'hot', 'big'), replica('r2', 'small', 'other', 'rare')]
    move = CopyPlanner(engine(), demands, {}).next_move(replicas)
    assert move is not None
    assert (move.model, set(move.evicted)) == ('hot', {'small', 'rare'})


def with_disk(name: str, *models: str, disk: tuple[str, ...] = ()) -> ReplicaView:
    """Return a replica with weights on the disk of its machine."""
    held = replica(name, *models)
    held.on_disk = frozenset(disk)
    return held


def test_model_is_loaded_where_its_weights_are_local() -> None:
    replicas = [with_disk('r1', 'hot'), with_disk('r2', 'hot', disk=('rare',))]
    move = planner(hot=busy(5), rare=rare_calls(call_waits=True)).next_move(replicas)
    assert move is not None
    assert (move.model, move.replica_id, move.from_store) == ('rare', 'r2', False)
    assert move.load_s == engine().models['rare'].disk_load_s


def test_without_the_store_models_are_loaded_from_local_weights_only() -> None:
    replicas = [with_disk('r1', 'hot'), with_disk('r2', 'hot', disk=('small',))]
    demands = planner(
        hot=busy(5), rare=rare_calls(2.0, call_waits=True), small=rare_calls(call_waits=True)
    )
    move = demands.next_move(replicas, store_allowed=False)
    assert move is not None
    assert move.model == 'small'


def test_latency_tolerant_models_leave_replicas_idle() -> None:
    """Otherwise all replicas with local weights are busy when demand moves to a critical model."""
    replicas = [replica(f'r{n}', 'hot', 'big', is_idle=n > 2) for n in range(4)]
    demands = {'hot': busy(5), 'big': busy(5), 'rare': rare_calls(2.0, call_waits=True)}
    assert planner(**demands).next_move(replicas) is None
    starved = CopyPlanner(engine(), demands, {}, {'rare': 12.0}).next_move(replicas)
    assert starved is not None
    assert starved.model == 'rare'
    critical = attrs.evolve(demands['rare'], objective_s=0.4)
    move = planner(**{**demands, 'rare': critical}).next_move(replicas)
    assert move is not None
    assert move.model == 'rare'


def test_store_loads_of_latency_tolerant_models_occupy_few_replicas() -> None:
    replicas = [replica(f'r{n}', 'hot', 'big') for n in range(6)]
    demands = {'hot': busy(5), 'big': busy(5), 'rare': rare_calls(2.0, call_waits=True)}
    move = planner(**demands).next_move(replicas)
    assert move is not None
    assert (move.model, move.from_store) == ('rare', True)
    replicas[5].loading = {'small'}
    replicas[5].is_idle = False
    replicas[4].loading = {'other'}
    replicas[4].is_idle = False
    assert planner(**demands).next_move(replicas) is None
    replicas[0].on_disk = frozenset({'rare'})
    move = planner(**demands).next_move(replicas)
    assert move is not None
    assert (move.replica_id, move.from_store) == ('r0', False)


def occupied(name: str, free_in_s: float, loading: str, *on_disk: str) -> ReplicaView:
    """Return a replica that is loading a model for that much longer, with weights on its disk."""
    one = replica(name, 'hot', 'big', is_idle=False)
    one.loading = {loading}
    one.free_in_s = free_in_s
    one.on_disk = frozenset(on_disk)
    return one


def test_busy_replica_with_local_weights_is_waited_for() -> None:
    """A load from the store takes longer, and occupies a replica for all of that time."""
    replicas = [replica('r1', 'hot', 'big'), replica('r2', 'hot', 'small')]
    demands = {'hot': busy(5), 'big': busy(5), 'rare': rare_calls(2.0, call_waits=True)}
    replicas += [replica(f'r{n}', 'hot', 'big') for n in range(4, 8)]
    soon, late = occupied('r3', 1.0, 'other', 'rare'), occupied('r3', 9.0, 'other', 'rare')
    assert planner(**demands).next_move([*replicas, soon]) is None
    assert planner(**demands).waiting_models([*replicas, soon]).ready_in_s == {
        'rare': 1.0 + engine().models['rare'].disk_load_s
    }
    move = planner(**demands).next_move([*replicas, late])
    assert move is not None
    assert (move.model, move.from_store) == ('rare', True)


def test_local_weights_are_loaded_however_few_replicas_are_idle() -> None:
    """Loads that take one second must not be limited like loads that take six."""
    replicas = [replica('r1', 'hot', 'big')]
    replicas += [occupied(f'r{n}', 1.0, 'other') for n in range(2, 7)]
    demands = {'hot': busy(5), 'big': busy(5), 'rare': rare_calls(2.0, call_waits=True)}
    assert planner(**demands).next_move(replicas) is None
    replicas[0].on_disk = frozenset({'rare'})
    move = planner(**demands).next_move(replicas)
    assert move is not None
    assert (move.model, move.replica_id, move.from_store) == ('rare', 'r1', False)


def test_few_replicas_load_from_the_store_at_the_same_time() -> None:
    """The other replicas stay free to load their local weights meanwhile."""
    replicas = [replica(f'r{n}', 'big') for n in range(3)]
    replicas += [occupied(f'r{n}', 5.0, 'other', 'small') for n in (3, 4, 5)]
    demands = {'big': busy(5), 'hot': busy(30, replicas=5.0)}
    copy_planner = planner(**demands)
    assert copy_planner.next_move(replicas) is None
    replicas[5].free_in_s = 1.0
    move = copy_planner.next_move(replicas)
    assert move is not None
    assert (move.model, move.from_store) == ('hot', True)


def test_new_replicas_without_local_weights_load_from_the_store_all_at_once() -> None:
    """Otherwise only a third of them at a time load the requested models if most are new."""
    replicas = [replica(f'r{n}') for n in range(3)]
    for n in (3, 4, 5):
        one = replica(f'r{n}', is_idle=False)
        one.loading = {'other'}
        one.free_in_s = 5.0
        replicas.append(one)
    move = planner(hot=busy(30, replicas=5.0)).next_move([*replicas, replica('r6', 'hot')])
    assert move is not None
    assert (move.model, move.from_store) == ('hot', True)


def test_latency_critical_model_without_a_copy_loads_from_the_store_at_once() -> None:
    replicas = [replica(f'r{n}', 'big') for n in range(3)]
    replicas += [occupied(f'r{n}', 5.0, 'other') for n in (3, 4, 5)]
    move = planner(big=busy(5), rare=busy(9)).next_move(replicas)
    assert move is not None
    assert (move.model, move.from_store) == ('rare', True)


def test_one_model_is_loaded_on_few_replicas_at_the_same_time() -> None:
    """Otherwise four of six replicas load the same model, which few calls request by then."""
    replicas = [replica(f'r{n}', 'big') for n in range(5)]
    for one in replicas:
        one.on_disk = frozenset({'hot'})
    replicas.append(occupied('r5', 1.0, 'hot'))
    replicas[5].ready = {'big'}
    demands = {'big': busy(5), 'hot': busy(60, replicas=6.0)}
    move = planner(**demands).next_move(replicas)
    assert move is not None
    target = next(one for one in replicas if one.replica_id == move.replica_id)
    target.apply_move('hot', move.evicted, move.load_s)
    assert planner(**demands).next_move(replicas) is None
