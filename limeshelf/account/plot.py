"""Plots how calls ended over time, how long they waited, and the spans.

Requires matplotlib, which the extra ``account`` installs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl
from matplotlib import pyplot

from limeshelf.account.calls import Cause, Ending
from limeshelf.account.spans import SpanKind

if TYPE_CHECKING:
    from pathlib import Path

    from matplotlib.axes import Axes

    from limeshelf.account.summary import CallSummary

#: Width and height of the plot.
SIZE_INCHES = (11.0, 7.0)
_COLOURS = {
    Ending.IN_TIME: '#4c9f70',
    Ending.LATE: '#e3b23c',
    Ending.REFUSED: '#c1666b',
    Ending.FAILED: '#48466d',
}
#: Kinds of spans drawn as bars, each in its own row below the curves.
_SPAN_ROWS = tuple(SpanKind)


def draw(summary: CallSummary, path: Path) -> None:
    """Write the plot of a closed summary; the suffix of the file name determines the format.

    :raises ValueError: the suffix belongs to no supported format.
    :raises OSError: the file cannot be written.
    """
    mpl.use('Agg')
    figure, (calls, waits, spans) = pyplot.subplots(
        3, 1, sharex=True, figsize=SIZE_INCHES, height_ratios=(3, 2, 2), layout='constrained'
    )
    windows = sorted(summary.by_window)
    begin = windows[0] if windows else 0
    times_s = [(window - begin) * summary.window_s for window in windows]
    shares = [
        [summary.by_window[window].share(ending) for window in windows] for ending in _COLOURS
    ]
    calls.stackplot(times_s, shares, labels=list(_COLOURS), colors=list(_COLOURS.values()))
    calls.set_ylabel('share of calls')
    calls.legend(loc='lower left', fontsize='small')
    _draw_waits(summary, windows, times_s, waits)
    _draw_spans(summary, begin * summary.window_s, spans)
    try:
        figure.savefig(path)
    finally:
        pyplot.close(figure)


def _draw_waits(
    summary: CallSummary, windows: list[int], times_s: list[float], axes: Axes
) -> None:
    causes = [
        cause for cause in Cause if any(cause in waits_s for waits_s in summary.waits_s.values())
    ]
    for cause in causes:
        waited_s = [summary.waits_s.get(window, {}).get(cause, 0.0) for window in windows]
        axes.plot(times_s, waited_s, label=cause)
    axes.set_ylabel('seconds waited')
    if causes:
        axes.legend(loc='upper left', fontsize='x-small')


def _draw_spans(summary: CallSummary, begin_s: float, axes: Axes) -> None:
    for row, kind in enumerate(_SPAN_ROWS):
        bars = [
            (span.begin_s - begin_s, max(0.05, span.end_s - span.begin_s))
            for span in summary.spans.close()
            if span.kind is kind
        ]
        axes.broken_barh(bars, (row - 0.4, 0.8))
    axes.set_yticks(range(len(_SPAN_ROWS)), list(_SPAN_ROWS), fontsize='x-small')
    axes.set_xlabel('seconds since the first call')
