"""Compares two sets of runs, with confidence intervals over the runs of each set.

A run is a log file, or a directory of log files. Requires scipy, which the extra ``account``
installs.
"""

from __future__ import annotations

import math
import statistics
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
from scipy import stats  # type: ignore[import-untyped]

from limeshelf.account.calls import Ending
from limeshelf.account.lines import LogReader
from limeshelf.account.summary import CallSummary

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import IO

    from limeshelf.account.worths import Worths

#: Confidence level of the intervals.
CONFIDENCE = 0.95


@attrs.frozen
class Interval:
    """A mean over runs and half the width of its confidence interval.

    :param half: half the width; not a number if there is only one run.
    """

    mean: float
    half: float
    runs: int

    @classmethod
    def of(cls, values: list[float]) -> Interval:
        """Return the interval of the mean of *values*, by Student's t distribution."""
        mean = statistics.fmean(values)
        if len(values) < 2:
            return cls(mean, math.nan, len(values))
        standard_error = statistics.stdev(values) / math.sqrt(len(values))
        t_quantile = float(stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1))
        return cls(mean, t_quantile * standard_error, len(values))

    def __str__(self) -> str:
        return f'{self.mean:.3f}' if math.isnan(self.half) else f'{self.mean:.3f} ±{self.half:.3f}'


_FIGURES: dict[str, Callable[[CallSummary], float]] = {
    'worth': lambda summary: summary.total.worth_share,
    'worth, strict': lambda summary: summary.total.strict_share,
    'in time': lambda summary: summary.total.share(Ending.IN_TIME),
    'late': lambda summary: summary.total.share(Ending.LATE),
    'refused': lambda summary: summary.total.share(Ending.REFUSED),
    'failed': lambda summary: summary.total.share(Ending.FAILED),
    'lost again': lambda summary: summary.total.lost_retries / max(1, summary.total.asked),
    'held in vain, s a call': lambda summary: (
        summary.total.wasted_wait_s / max(1, summary.total.asked)
    ),
}


def runs_of(paths: Iterable[Path]) -> list[list[str]]:
    """Return the files of each run: a path that is a directory is one run."""
    return [
        sorted(str(file) for file in path.iterdir() if file.is_file())
        if path.is_dir()
        else [str(path)]
        for path in paths
    ]


def summarize(files: list[str], worths: Worths, stdin: IO[bytes]) -> CallSummary:
    """Return the summary of one run.

    :raises OSError: a file cannot be read.
    """
    summary = CallSummary(worths)
    summary.add_all(LogReader().read_files(files, stdin))
    return summary


def compare_lines(before: list[CallSummary], after: list[CallSummary]) -> list[str]:
    """Return a table that compares both sets, with one line for each figure."""
    lines = [f'{"":24} {"A":>16} {"B":>16} {"B - A":>8}']
    for name, figure in _FIGURES.items():
        first = Interval.of([figure(summary) for summary in before])
        second = Interval.of([figure(summary) for summary in after])
        lines.append(f'{name:24} {first!s:>16} {second!s:>16} {second.mean - first.mean:+8.3f}')
    return lines
