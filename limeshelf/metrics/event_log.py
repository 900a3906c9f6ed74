"""The event log of a gateway: one JSON line on standard output for each event.

Owns the buffer of lines that wait for a slow reader, and the allowance of
lines about single requests. Relies on the clocks alone. Writing never blocks:
standard output is put in non-blocking mode, and what it does not take at once
waits in the buffer until the next event. Lines that find no room are counted,
and the count is written as an event of its own.
"""

from __future__ import annotations

import os
import sys
from typing import Any

import msgspec

from limeshelf.util.clock import boottime_s, wall_s

#: Lines about single requests that are written; more are counted.
REQUEST_LINES_PER_S = 200
#: What may wait for a slow reader; lines beyond are counted.
BUFFER_BYTES = 1 << 20

_encoder = msgspec.json.Encoder()


class EventLog:
    """Writes the events of one process.

    :param descriptor: file descriptor of the output; ``None`` writes nothing.
    :ivar instance_id: stands in each line; empty until the log is opened.
    :ivar dropped: lines left out since the count was last written.
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
            self._write_dropped()
        if self._written_in_second >= REQUEST_LINES_PER_S:
            self.dropped += 1
            return
        self._written_in_second += 1
        self.change(event, **fields)

    def change(self, event: str, **fields: Any) -> None:
        """Write a line about a change of the process, or of what it knows of others."""
        if self._descriptor is None:
            return
        line = {'at_s': round(wall_s(), 4), 'instance': self.instance_id, 'event': event, **fields}
        if len(self._waiting) > BUFFER_BYTES:
            self.dropped += 1
            # What waits is offered again, or the buffer would stay full for ever.
            self._flush(self._descriptor)
            return
        self._waiting += _encoder.encode(line) + b'\n'
        self._flush(self._descriptor)

    def _write_dropped(self) -> None:
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.change('lines_dropped', count=dropped)

    def _flush(self, descriptor: int) -> None:
        try:
            written = os.write(descriptor, self._waiting)
        except BlockingIOError:
            # The reader is slow; the next event tries again.
            return
        except OSError:
            # The reader is gone, and with it the only place where this could be said.
            self._descriptor = None
            return
        del self._waiting[:written]


#: The event log of this process; writes nothing until it is opened.
event_log = EventLog()


def log_change(event: str, **fields: Any) -> None:
    """Write a line about a change of this process, or of what it knows of others."""
    event_log.change(event, **fields)


def log_request(event: str, **fields: Any) -> None:
    """Write a line about a decision on one request."""
    event_log.request(event, **fields)
