"""Recorded tables of forms, one form a line, and the comparison with what the code has now."""

from __future__ import annotations

import difflib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]


def check_recorded(name: str, found: list[str], what_to_do: str) -> None:
    """Fail with the differing lines where *found* is not the recorded table *name*.

    :param found: one line for each form; the order doesn't matter.
    :param what_to_do: ends the message of the failure.
    """
    table = (Path(__file__).parent / name).read_text().splitlines()
    recorded = sorted(line for line in table if line and not line.startswith('#'))
    differing = [
        line
        for line in difflib.unified_diff(recorded, sorted(found), lineterm='', n=0)
        if not line.startswith(('---', '+++', '@@'))
    ]
    if differing:
        pytest.fail(
            f'differs from tests/forms/recorded/{name} (- recorded, + found):\n'
            + '\n'.join(differing)
            + f'\n{what_to_do}',
            pytrace=False,
        )
