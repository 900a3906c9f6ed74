"""Formats a summary as text for the terminal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.account.calls import Ending

if TYPE_CHECKING:
    from limeshelf.account.lines import LogReader
    from limeshelf.account.summary import CallSummary, Tally

#: Maximum number of models shown, those with the largest loss first.
SHOWN_MODELS = 12
#: Maximum number of time windows shown, the worst first.
SHOWN_WINDOWS = 8

_COLUMNS = ('asked', 'in time', 'late', 'refused', 'failed', 'worth', 'strict')
_WIDTHS = (7, 8, 6, 8, 7, 6, 7)
_HEAD = ' ' * 24 + ''.join(
    f' {title:>{width}}' for title, width in zip(_COLUMNS, _WIDTHS, strict=True)
)


def report_lines(summary: CallSummary, reader: LogReader) -> list[str]:
    """Return the report of a closed summary."""
    lines = [f'{reader.events} events, {reader.unreadable} lines without one', '']
    lines += ['what the rest was lost to, by worth']
    for cause, cause_sum in summary.ranked_causes():
        within = ', '.join(f'{kind} {count}' for kind, count in cause_sum.within.most_common(3))
        lines.append(f'  {cause_sum.worth:9.1f}  {cause_sum.calls:6} calls  {cause}')
        if within:
            lines.append(f'{"":25}within: {within}')
    lines += ['', _HEAD, _row('all', summary.total)]
    lines += _table('route', summary.by_route)
    lines += _table('data centre', summary.by_centre)
    by_loss = sorted(summary.by_model.items(), key=lambda item: item[1].earned - item[1].owed)
    lines += _table('model', dict(by_loss[:SHOWN_MODELS]))
    lines += _worst_windows(summary)
    total = summary.total
    lines += [
        '',
        f'held in vain {total.wasted_wait_s:.1f} s; lost again after a refusal '
        f'{total.lost_retries} calls',
    ]
    return lines


def _table(title: str, tallies: dict[str, Tally]) -> list[str]:
    rows = [_row(name or '(none)', tally) for name, tally in tallies.items()]
    return ['', title, *rows]


def _worst_windows(summary: CallSummary) -> list[str]:
    if not summary.by_window:
        return []
    first = min(summary.by_window)
    worst = sorted(summary.by_window.items(), key=lambda item: item[1].worth_share)
    rows = [
        _row(f'{(window - first) * summary.window_s:.0f} s', tally)
        for window, tally in worst[:SHOWN_WINDOWS]
    ]
    return ['', f'worst {summary.window_s:g} s, from the first call', *rows]


def _row(name: str, tally: Tally) -> str:
    return (
        f'{name[:24]:24} {tally.asked:7} {tally.share(Ending.IN_TIME):8.3f} '
        f'{tally.share(Ending.LATE):6.3f} {tally.share(Ending.REFUSED):8.3f} '
        f'{tally.share(Ending.FAILED):7.3f} {tally.worth_share:6.3f} {tally.strict_share:7.3f}'
    )
