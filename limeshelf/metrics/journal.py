"""Structured lines on standard output: decisions, and changes of what a process believes.

Lines are buffered and written by the event loop when it is idle; under load
lines of single requests are dropped, counted and the count is told. Writing
never waits: standard output is put in non-blocking mode.
"""

from __future__ import annotations

import os
import sys
from typing import Any

import msgspec

from limeshelf.util.clock import boottime_s, wall_s

#: Lines of requests a second that are written; more are counted.
REQUEST_LINES_PER_S = 200
#: Bytes that may wait for a slow reader; lines beyond are counted.
BUFFER_BYTES = 1 << 20

_encoder = msgspec.json.Encoder()


class Journal:
    """Writes the lines of one process.

    :param descriptor: where the lines go.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self.instance_id = ''
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._second = 0
        self._written_in_second = 0

    def open(self, instance_id: str) -> None:
        """Start writing to standard output without ever blocking on it."""
        self.instance_id = instance_id
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)

    def request(self, event: str, **fields: Any) -> None:
        """Write a line about one request, if the rate allows it."""
        second = int(boottime_s())
        if second != self._second:
            self._second = second
            self._written_in_second = 0
            self._tell_dropped()
        if self._written_in_second >= REQUEST_LINES_PER_S:
            self.dropped += 1
            return
        self._written_in_second += 1
        self.change(event, **fields)

    def change(self, event: str, **fields: Any) -> None:
        """Write a line about a change of what the process believes."""
        if self._descriptor is None:
            return
        line = {'at_s': round(wall_s(), 4), 'instance': self.instance_id, 'event': event, **fields}
        if len(self._waiting) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._waiting += _encoder.encode(line) + b'\n'
        self._flush()

    def _tell_dropped(self) -> None:
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.change('lines_dropped', count=dropped)

    def _flush(self) -> None:
        assert self._descriptor is not None
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            self._descriptor = None
            return
        del self._waiting[:written]


journal = Journal()


def log_change(event: str, **fields: Any) -> None:
    """Write a line about a change of what this process believes."""
    journal.change(event, **fields)


def log_request(event: str, **fields: Any) -> None:
    """Write a line about a decision on one request."""
    journal.request(event, **fields)
