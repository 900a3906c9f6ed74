"""Experiments: the same every time, and never over the memory."""

from __future__ import annotations

import pytest

from limeshelf.errors import InvalidDocument
from limeshelf.settings.structure import structure
from limeshelf.standalone.experiment.plan import ExperimentPlan
from limeshelf.standalone.experiment.report import HEADINGS, summarise, table_rows
from limeshelf.standalone.experiment.simulation import run_once
from limeshelf.standalone.experiment.systems import SYSTEMS
from limeshelf.standalone.experiment.workload import HINOKUNI, Variant, arrivals

DURATION_S = 15.0


@pytest.mark.parametrize('system', sorted(SYSTEMS))
def test_no_run_overcommits(system: str) -> None:
    result = run_once(SYSTEMS[system], HINOKUNI, Variant.FAILING, 1, DURATION_S)
    assert not result.overcommitted
    assert result.requests > 0


def test_same_seed_gives_the_same_workload() -> None:
    one, two = (list(arrivals(HINOKUNI, Variant.BURST, 3, DURATION_S)) for _ in range(2))
    assert one == two
    assert one != list(arrivals(HINOKUNI, Variant.BURST, 4, DURATION_S))


def test_bound_attains_no_less_than_static() -> None:
    ratios = [
        run_once(SYSTEMS[name], HINOKUNI, Variant.STEADY, 1, DURATION_S).attainment_ratio
        for name in ('static', 'bound')
    ]
    assert ratios[0] <= ratios[1]


def test_plan_is_checked_like_settings() -> None:
    with pytest.raises(InvalidDocument):
        structure({'seeds': ['one'], 'pace': 2}, ExperimentPlan)


def test_table_has_a_row_for_each_system() -> None:
    plan = ExperimentPlan(['hinokuni'], [Variant.STEADY], ['static', 'ours'], [1], DURATION_S)
    rows = table_rows(summarise(list(plan.runs())))
    assert [row[2] for row in rows] == ['static', 'ours']
    assert {len(row) for row in rows} == {len(HEADINGS)}
