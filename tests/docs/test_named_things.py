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
OWN_WIRE = 'design/decisions_own_wire.rst'
NAMED_MODULES = (*PAGES, OWN_WIRE)
SOURCE = '\n'.join(path.read_text() for path in sorted(PACKAGE.rglob('*.py')))


def named(page: str, role: str) -> list[str]:
    """Return what a page marks with a role, in order."""
    text = (ROOT / 'docs' / page).read_text()
    return re.findall(rf':{role}:`([^`]+)`', text)


@pytest.mark.parametrize('page', NAMED_MODULES)
def test_modules_exist(page: str) -> None:
    sources = named(page, 'source')
    missing = [name for name in sources if not (PACKAGE / name).exists()]
    assert sources
    assert missing == []


@pytest.mark.parametrize('page', NAMED_MODULES)
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


def operations_events() -> list[list[str]]:
    """Return the events of each row of the operations page's table."""
    table = (ROOT / 'docs/OPERATIONS.md').read_text().split('| event | says |')[1]
    rows = table.split('\n\n')[0].splitlines()[2:]
    return [re.findall(r'`(\w+)`', row.split('|')[1]) for row in rows]


def test_events_of_the_operations_page_are_written_somewhere() -> None:
    rows = operations_events()
    events = [event for row in rows for event in row]
    assert len(events) > len(rows)
    assert [event for event in events if f"'{event}'" not in SOURCE] == []


def test_every_event_is_on_the_operations_page() -> None:
    listed = {event for row in operations_events() for event in row}
    written = set(re.findall(r"(?:log_change|log_request|self\.change)\(\s*'(\w+)'", SOURCE))
    assert written - listed == set()


def test_prometheus_metrics_are_those_of_the_reference_page() -> None:
    page = (ROOT / 'docs/reference/metrics.rst').read_text()
    scrape = (ROOT / 'tests/forms/recorded/scrape.txt').read_text()
    served = set(re.findall(r'^TYPE (\w+)', scrape, re.MULTILINE)) - {'limeshelf_some_gauge'}
    assert set(re.findall(r'``(limeshelf_\w+)``', page)) == served


@pytest.mark.parametrize('page', ['design/decisions.rst', OWN_WIRE])
def test_constants_of_the_decisions_stand_in_their_modules(page: str) -> None:
    text = (ROOT / 'docs' / page).read_text()
    missing = []
    for row in text.split('   * - ')[1:]:
        modules = re.findall(r':source:`([^`]+)`', row)
        code = '\n'.join((PACKAGE / name).read_text() for name in modules)
        constants = re.findall(r':constant:`([^`]+)`', row)
        missing += [name for name in constants if not re.search(rf'^{name}\b', code, re.MULTILINE)]
    assert missing == []


#: Packages of the users' platform whose modules decide.
DECIDING = (
    'admission', 'crashes', 'demand', 'dispatch', 'feeds', 'forwarding', 'gateway', 'lease',
    'membership', 'orders', 'organisations', 'placement', 'replicas', 'routing', 'streams',
)  # fmt: skip
#: Figures of these time or bound the applying code; no rule goes by them.
NO_RULE = {
    'gateway/frontend.py': 'limits and statuses of the listener',
    'gateway/exchange.py': 'the bound of one answer in memory',
    'gateway/pipeline.py': 'the margin of the last answer, the time of a call that names none',
    'membership/digest_exchange.py': 'the period of its message',
    'membership/registration.py': 'backoff of one write',
    'membership/row_exchange.py': 'the period of its message',
    'organisations/organisation.py': 'the length of a digest',
}


def test_each_module_with_a_figure_is_in_the_table_of_decisions() -> None:
    named_there = named('design/decisions.rst', 'source')
    with_figure = [
        str(path.relative_to(PACKAGE))
        for package in DECIDING
        for path in sorted((PACKAGE / package).glob('*.py'))
        if re.search(r'^[A-Z][A-Z_]+(: \w+)? = [\d.]', path.read_text(), re.MULTILINE)
    ]
    assert [name for name in with_figure if name not in named_there and name not in NO_RULE] == []


def test_modules_of_the_glossary_exist() -> None:
    text = (ROOT / 'docs/glossary.rst').read_text()
    names = re.findall(r'``([\w/]+(?:\.py)?)``', text)
    paths = [name for name in names if '/' in name or name.endswith('.py')]
    assert paths
    assert [name for name in paths if not (PACKAGE / name).exists()] == []
