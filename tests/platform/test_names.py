"""The names of the platform are used only in the adapter."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / 'limeshelf'
NAMES = re.compile(
    r'(^|[^-])Limeshelf-|rows-tx|rows-feed|rows-get|FencingToken|ExpectedRevision'
    r'|RouteKind|PathPrefix|LIMESHELF_BOOT|WeightsMb|LatencySloMs'
)


def test_platform_names_are_used_only_in_the_adapter() -> None:
    found = [
        f'{path.relative_to(PACKAGE)}:{number}: {line.strip()}'
        for path in sorted(PACKAGE.rglob('*.py'))
        if path.parent.name != 'platform'
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []


def test_only_the_wiring_of_the_program_imports_the_adapter() -> None:
    importers = {
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob('*.py')
        if path.parent.name != 'platform' and 'limeshelf.platform' in path.read_text()
    }
    assert importers == {'programs/followed_tables.py', 'programs/components.py'}
