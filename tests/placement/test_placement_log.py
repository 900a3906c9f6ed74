"""The log lines about where weights are and why waiting models are not loaded."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from limeshelf.placement import placement_log
from limeshelf.placement.placement_log import MIN_LOG_INTERVAL_S, PlacementLog
from limeshelf.placement.planner import CopyPlanner, NotLoadedReason
from tests.placement.builders import busy, engine, rare_calls, replica


@pytest.fixture
def written(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the lines logged so far; the minimum interval passes before each call."""
    lines: list[dict[str, Any]] = []
    now_s = [100.0]

    def tick() -> float:
        now_s[0] += MIN_LOG_INTERVAL_S
        return now_s[0]

    monkeypatch.setattr(placement_log, 'boottime_s', tick)
    monkeypatch.setattr(
        placement_log,
        'log_change',
        lambda event, **fields: lines.append({'event': event, **fields}),
    )
    return lines


def test_contents_of_a_replica_are_logged_when_they_change(written: list[dict[str, Any]]) -> None:
    log = PlacementLog()
    one = replica('r1', 'hot')
    log.log_replicas('lm', [one])
    log.log_replicas('lm', [one])
    assert len(written) == 1
    log.log_replicas('lm', [attrs.evolve(one, on_disk=frozenset({'rare'}))])
    assert written[-1]['on_disk'] == ['rare']


def test_replica_that_returns_is_logged_again(written: list[dict[str, Any]]) -> None:
    log = PlacementLog()
    for replicas in ([replica('r1', 'hot')], [], [replica('r1', 'hot')]):
        log.log_replicas('lm', replicas)
    assert len(written) == 2


def test_reason_is_logged_once_until_it_changes(written: list[dict[str, Any]]) -> None:
    log = PlacementLog()
    for reason in (
        NotLoadedReason.LOWER_VALUE,
        NotLoadedReason.LOWER_VALUE,
        NotLoadedReason.IDLE_RESERVE,
    ):
        log.log_not_loaded('lm', {'rare': reason})
    assert [line['reason'] for line in written] == ['outbid', 'withheld']


def test_model_that_waits_again_is_logged_again(written: list[dict[str, Any]]) -> None:
    log = PlacementLog()
    for not_loaded in (
        {'rare': NotLoadedReason.LOWER_VALUE},
        {},
        {'rare': NotLoadedReason.LOWER_VALUE},
    ):
        log.log_not_loaded('lm', not_loaded)
    assert len(written) == 2


def test_planner_states_why_a_waiting_model_is_not_loaded() -> None:
    planner = CopyPlanner(
        engine(), {'hot': busy(50.0), 'rare': rare_calls(call_waits=True)}, {'hot': 1}
    )
    assert planner.waiting_models([replica('r1', 'hot', is_idle=False)]).not_loaded == {
        'rare': NotLoadedReason.NO_IDLE_REPLICA
    }
