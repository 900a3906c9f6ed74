"""What a copy of a model gains, and what is lost when it is evicted."""

from __future__ import annotations

import attrs
import pytest

from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement.copy_values import CopyValues
from limeshelf.placement.model_values import EXPECTED_LIMIT_PER_S
from limeshelf.placement.snapshot import PlacementSnapshot, ReplicaView
from tests.placement.builders import busy, engine, rare_calls, replica


def values_of(
    demands: dict[str, ModelDemand],
    replicas: list[ReplicaView],
    initial_copies: dict[str, int] | None = None,
    starved_s: dict[str, float] | None = None,
) -> CopyValues:
    snapshot = PlacementSnapshot.capture(engine(), demands, replicas)
    return CopyValues(snapshot, initial_copies or {}, starved_s or {})


def test_first_copy_gains_its_calls_and_waiting_and_starvation_bonuses() -> None:
    demands = {'hot': busy(20), 'rare': rare_calls(0.3)}
    replicas = [replica('r1', 'hot')]
    assert values_of(demands, replicas).idle_gain('rare') == pytest.approx(0.6 + 2 * 0.3)
    demands['rare'] = rare_calls(0.3, call_waits=True)
    values = values_of(demands, replicas, starved_s={'rare': 10.0})
    assert values.idle_gain('rare') == pytest.approx(0.6 + 2 * 0.3 + 1.0 + 1.5)
    longer = values_of(demands, replicas, starved_s={'rare': 100.0})
    assert longer.idle_gain('rare') == pytest.approx(0.6 + 2 * 0.3 + 1.0 + 3.0)


def test_further_copy_gains_the_calls_that_are_served_by_it() -> None:
    replicas = [replica('r1', 'hot'), replica('r2'), replica('r3', data_centre='c2')]
    values = values_of({'hot': busy(20, replicas=1.5)}, replicas)
    # The calls that one copy cannot serve, plus 1.5 for the redundancy of a second copy.
    more_per_s = 20 * 0.5 / 1.5 + 1.5
    assert values.gain('hot', replicas[1]) == pytest.approx(more_per_s)
    assert values.gain('hot', replicas[2]) == pytest.approx(1.2 * more_per_s)


def test_first_copy_on_a_busy_replica_keeps_at_least_half_its_value() -> None:
    demands = {'hot': busy(20, replicas=2.0), 'rare': rare_calls(0.3)}
    replicas = [replica('r1', 'hot'), replica('r2', 'big')]
    values = values_of(demands, replicas)
    idle_gain = values.gain('rare', replicas[1])
    assert values.gain('rare', replicas[0]) == pytest.approx((0.5 + 0.5 * 0.15) * idle_gain)


def test_loss_of_an_only_copy_counts_twice_if_latency_critical() -> None:
    """Demand moves among latency-critical models, so each counts as having a share of the mean."""
    replicas = [replica('r1', 'hot', 'small', 'rare')]
    demands = {
        'hot': busy(20),
        'small': ModelDemand(objective_s=2.5),
        'rare': ModelDemand(objective_s=2.4),
    }
    values = values_of(demands, replicas)
    assert values.loss('small', replicas[0]) == pytest.approx(0.6)
    expected_per_s = 0.3 * (20 + 0) / 2
    assert expected_per_s > EXPECTED_LIMIT_PER_S
    assert values.loss('rare', replicas[0]) == pytest.approx(2 * (0.6 + 2 * EXPECTED_LIMIT_PER_S))
    few = values_of({**demands, 'hot': busy(6)}, replicas)
    assert few.loss('rare', replicas[0]) == pytest.approx(2 * (0.6 + 2 * 0.3 * (6 + 0) / 2))


def test_copy_without_calls_has_less_value_than_that_of_a_busy_model() -> None:
    """If few models get most calls, its value must not keep waiting models from being loaded."""
    replicas = [replica('r1', 'hot', 'small', 'rare')]
    demands = {'hot': busy(60), 'rare': busy(5), 'small': ModelDemand(objective_s=1.0)}
    values = values_of(demands, replicas)
    assert values.loss('small', replicas[0]) < 0.5 * values.loss('rare', replicas[0])


def test_latency_critical_copy_is_not_evicted_for_a_waiting_model() -> None:
    """Otherwise six of ten latency-critical models lose their copies when demand moves to two."""
    replicas = [replica('r1', 'hot', 'rare'), replica('r2', 'hot', 'small')]
    demands = {
        'hot': busy(20),
        'rare': ModelDemand(objective_s=0.4),
        'small': rare_calls(0.1),
        'other': rare_calls(0.2, call_waits=True),
    }
    values = values_of(demands, replicas, starved_s={'other': 30.0})
    assert values.gain('other', replicas[0]) < 1.3 * values.loss('rare', replicas[0])
    assert values.gain('other', replicas[1]) > 1.3 * values.loss('small', replicas[1])


def test_value_of_initial_copies_falls_with_the_square_of_their_number() -> None:
    replicas = [replica(f'r{n}', 'hot') for n in range(3)]
    values = values_of({}, replicas, initial_copies={'hot': 4})
    assert values.is_low_demand
    assert values.loss('hot', replicas[0]) == pytest.approx(0.4 * 4 / 9)
    assert values.idle_gain('hot') == pytest.approx(0.4 * 4 / 16)
    assert values_of({}, replicas, initial_copies={'hot': 3}).idle_gain('hot') == 0.0


def test_model_removed_from_the_configuration_is_evicted_at_no_loss() -> None:
    here = replica('r1', 'gone')
    assert values_of({}, [here]).loss('gone', here) == 0.0


def test_calls_refused_for_lack_of_capacity_raise_the_gain() -> None:
    """The estimate of what a copy can serve may be too high; refusals are counted exactly."""
    replicas = [replica('r1', 'hot'), replica('r2')]
    demand = attrs.evolve(busy(20, replicas=0.9), refused_per_s=12.0)
    assert values_of({'hot': demand}, replicas).gain('hot', replicas[1]) == pytest.approx(12.0)
    assert values_of({'hot': demand}, replicas).loss('hot', replicas[0]) > 12.0
    # A copy that is being loaded will serve them.
    replicas.append(ReplicaView('r3', set(), {'hot'}, False))
    assert values_of({'hot': demand}, replicas).gain('hot', replicas[1]) < 2.0


def test_second_copy_is_kept_for_redundancy() -> None:
    replicas = [replica('r1', 'hot'), replica('r2', 'hot')]
    demand = attrs.evolve(busy(20, replicas=0.4), running=0.0)
    assert values_of({'hot': demand}, replicas).loss('hot', replicas[0]) >= 1.5
    tolerant = attrs.evolve(demand, objective_s=6.0)
    assert values_of({'hot': tolerant}, replicas).loss('hot', replicas[0]) == pytest.approx(0.0)
