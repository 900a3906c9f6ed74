"""Formats the models and adapters that were served late or never, for the terminal."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from limeshelf.account.starved import MIN_CALLS, MIN_SPAN_S, DemandKey, is_evicted

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limeshelf.account.lines import LogEvent, LogReader
    from limeshelf.account.starved import FailureCount, KeyHistory, StarvedKeys

#: Maximum number of the leader's actions shown for one key, the earliest first.
SHOWN_ACTIONS = 12
#: Maximum number of keys shown of those that were served.
SHOWN_LATE = 12
#: Fields of an action that are shown if present.
ACTION_FIELDS = (
    'replica',
    'model',
    'adapter',
    'kind',
    'outcome',
    'reason',
    'cause',
    'from_store',
    'load_s',
    'gain',
    'loss',
    'unserved_ms',
    'evicted',
)


def starved_lines(starved: StarvedKeys, reader: LogReader) -> list[str]:
    """Return the report; requires that all events were added."""
    lines = [f'{reader.events} events, {reader.unreadable} lines without one']
    if starved.dropped_lines:
        lines.append(
            f'{starved.dropped_lines} lines were dropped: what is named may have been served'
        )
    if reader.events:
        lines.append(f'times in seconds from at_s {starved.began_s:.3f}')
    lines += ['', f'never served, of what had {MIN_CALLS} calls over {MIN_SPAN_S:g} s or more']
    for key, demand in starved.never_served():
        lines += _never_served(key, demand, starved)
    if not starved.never_served():
        lines.append('  none')
    return [*lines, *_served_late(starved)]


def _never_served(key: DemandKey, demand: KeyHistory, starved: StarvedKeys) -> list[str]:
    first_s = min(demand.asked_s) - starved.began_s
    last_s = max(demand.asked_s) - starved.began_s
    lines = [f'{key}: {len(demand.calls)} calls from {first_s:.1f} to {last_s:.1f}']
    for name, failures in sorted(
        demand.failures.items(), key=lambda item: (-item[1].lines, item[0])
    ):
        lines.append(f'  told {failures.lines:5} {name}{_waits_text(failures)}')
    if key.adapter:
        lines.append(f'  {demand.refused_with_model} times while a replica held its model')
    actions = starved.actions_for(key)
    lines += [_action_line(key, event, starved.began_s) for event in actions[:SHOWN_ACTIONS]]
    if len(actions) > SHOWN_ACTIONS:
        lines.append(f'  and {len(actions) - SHOWN_ACTIONS} lines more of the leader')
    if not actions:
        lines.append('  the leader did nothing for it')
    return lines


def _waits_text(failures: FailureCount) -> str:
    if not failures.waits_s:
        return ''
    median_s = statistics.median(failures.waits_s)
    return (
        f', expected wait {min(failures.waits_s):.1f} to {max(failures.waits_s):.1f} s, '
        f'median {median_s:.1f} s'
    )


def _action_line(key: DemandKey, event: LogEvent, began_s: float) -> str:
    shown = [
        f'{name}={_text(event.fields[name])}'
        for name in ACTION_FIELDS
        if event.fields.get(name) not in (None, '', [])
    ]
    name = f'evicted by {event.name}' if is_evicted(key, event) else event.name
    return f'  {event.at_s - began_s:8.1f}  {name} {" ".join(shown)}'


def _text(value: object) -> str:
    return ','.join(map(str, value)) if isinstance(value, list) else str(value)


def _served_late(starved: StarvedKeys) -> list[str]:
    served = starved.served_late()
    lines = ['', 'served in the end: longest time without an answer, calls, answers']
    lines += _late_rows(served[:SHOWN_LATE])
    if not served:
        lines.append('  none')
    return lines


def _late_rows(served: Sequence[tuple[DemandKey, KeyHistory]]) -> list[str]:
    return [
        f'  {one.longest_wait_s:7.1f} s {len(one.calls):6} {len(one.served_s):6}  {key}'
        for key, one in served
    ]
