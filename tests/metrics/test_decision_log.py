"""The decision log keeps the latest lines for ``explain``."""

from __future__ import annotations

from limeshelf.metrics.decision_log import MAX_LINES_PER_SUBJECT, MAX_SUBJECTS, DecisionLog


def test_line_names_its_subject_and_inputs() -> None:
    log = DecisionLog(enabled=False)
    log.add('r-1', 'route', upstream='u 1', estimate_ms=12.34567)
    assert log.lines('r-1') == ['decision=route subject=r-1 upstream=u_1 estimate_ms=12.35']


def test_latest_lines_of_the_latest_subjects_are_kept() -> None:
    log = DecisionLog(enabled=False)
    for number in range(MAX_LINES_PER_SUBJECT + 3):
        log.add('r-1', 'route', number=number)
    assert len(log.lines('r-1')) == MAX_LINES_PER_SUBJECT
    assert log.lines('r-1')[0].endswith('number=3')
    for number in range(MAX_SUBJECTS):
        log.add(f's-{number}', 'route')
    assert log.lines('r-1') == []
    assert len(log.lines('s-0')) == 1
