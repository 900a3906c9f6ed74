"""The event log never blocks, and reports the number of dropped lines."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from typing import Any

import pytest

from limeshelf.metrics.event_log import BUFFER_BYTES, REQUEST_LINES_PER_S, EventLog
from limeshelf.util.clock import VirtualClock
from tests.support.clock import fake_time

#: Longer than the capacity of a pipe.
LARGE_TEXT = 'x' * 300_000


@pytest.fixture
def clock() -> Iterator[VirtualClock]:
    with fake_time() as clock:
        yield clock


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(writer)
    os.close(reader)


def drain(reader: int) -> bytes:
    output = b''
    while True:
        try:
            output += os.read(reader, 1 << 20)
        except BlockingIOError:
            return output


def events(text: bytes) -> list[dict[str, Any]]:
    return [json.loads(line) for line in text.splitlines()]


def test_line_has_time_instance_and_event_first(
    clock: VirtualClock, pipe: tuple[int, int]
) -> None:
    log = EventLog(pipe[1])
    log.instance_id = 'g-1'
    log.change('phase', phase='serving')
    [line] = events(drain(pipe[0]))
    assert list(line) == ['at_s', 'instance', 'event', 'phase']
    assert (line['instance'], line['event'], line['phase']) == ('g-1', 'phase', 'serving')


def test_request_lines_are_rate_limited_and_counted(
    clock: VirtualClock, pipe: tuple[int, int]
) -> None:
    log = EventLog(pipe[1])
    for _ in range(REQUEST_LINES_PER_S + 7):
        log.request('attempt')
    log.change('phase')
    clock.advance(1.0)
    log.request('attempt')
    names = [line['event'] for line in events(drain(pipe[0]))]
    assert names == ['attempt'] * REQUEST_LINES_PER_S + ['phase', 'lines_dropped', 'attempt']


def test_slow_reader_receives_complete_lines_later(
    clock: VirtualClock, pipe: tuple[int, int]
) -> None:
    log = EventLog(pipe[1])
    for _ in range(3):
        log.change('large', text=LARGE_TEXT)
    output = drain(pipe[0])
    for _ in range(100):
        log.change('small')
        output += drain(pipe[0])
    assert log.dropped == 0
    names = [line['event'] for line in events(output)]
    assert names == ['large'] * 3 + ['small'] * 100


def test_lines_that_do_not_fit_the_buffer_are_counted(
    clock: VirtualClock, pipe: tuple[int, int]
) -> None:
    log = EventLog(pipe[1])
    for _ in range(BUFFER_BYTES // len(LARGE_TEXT) + 3):
        log.change('large', text=LARGE_TEXT)
    assert log.dropped > 0


def test_log_without_a_reader_is_silent(clock: VirtualClock) -> None:
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog(writer)
    log.change('phase')
    log.change('phase')
    os.close(writer)


def test_log_that_is_not_open_writes_nothing(clock: VirtualClock) -> None:
    EventLog().change('phase')


def test_log_continues_when_its_reader_has_caught_up(
    clock: VirtualClock, pipe: tuple[int, int]
) -> None:
    """Guards against a full buffer that is never flushed, because only added lines flush it."""
    log = EventLog(pipe[1])
    while not log.dropped:
        log.change('large', text=LARGE_TEXT)
    output = b''
    for _ in range(200):
        output += drain(pipe[0])
        log.change('small')
    output += drain(pipe[0])
    assert b'"small"' in output
