"""Summary of the verdicts on the simulated days in the journal, by site.

``python -m benchmarks.verdicts [--since TIME] [--days] [ENTRY...]``. A day that was given up
has no verdict: it counts neither as passed nor as failed, nor as hunted. An entry whose run
did not finish has no days; its site is taken from its arguments.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.standalone.programs.tables import print_line, print_table

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

JOURNAL = Path(__file__).parents[1] / 'journal'
#: Exit status if an entry cannot be read or there are no entries.
EXIT_UNREADABLE = 1
_GIVEN_UP = re.compile(r'given up at ([\d.]+) s')


@attrs.frozen
class Day:
    """The result of one simulated day.

    :param rules: number of violations of each rule.
    :param short: texts of the floors (minimum values) that were missed.
    :param gate: whether the day passed.
    :param fault: reason why the day was not completed, if any.
    :param figure: worth earned, as a fraction of the worth owed.
    """

    name: str
    rules: dict[str, float] = attrs.field(factory=dict)
    short: list[str] = attrs.field(factory=list)
    gate: bool = False
    fault: str | None = None
    figure: float = 0.0
    wall_s: float = 0.0
    cpu_s: float = 0.0

    @property
    def given_up_s(self) -> float | None:
        """Return the time in the day at which it was given up; ``None`` if it was not."""
        found = _GIVEN_UP.search(self.fault or '')
        return float(found[1]) if found else None

    @property
    def is_ended(self) -> bool:
        """Return whether the day has a verdict."""
        return self.given_up_s is None

    @property
    def missed(self) -> list[str]:
        """Return the texts of the missed floors, without the one that says it was given up."""
        return [text for text in self.short if not _GIVEN_UP.search(text)]


@attrs.frozen
class Entry:
    """One entry of the journal.

    :param at: start and end times; the end is empty if the run did not finish.
    :param argv: arguments of the run; the site's file comes first.
    """

    id: str
    cmd: str
    at: tuple[str, str] = ('', '')
    argv: list[str] = attrs.field(factory=list)
    site: str | None = None
    head: str = ''
    why: str = ''
    ok: bool = False
    error: str | None = None
    score: float | None = None
    days: list[Day] = attrs.field(factory=list)

    @property
    def site_name(self) -> str:
        """Return the name of the site, or for an unfinished run, of the file in its arguments."""
        files = (Path(text).stem for text in self.argv if text.endswith('.toml'))
        return self.site or next(files, '(unknown)')

    @property
    def has_ended(self) -> bool:
        """Return whether the run finished, regardless of the results of its days."""
        return bool(self.at[1])

    @property
    def is_ended_score(self) -> bool:
        """Return whether this is a finished score run none of whose days was given up."""
        whole = bool(self.days) and all(day.is_ended for day in self.days)
        return self.cmd == 'score' and self.score is not None and self.has_ended and whole


@attrs.frozen
class FloorMiss:
    """A floor that a day missed.

    :param amount: difference from the floor; ``None`` if the text contains none.
    """

    name: str
    amount: float | None


@attrs.frozen
class FloorPattern:
    """Pattern for the text of a missed floor.

    :param name: format of the floor's name, filled in from the groups of *pattern*.
    :param subtrahend: group subtracted from the group *minuend* to give the amount; 0 if empty.
    """

    pattern: re.Pattern[str]
    name: str
    subtrahend: str = ''
    minuend: str = ''

    def read(self, text: str) -> FloorMiss | None:
        """Parse a text; return ``None`` if it does not match."""
        found = self.pattern.fullmatch(text)
        if found is None:
            return None
        groups = found.groupdict()
        below = float(groups.get(self.subtrahend, 0.0))
        return FloorMiss(self.name.format(**groups), float(groups[self.minuend]) - below)


_NUMBER = r'\d+(?:\.\d+)?'
FLOOR_PATTERNS = (
    FloorPattern(
        re.compile(rf'(?P<missed>{_NUMBER}) of {_NUMBER} (?P<what>.+) were never served'),
        '{what}: never served',
        minuend='missed',
    ),
    FloorPattern(
        re.compile(
            rf'(?P<earned>{_NUMBER}) of the (?P<what>.+) was earned; '
            rf'the floor is (?P<floor>{_NUMBER})'
        ),
        '{what}: below the floor',
        subtrahend='earned',
        minuend='floor',
    ),
    FloorPattern(
        re.compile(
            rf'of the (?P<what>.+) (?P<part>{_NUMBER}) were served, of all (?P<all>{_NUMBER})'
        ),
        '{what}: below all',
        subtrahend='part',
        minuend='all',
    ),
)


def floor_miss(text: str) -> FloorMiss:
    """Parse the text of a missed floor; a text that matches no pattern becomes the name."""
    misses = (pattern.read(text) for pattern in FLOOR_PATTERNS)
    return next((miss for miss in misses if miss is not None), FloorMiss(text, None))


@attrs.define
class SiteVerdicts:
    """Sums over the entries and days of one site.

    :ivar endless: number of entries whose run did not finish.
    :ivar ended: number of days that have a verdict.
    :ivar hunted: number of days of hunts that have a verdict.
    :ivar unhunted: number of days of hunts that were given up.
    :ivar ended_scores: number of finished score runs none of whose days was given up.
    :ivar rules: number of days on which each rule was broken.
    :ivar floors: amounts by which each floor was missed, one for each day.
    """

    entries: int = 0
    endless: int = 0
    days: int = 0
    ended: int = 0
    given_up: int = 0
    passed: int = 0
    failed: int = 0
    hunted: int = 0
    unhunted: int = 0
    ended_scores: int = 0
    rules: Counter[str] = attrs.field(factory=Counter)
    floors: dict[str, list[float | None]] = attrs.field(factory=dict)

    def add_entry(self, entry: Entry) -> None:
        """Add an entry and its days to the sums."""
        self.entries += 1
        self.endless += not entry.has_ended
        self.ended_scores += entry.is_ended_score
        self.days += len(entry.days)
        for day in entry.days:
            self._add_day(day, is_hunt=entry.cmd == 'hunt')

    def _add_day(self, day: Day, *, is_hunt: bool) -> None:
        if not day.is_ended:
            self.given_up += 1
            self.unhunted += is_hunt
            return
        self.ended += 1
        self.hunted += is_hunt
        self.passed += day.gate
        self.failed += not day.gate
        self.rules.update(rule for rule, times in day.rules.items() if times)
        for miss in map(floor_miss, day.missed):
            self.floors.setdefault(miss.name, []).append(miss.amount)


SITE_COLUMNS = (
    'entries',
    'endless',
    'days',
    'ended',
    'given_up',
    'passed',
    'failed',
    'hunted',
    'unhunted',
    'ended_scores',
)


def by_site(entries: Iterable[Entry]) -> dict[str, SiteVerdicts]:
    """Sum up entries by site; the result is sorted by site name."""
    sites: dict[str, SiteVerdicts] = {}
    for entry in entries:
        sites.setdefault(entry.site_name, SiteVerdicts()).add_entry(entry)
    return dict(sorted(sites.items()))


def read_entries(paths: Iterable[Path]) -> list[Entry]:
    """Read entries in order; files that cannot be read are reported on standard error."""
    entries = []
    for path in paths:
        try:
            entries.append(msgspec.json.decode(path.read_bytes(), type=Entry))
        except (OSError, msgspec.MsgspecError) as error:
            sys.stderr.write(f'{path}: {error}\n')
    return entries


def chosen_paths(directory: Path, names: Sequence[str], since: str = '') -> list[Path]:
    """Return the files of the selected entries, oldest first.

    :param names: ids, names or paths of entries; all entries in the directory if empty.
    :param since: earliest time, or its first digits, with or without dashes and colons.
    """
    since = re.sub('[-:]', '', since).rstrip('Z')
    paths = sorted(directory.glob('*.json'))
    if names:
        selected = {Path(name).stem for name in names}
        paths = [path for path in paths if selected & _names_of(path)]
        for name in sorted(selected.difference(*map(_names_of, paths))):
            sys.stderr.write(f'no entry {name!r}\n')
    return [path for path in paths if path.stem >= since]


def _names_of(path: Path) -> set[str]:
    return {path.stem, path.stem.partition('-')[2]}


def print_sites(sites: dict[str, SiteVerdicts]) -> None:
    """Print a row for each site, the broken rules and floors, and the sites without a score."""
    headings = [column.replace('_', ' ') for column in SITE_COLUMNS]
    rows = [
        [name, *(getattr(one, column) for column in SITE_COLUMNS)] for name, one in sites.items()
    ]
    print_table(['site', *headings], rows)
    print_line('')
    print_table(['site', 'broken', 'days', 'by'], _broken_rows(sites))
    unscored = [name for name, one in sites.items() if not one.ended_scores]
    print_line(f'\nno ended score: {", ".join(unscored) or "none"}')


def _broken_rows(sites: dict[str, SiteVerdicts]) -> list[list[object]]:
    rows: list[list[object]] = []
    for name, one in sites.items():
        rows += [[name, f'rule {rule}', days, ''] for rule, days in sorted(one.rules.items())]
        for floor, amounts in sorted(one.floors.items()):
            rows.append([name, floor, len(amounts), _range_text(amounts)])
    return rows


def _range_text(amounts: Iterable[float | None]) -> str:
    known = sorted(amount for amount in amounts if amount is not None)
    return f'{known[0]:.3g} to {known[-1]:.3g}' if known else ''


def print_days(entries: Iterable[Entry]) -> None:
    """Print a row for each day with what it broke; unfinished entries get one row."""
    rows: list[list[object]] = []
    for entry in entries:
        head = [entry.id, entry.cmd, entry.site_name]
        if not entry.has_ended:
            rows.append([*head, '', 'no end', '', '', '', entry.why])
        for day in entry.days:
            figures = [f'{day.figure:.3f}', f'{day.wall_s:.0f}', f'{day.cpu_s:.0f}']
            rows.append([*head, day.name, _verdict(day), *figures, _broken_text(day)])
    titles = ('entry', 'command', 'site', 'day', 'verdict', 'figure', 'wall s', 'cpu s', 'broken')
    print_table(titles, rows)


def _verdict(day: Day) -> str:
    if day.given_up_s is not None:
        return f'given up at {day.given_up_s:g} s'
    return 'passed' if day.gate else 'failed'


def _broken_text(day: Day) -> str:
    rules = [f'{rule} {times:g}' for rule, times in sorted(day.rules.items()) if times]
    return '; '.join([*rules, *day.missed])


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the verdicts; return the exit status."""
    parser = argparse.ArgumentParser(prog='benchmarks.verdicts', description=__doc__)
    parser.add_argument('entries', nargs='*', metavar='ENTRY', help='id, name or path')
    parser.add_argument('--since', default='', help='entries from this time on: 20261203T1200')
    parser.add_argument('--days', action='store_true', help='list single days')
    parser.add_argument('--journal', type=Path, default=JOURNAL, help='directory of entries')
    options = parser.parse_args(arguments)
    paths = chosen_paths(options.journal, options.entries, options.since)
    entries = read_entries(paths)
    if options.days:
        print_days(entries)
    else:
        print_sites(by_site(entries))
    return 0 if entries and len(entries) == len(paths) else EXIT_UNREADABLE


if __name__ == '__main__':
    sys.exit(main())
