"""What a copy of a model gains, and what is lost with one."""

from __future__ import annotations

import attrs
import pytest

from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement.copy_values import CopyValues
from limeshelf.placement.model_values import EXPECTED_LIMIT_PER_S
from limeshelf.placement.survey import PlacementSnapshot, ReplicaCopies
from tests.placement.builders import busy, engine, replica, seldom


def worth_of(
    demands: dict[str, ModelDemand],
    replicas: list[ReplicaCopies],
    first_copies: dict[str, int] | None = None,
    starved_s: dict[str, float] | None = None,
) -> CopyValues:
    snapshot = PlacementSnapshot.capture(engine(), demands, replicas)
    return CopyValues(snapshot, first_copies or {}, starved_s or {})


def test_first_copy_gains_its_calls_and_what_waits_and_starves() -> None:
    demands = {'hot': busy(20), 'rare': seldom(0.3)}
    replicas = [replica('r1', 'hot')]
    assert worth_of(demands, replicas).idle_gain('rare') == pytest.approx(0.6 + 2 * 0.3)
    demands['rare'] = seldom(0.3, waits=True)
    copy_values = worth_of(demands, replicas, starved_s={'rare': 10.0})
    assert copy_values.idle_gain('rare') == pytest.approx(0.6 + 2 * 0.3 + 1.0 + 1.5)
    longer = worth_of(demands, replicas, starved_s={'rare': 100.0})
    assert longer.idle_gain('rare') == pytest.approx(0.6 + 2 * 0.3 + 1.0 + 3.0)


def test_further_copy_gains_the_calls_that_are_served_by_it() -> None:
    replicas = [replica('r1', 'hot'), replica('r2'), replica('r3', data_centre='c2')]
    copy_values = worth_of({'hot': busy(20, replicas=1.5)}, replicas)
    # What one copy cannot serve, and 1.5 because a second copy secures the first.
    more_per_s = 20 * 0.5 / 1.5 + 1.5
    assert copy_values.gain('hot', replicas[1]) == pytest.approx(more_per_s)
    assert copy_values.gain('hot', replicas[2]) == pytest.approx(1.2 * more_per_s)


def test_busy_replica_gives_a_first_copy_half_its_worth_at_the_least() -> None:
    demands = {'hot': busy(20, replicas=2.0), 'rare': seldom(0.3)}
    replicas = [replica('r1', 'hot'), replica('r2', 'big')]
    copy_values = worth_of(demands, replicas)
    idle_gain = copy_values.gain('rare', replicas[1])
    assert copy_values.gain('rare', replicas[0]) == pytest.approx((0.5 + 0.5 * 0.15) * idle_gain)


def test_only_copy_is_lost_at_twice_its_worth_if_callers_cannot_wait() -> None:
    """Demand moves among such models, so each counts as asked for by a share of the mean."""
    replicas = [replica('r1', 'hot', 'small', 'rare')]
    demands = {
        'hot': busy(20),
        'small': ModelDemand(objective_s=2.5),
        'rare': ModelDemand(objective_s=2.4),
    }
    copy_values = worth_of(demands, replicas)
    assert copy_values.loss('small', replicas[0]) == pytest.approx(0.6)
    expected_per_s = 0.3 * (20 + 0) / 2
    assert expected_per_s > EXPECTED_LIMIT_PER_S
    assert copy_values.loss('rare', replicas[0]) == pytest.approx(
        2 * (0.6 + 2 * EXPECTED_LIMIT_PER_S)
    )
    few = worth_of({**demands, 'hot': busy(6)}, replicas)
    assert few.loss('rare', replicas[0]) == pytest.approx(2 * (0.6 + 2 * 0.3 * (6 + 0) / 2))


def test_copy_that_nobody_asks_for_is_worth_less_than_that_of_a_busy_model() -> None:
    """Where few models took most calls, it was worth more, and those that waited got no place."""
    replicas = [replica('r1', 'hot', 'small', 'rare')]
    demands = {'hot': busy(60), 'rare': busy(5), 'small': ModelDemand(objective_s=1.0)}
    copy_values = worth_of(demands, replicas)
    assert copy_values.loss('small', replicas[0]) < 0.5 * copy_values.loss('rare', replicas[0])


def test_copy_for_callers_that_cannot_wait_is_not_given_up_for_one_that_waits() -> None:
    """Six of ten such models had lost their only copy when demand moved to two of them."""
    replicas = [replica('r1', 'hot', 'rare'), replica('r2', 'hot', 'small')]
    demands = {
        'hot': busy(20),
        'rare': ModelDemand(objective_s=0.4),
        'small': seldom(0.1),
        'other': seldom(0.2, waits=True),
    }
    copy_values = worth_of(demands, replicas, starved_s={'other': 30.0})
    assert copy_values.gain('other', replicas[0]) < 1.3 * copy_values.loss('rare', replicas[0])
    assert copy_values.gain('other', replicas[1]) > 1.3 * copy_values.loss('small', replicas[1])


def test_copies_found_are_worth_less_by_the_square_of_their_number() -> None:
    replicas = [replica(f'r{n}', 'hot') for n in range(3)]
    copy_values = worth_of({}, replicas, first_copies={'hot': 4})
    assert copy_values.is_low_demand
    assert copy_values.loss('hot', replicas[0]) == pytest.approx(0.4 * 4 / 9)
    assert copy_values.idle_gain('hot') == pytest.approx(0.4 * 4 / 16)
    assert worth_of({}, replicas, first_copies={'hot': 3}).idle_gain('hot') == 0.0


def test_model_that_left_the_configuration_is_lost_at_no_cost() -> None:
    here = replica('r1', 'gone')
    assert worth_of({}, [here]).loss('gone', here) == 0.0


def test_calls_that_are_refused_for_want_of_room_show_what_a_copy_gains() -> None:
    """The estimate of what a copy serves may be too high; refusals are counted."""
    replicas = [replica('r1', 'hot'), replica('r2')]
    demand = attrs.evolve(busy(20, replicas=0.9), refused_per_s=12.0)
    assert worth_of({'hot': demand}, replicas).gain('hot', replicas[1]) == pytest.approx(12.0)
    assert worth_of({'hot': demand}, replicas).loss('hot', replicas[0]) > 12.0
    # A copy on its way will take them.
    replicas.append(ReplicaCopies('r3', set(), {'hot'}, False))
    assert worth_of({'hot': demand}, replicas).gain('hot', replicas[1]) < 2.0


def test_second_copy_is_kept_because_the_first_may_be_lost() -> None:
    replicas = [replica('r1', 'hot'), replica('r2', 'hot')]
    demand = attrs.evolve(busy(20, replicas=0.4), running=0.0)
    assert worth_of({'hot': demand}, replicas).loss('hot', replicas[0]) >= 1.5
    patient = attrs.evolve(demand, objective_s=6.0)
    assert worth_of({'hot': patient}, replicas).loss('hot', replicas[0]) == pytest.approx(0.0)
