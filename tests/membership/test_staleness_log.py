"""What the log says of copies that grow old, and of who asks the store."""

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
    copy.note_confirmed(clock.now_s, source=source)
    return copy


def test_line_says_who_confirmed_an_old_copy_last(monkeypatch: Any) -> None:
    lines = logged(monkeypatch)
    with virtual_clock() as clock:
        copy = copy_confirmed_now(clock, '10.0.0.1:7600')
        watch = StalenessLog()
        watch.check([copy], 1, is_polling=False)
        clock.advance(copy.rule.stale_s + 0.5)
        watch.check([copy], 1, is_polling=False)
        watch.check([copy], 1, is_polling=False)
        copy.note_confirmed(clock.now_s, source=STORE)
        watch.check([copy], 1, is_polling=False)
    assert [event for event, _ in lines] == ['table_stale', 'table_fresh']
    assert lines[0][1]['confirmed_by'] == '10.0.0.1:7600'
    assert lines[0][1]['age_ms'] == int((copy.rule.stale_s + 0.5) * 1000)
    assert lines[1][1]['confirmed_by'] == STORE


def test_line_says_when_this_gateway_begins_and_ends_asking(monkeypatch: Any) -> None:
    lines = logged(monkeypatch)
    watch = StalenessLog()
    for is_due in (False, True, True, False):
        watch.check([], 4, is_polling=is_due)
    assert lines == [
        ('store_polling', {'begins': True, 'order': 4}),
        ('store_polling', {'begins': False, 'order': 4}),
    ]


def test_copy_that_was_never_confirmed_is_no_news(monkeypatch: Any) -> None:
    lines = logged(monkeypatch)
    StalenessLog().check([TableCopy('t', lambda row: None)], 0, is_polling=False)
    assert lines == []
