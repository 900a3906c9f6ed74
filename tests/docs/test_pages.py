"""Files, tests, programs and settings that any page names exist.

When this turns red, something was renamed or removed: mend the page in the same commit.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
TESTS = ROOT / 'tests'
PAGES = sorted((ROOT / 'docs').glob('*.rst')) + sorted((ROOT / 'docs').glob('*/*.rst'))
SUFFIXES = ('.py', '.feature')


def literals(page: Path) -> list[str]:
    """Return what a page sets between double back quotes, in order."""
    return re.findall(r'``([^`]+)``', page.read_text())


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.stem)
def test_files_named_by_a_page_exist(page: Path) -> None:
    files = [
        text.split(':')[0]
        for text in literals(page)
        if re.fullmatch(r'[\w/]+\.(py|feature)(:.*)?', text)
    ]
    known = [path.as_posix() for path in ROOT.glob('*/**/*.*') if path.suffix in SUFFIXES]
    missing = [name for name in files if not any(path.endswith(f'/{name}') for path in known)]
    assert missing == []


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.stem)
def test_directories_of_tests_named_by_a_page_exist(page: Path) -> None:
    paths = [text for text in literals(page) if re.fullmatch(r'tests(/\w+)*/?', text)]
    assert [path for path in paths if not (ROOT / path).is_dir()] == []


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.stem)
def test_test_functions_named_by_a_page_exist(page: Path) -> None:
    sources = {path: path.read_text() for path in TESTS.rglob('test_*.py')}
    missing = []
    for text in literals(page):
        if found := re.fullmatch(r'(?:(tests/[\w/]+\.py)::)?(test_\w+)', text):
            path, name = found.groups()
            where = [sources.get(ROOT / path, '')] if path else sources.values()
            if not any(f'def {name}(' in source for source in where):
                missing.append(text)
    assert missing == []


def test_programs_named_by_the_pages_are_installed() -> None:
    scripts = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']['scripts']
    text = '\n'.join(page.read_text() for page in PAGES)
    assert set(re.findall(r'``(limeshelf-[a-z]+)', text)) - set(scripts) == set()


def test_settings_named_by_the_operators_pages_are_in_the_reference() -> None:
    reference = (ROOT / 'docs/reference/settings.rst').read_text()
    groups = '|'.join(re.findall(r'^``(\w+)`` \(object', reference, re.MULTILINE))
    pages = sorted((ROOT / 'docs/operators').glob('*.rst'))
    names = re.findall(rf'``((?:{groups})\.\w+)``', '\n'.join(page.read_text() for page in pages))
    assert names
    assert [name for name in names if f'``{name}`` (' not in reference] == []
