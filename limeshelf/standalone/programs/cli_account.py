"""``limeshelf account``: what became of calls, from the logs of gateways.

Owns the commands alone; relies on :mod:`limeshelf.account`. The drawing and the comparison
need the extra ``account``.
"""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, NoReturn

import typer
from rich.console import Console
from rich.progress import Progress

from limeshelf.account.lines import STDIN, LogReader
from limeshelf.account.report import report_lines
from limeshelf.account.starved import StarvedKeys
from limeshelf.account.starved_report import starved_lines
from limeshelf.account.summary import CallSummary
from limeshelf.account.trace import call_events, trace_lines
from limeshelf.account.worths import Worths
from limeshelf.errors import InvalidDocument
from limeshelf.standalone.programs.cli_common import EXIT_INVALID, EXIT_NOT_FOUND
from limeshelf.standalone.programs.tables import print_line

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

#: Input from which on a progress bar is worth its line, in bytes.
LONG_INPUT_BYTES = 20_000_000

account_app = typer.Typer(
    no_args_is_help=True,
    help='Say from the logs of gateways how calls were served, and what the rest was lost to.\n\n'
    'FILES are log lines of any number of gateways, in any order, with or without a prefix '
    'before the JSON; - or none reads standard input. Lines without an event are counted.',
)

FilesArgument = Annotated[
    list[str] | None, typer.Argument(help='Log files; - for standard input (the default).')
]
WorthOption = Annotated[
    Path | None,
    typer.Option(help='JSON file: {"ROUTE": {"worth": 2.0, "late": 0.2}}; 1 and 0.1 otherwise.'),
]


@account_app.command()
def call(
    call_id: Annotated[str, typer.Argument(help='Id of one try.')], files: FilesArgument = None
) -> None:
    """Tell the whole story of one call over all gateways, in order of time."""
    with _reading(files) as reader:
        lines = trace_lines(
            call_events(call_id, reader.read_files(_inputs(files), sys.stdin.buffer))
        )
    if not lines:
        sys.stderr.write(f'no line tells of {call_id!r}\n')
        raise typer.Exit(EXIT_NOT_FOUND)
    for line in lines:
        print_line(line)


@account_app.command()
def summary(
    files: FilesArgument = None,
    worth: WorthOption = None,
    window_s: Annotated[float, typer.Option(help='Length of a moment, in seconds.')] = 2.0,
) -> None:
    """Count how calls ended, and rank what the rest was lost to by its worth."""
    with _reading(files) as reader:
        made = CallSummary(_worths(worth), window_s)
        made.add_all(reader.read_files(_inputs(files), sys.stdin.buffer))
    for line in report_lines(made, reader):
        print_line(line)


@account_app.command()
def starved(files: FilesArgument = None) -> None:
    """Name what was asked for and never served, and what the leader did for it."""
    with _reading(files) as reader:
        made = StarvedKeys()
        made.add_all(reader.read_files(_inputs(files), sys.stdin.buffer))
    for line in starved_lines(made, reader):
        print_line(line)


@account_app.command()
def plot(
    output: Annotated[Path, typer.Argument(help='File to write; .svg and .png give the format.')],
    files: FilesArgument = None,
    worth: WorthOption = None,
    window_s: Annotated[float, typer.Option(help='Length of a moment, in seconds.')] = 2.0,
) -> None:
    """Draw how calls ended over time, what they waited for, and what happened meanwhile."""
    with _needing_extra():
        from limeshelf.account.plot import draw
    with _reading(files) as reader:
        made = CallSummary(_worths(worth), window_s)
        made.add_all(reader.read_files(_inputs(files), sys.stdin.buffer))
    try:
        draw(made, output)
    except (OSError, ValueError) as error:
        _fail(str(error))


@account_app.command()
def compare(
    a: Annotated[list[Path], typer.Option('--a', help='A run of the first set; repeat it.')],
    b: Annotated[list[Path], typer.Option('--b', help='A run of the second set; repeat it.')],
    worth: WorthOption = None,
) -> None:
    """Put two sets of runs side by side; a directory is one run of several files."""
    with _needing_extra():
        from limeshelf.account.compare import compare_lines, runs_of, summarize
    worths = _worths(worth)
    try:
        before, after = (
            [summarize(files, worths, sys.stdin.buffer) for files in runs_of(paths)]
            for paths in (a, b)
        )
    except OSError as error:
        _fail(str(error))
    for line in compare_lines(before, after):
        print_line(line)


def _inputs(files: list[str] | None) -> list[str]:
    return files or [STDIN]


def _worths(path: Path | None) -> Worths:
    if path is None:
        return Worths()
    try:
        return Worths.from_file(path)
    except (InvalidDocument, OSError) as error:
        _fail(str(error))


def _fail(message: str) -> NoReturn:
    sys.stderr.write(f'{message}\n')
    raise typer.Exit(EXIT_INVALID)


@contextlib.contextmanager
def _needing_extra() -> Iterator[None]:
    try:
        yield
    except ImportError as error:
        _fail(f'{error.name} is not installed: pip install "limeshelf[account]"')


@contextlib.contextmanager
def _reading(files: list[str] | None) -> Iterator[LogReader]:
    """Give a reader that shows its progress on a terminal where the input is long."""
    total = _size_bytes(files)
    try:
        if total < LONG_INPUT_BYTES or not sys.stderr.isatty():
            yield LogReader()
            return
        with Progress(console=Console(stderr=True)) as progress:
            task = progress.add_task('reading', total=total)
            advance: Callable[[int], None] = lambda size: progress.advance(task, size)  # noqa: E731
            yield LogReader(advance)
    except OSError as error:
        _fail(str(error))


def _size_bytes(files: list[str] | None) -> int:
    """Return the size of the files that can be told; those that cannot fail when read."""
    paths = [Path(file) for file in _inputs(files) if file != STDIN]
    return sum(path.stat().st_size for path in paths if path.exists())
