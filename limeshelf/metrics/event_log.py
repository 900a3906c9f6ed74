"""The event log of a gateway: one JSON line on standard output for each event.

Owns the buffer of unwritten lines and the rate limit of lines about single requests. Writing
never blocks: standard output is in non-blocking mode, and what it does not accept at once stays
in the buffer until the next event. Lines that do not fit are dropped and counted, and the count
is written as an event of its own.
"""

from __future__ import annotations

import os
import sys
from typing import Any

import msgspec

from limeshelf.util.clock import boottime_s, wall_s

#: Maximum rate of lines about single requests; further lines are dropped and counted.
REQUEST_LINES_PER_S = 200
#: Buffer size above which further lines are dropped and counted, if the reader is slow.
BUFFER_BYTES = 1 << 20

_encoder = msgspec.json.Encoder()


class EventLog:
    """Writes the events of one process.

    :param descriptor: file descriptor of the output; ``None`` disables writing.
    :ivar instance_id: id written in each line; empty until the log is opened.
    :ivar dropped: number of lines dropped since the count was last written.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self.instance_id = ''
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._current_second = 0
        self._written_in_second = 0

    def open(self, instance_id: str) -> None:
        """Start writing to standard output, in non-blocking mode."""
        self.instance_id = instance_id
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)

    def request(self, event: str, **fields: Any) -> None:
        """Write a line about one request, or drop it if the rate limit is reached."""
        second = int(boottime_s())
        if second != self._current_second:
            self._current_second = second
            self._written_in_second = 0
            self._write_dropped()
        if self._written_in_second >= REQUEST_LINES_PER_S:
            self.dropped += 1
            return
        self._written_in_second += 1
        self.change(event, **fields)

    def change(self, event: str, **fields: Any) -> None:
        """Write a line about a state change of the process, or of its view of other processes."""
        if self._descriptor is None:
            return
        line = {'at_s': round(wall_s(), 4), 'instance': self.instance_id, 'event': event, **fields}
        if len(self._buffer) > BUFFER_BYTES:
            self.dropped += 1
            # Flushes here too; otherwise a full buffer would never be emptied.
            self._flush(self._descriptor)
            return
        self._buffer += _encoder.encode(line) + b'\n'
        self._flush(self._descriptor)

    def _write_dropped(self) -> None:
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.change('lines_dropped', count=dropped)

    def _flush(self, descriptor: int) -> None:
        try:
            written = os.write(descriptor, self._buffer)
        except BlockingIOError:
            # The reader is slow; the next event flushes again.
            return
        except OSError:
            # The reader is gone, and there is no other output to report this to.
            self._descriptor = None
            return
        del self._buffer[:written]


#: The event log of this process; writes nothing until it is opened.
event_log = EventLog()


def log_change(event: str, **fields: Any) -> None:
    """Write a line about a state change of this process, or of its view of others."""
    event_log.change(event, **fields)


def log_request(event: str, **fields: Any) -> None:
    """Write a line about a decision on one request."""
    event_log.request(event, **fields)
