"""Log lines about stale copies and about polling the store."""

from __future__ import annotations

from typing import Any

from limeshelf.feeds.table_copy import STORE, TableCopy
from limeshelf.membership import staleness_log
from limeshelf.membership.staleness_log import StalenessLog
from limeshelf.util.clock import VirtualClock, virtual_clock


def logged(monkeypatch: Any) -> list[tuple[str, dict[str, Any]]]:
    lines: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(
        staleness_log, 'log_change', lambda event, **fields: lines.append((event, fields))
    )
    return lines


def copy_confirmed_now(clock: VirtualClock, source: str) -> TableCopy:
    copy = TableCopy('t', lambda row: None)
    copy.record_confirmation(clock.now_s, source=source)
    return copy


def test_line_names_the_last_source_that_confirmed_a_stale_copy(monkeypatch: Any) -> None:
    lines = logged(monkeypatch)
    with virtual_clock() as clock:
        copy = copy_confirmed_now(clock, '10.0.0.1:7600')
        staleness = StalenessLog()
        staleness.check([copy], 1, is_polling=False)
        clock.advance(copy.follow_rule.stale_after_s + 0.5)
        staleness.check([copy], 1, is_polling=False)
        staleness.check([copy], 1, is_polling=False)
        copy.record_confirmation(clock.now_s, source=STORE)
        staleness.check([copy], 1, is_polling=False)
    assert [event for event, _ in lines] == ['table_stale', 'table_fresh']
    assert lines[0][1]['confirmed_by'] == '10.0.0.1:7600'
    assert lines[0][1]['age_ms'] == int((copy.follow_rule.stale_after_s + 0.5) * 1000)
    assert lines[1][1]['confirmed_by'] == STORE


def test_lines_mark_when_this_gateway_begins_and_ends_polling(monkeypatch: Any) -> None:
    lines = logged(monkeypatch)
    staleness = StalenessLog()
    for is_due in (False, True, True, False):
        staleness.check([], 4, is_polling=is_due)
    assert lines == [
        ('store_polling', {'begins': True, 'order': 4}),
        ('store_polling', {'begins': False, 'order': 4}),
    ]


def test_copy_that_was_never_confirmed_is_not_logged(monkeypatch: Any) -> None:
    lines = logged(monkeypatch)
    StalenessLog().check([TableCopy('t', lambda row: None)], 0, is_polling=False)
    assert lines == []
