"""Prints replies as tables for people or as JSON for programs.

Owns nothing; the only place where the command line writes to standard output.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import msgspec
from google.protobuf.json_format import MessageToDict

if TYPE_CHECKING:
    from collections.abc import Sequence


def print_json(message: Any) -> None:
    """Print a reply as one JSON object."""
    plain = MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    sys.stdout.write(msgspec.json.encode(plain).decode() + '\n')


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under headings, in columns as wide as they need."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(heading), *(len(row[column]) for row in texts)) if texts else len(heading)
        for column, heading in enumerate(headings)
    ]
    for line in ([*headings], ['-' * width for width in widths], *texts):
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        sys.stdout.write('  '.join(cells).rstrip() + '\n')


def print_line(text: str) -> None:
    """Print one line."""
    sys.stdout.write(text + '\n')
