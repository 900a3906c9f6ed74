"""The trace of one call: its events at all gateways, in order of time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.account.calls import CallRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.account.lines import LogEvent


def call_events(call_id: str, events: Iterable[LogEvent]) -> list[LogEvent]:
    """Return the events of a call in order of time."""
    of_call = [event for event in events if event.fields.get('request') == call_id]
    return sorted(of_call, key=lambda event: event.at_s)


def trace_lines(events: list[LogEvent]) -> list[str]:
    """Return a trace as text: one line for each event with its fields, then the ending."""
    if not events:
        return []
    record = CallRecord(str(events[0].fields.get('request')), events[0].at_s)
    lines = []
    for event in events:
        record.add_event(event)
        since_ms = (event.at_s - events[0].at_s) * 1000
        field_text = ' '.join(
            f'{name}={value}' for name, value in event.fields.items() if name != 'request'
        )
        lines.append(f'{since_ms:9.1f} ms  {event.instance}  {event.name}  {field_text}')
    lines.append(_ending_line(record))
    return lines


def _ending_line(record: CallRecord) -> str:
    text = f'ended {record.ending}'
    if record.cause:
        text += f': {record.cause}'
    if record.returned:
        text += '; its caller had likely been refused before'
    if record.retry_after_s is not None:
        text += f'; told to come back after {record.retry_after_s:.2f} s'
    return text
