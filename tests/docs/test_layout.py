"""The tests are laid out as the packages are, and each file says what it holds."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
TESTS = ROOT / 'tests'
#: Tests that belong to no package: recorded forms, pages, whole systems, and helpers.
BESIDE_THE_PACKAGES = {'docs', 'features', 'forms', 'platform_soak', 'support'}
FILES = sorted(path for path in TESTS.rglob('*.py') if path.name != '__init__.py')


def test_each_directory_of_tests_is_a_package_of_limeshelf() -> None:
    directories = {path.parent.relative_to(TESTS) for path in FILES}
    missing = [
        str(directory)
        for directory in sorted(directories)
        if directory.parts and directory.parts[0] not in BESIDE_THE_PACKAGES
        if not (ROOT / 'limeshelf' / directory / '__init__.py').exists()
    ]
    assert missing == []


@pytest.mark.parametrize('path', FILES, ids=lambda path: str(path.relative_to(TESTS)))
def test_first_line_says_what_the_file_holds(path: Path) -> None:
    docstring = ast.get_docstring(ast.parse(path.read_text()))
    assert docstring
    assert docstring.splitlines()[0].strip()
