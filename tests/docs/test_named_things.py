"""The pages for on-call name modules, log events and metrics that exist.

When this turns red, something was renamed or removed: mend the page in the same commit.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / 'limeshelf'
PAGES = ('architecture.rst', 'design/decisions.rst')
SOURCE = '\n'.join(path.read_text() for path in sorted(PACKAGE.rglob('*.py')))


def named(page: str, role: str) -> list[str]:
    """Return what a page marks with a role, in order."""
    text = (ROOT / 'docs' / page).read_text()
    return re.findall(rf':{role}:`([^`]+)`', text)


@pytest.mark.parametrize('page', PAGES)
def test_modules_exist(page: str) -> None:
    sources = named(page, 'source')
    missing = [name for name in sources if not (PACKAGE / name).exists()]
    assert sources
    assert missing == []


@pytest.mark.parametrize('page', PAGES)
def test_tests_exist(page: str) -> None:
    missing = [name for name in named(page, 'test') if not (ROOT / 'tests' / name).exists()]
    assert missing == []


@pytest.mark.parametrize('page', PAGES)
def test_log_events_are_written_somewhere(page: str) -> None:
    events = named(page, 'event')
    assert events
    assert [event for event in events if f"'{event}'" not in SOURCE] == []


def test_metrics_are_registered() -> None:
    names = [name.removesuffix('_total') for name in named('architecture.rst', 'metric')]
    assert names
    assert [name for name in names if f"'{name}'" not in SOURCE] == []


def test_events_of_the_operations_page_are_written_somewhere() -> None:
    table = (ROOT / 'docs/OPERATIONS.md').read_text().split('| event | says |')[1]
    rows = table.split('\n\n')[0].splitlines()[2:]
    events = [event for row in rows for event in re.findall(r'`(\w+)`', row.split('|')[1])]
    assert len(events) > len(rows)
    assert [event for event in events if f"'{event}'" not in SOURCE] == []
