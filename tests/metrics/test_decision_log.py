"""Decisions are kept for a while, so that they can be explained."""

from __future__ import annotations

from limeshelf.metrics.decision_log import KEPT_LINES, KEPT_SUBJECTS, DecisionLog


def test_line_names_its_subject_and_inputs() -> None:
    log = DecisionLog(enabled=False)
    log.add('r-1', 'route', upstream='u 1', estimate_ms=12.34567)
    assert log.lines('r-1') == ['decision=route subject=r-1 upstream=u_1 estimate_ms=12.35']


def test_latest_lines_of_the_latest_subjects_are_kept() -> None:
    log = DecisionLog(enabled=False)
    for number in range(KEPT_LINES + 3):
        log.add('r-1', 'route', number=number)
    assert len(log.lines('r-1')) == KEPT_LINES
    assert log.lines('r-1')[0].endswith('number=3')
    for number in range(KEPT_SUBJECTS):
        log.add(f's-{number}', 'route')
    assert log.lines('r-1') == []
    assert len(log.lines('s-0')) == 1
