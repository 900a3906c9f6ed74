"""Comments and docstrings say why, not when: no commits, days of a bench or issue numbers."""

from __future__ import annotations

import io
import re
import tokenize
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
#: A short commit id has letters and digits; words and numbers have not both.
COMMIT = r'\b(?=[0-9a-f]*[a-f])(?=[0-9a-f]*[0-9])[0-9a-f]{7}\b'
DAY = r'\b(?:trouble|scale|quiet|fresh)-[0-9]'
ISSUE = r'\b[Ii]ssue #?[0-9]+\b'
HISTORY = re.compile(f'{COMMIT}|{DAY}|{ISSUE}|[Ff]leetbench')

#: Whether a value was measured or chosen is told by its commit, not by the code.
TUNING = re.compile(r'\b[Cc]hosen,\s+not\s+measured|\bChosen\.|(?:Both|All|is|are) chosen\.(?!\w)')


def texts(path: Path) -> Iterator[tuple[int, str]]:
    """Yield each comment and string of a module with its line."""
    reader = io.StringIO(path.read_text()).readline
    for token in tokenize.generate_tokens(reader):
        if token.type in (tokenize.COMMENT, tokenize.STRING):
            yield token.start[0], token.string


def test_no_comment_holds_history() -> None:
    found = [
        f'{path.relative_to(ROOT)}:{line}'
        for path in sorted((ROOT / 'limeshelf').rglob('*.py'))
        if '_pb2' not in path.name
        for line, text in texts(path)
        if HISTORY.search(text)
    ]
    assert found == []


def test_no_comment_says_whether_a_value_was_measured_or_chosen() -> None:
    found = []
    for path in sorted((ROOT / 'limeshelf').rglob('*.py')):
        # A comment goes on over several lines.
        lines = (line.strip().lstrip('#:').strip() for line in path.read_text().splitlines())
        found += [f'{path.relative_to(ROOT)}: {text}' for text in TUNING.findall(' '.join(lines))]
    assert found == []
