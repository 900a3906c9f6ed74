"""Reads events from the log lines of gateways.

Owns nothing but the count of lines that hold no event. A line may have anything before its
JSON, as log shippers add; files may be rotated, cut or out of order. Relies on msgspec.
"""

from __future__ import annotations

from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

#: Stands for standard input among the inputs.
STDIN = '-'
#: A longer line is no event of a gateway; the rest of it is skipped.
MAX_LINE_BYTES = 1 << 16

_decode = msgspec.json.Decoder(dict[str, Any]).decode


@attrs.frozen
class LogEvent:
    """One line of a gateway's log.

    :param at_s: wall clock, in seconds since the epoch.
    :param instance: the gateway that wrote it.
    :param name: what happened.
    :param fields: what else the line says.
    """

    at_s: float
    instance: str
    name: str
    fields: dict[str, Any]


@attrs.define
class LogReader:
    """Reads events one by one, whatever else the input holds.

    :param on_progress: called with the bytes of each line that was read.
    :ivar events: lines that held an event.
    :ivar unreadable: lines that held none.
    """

    on_progress: Callable[[int], None] = lambda size_bytes: None
    events: int = 0
    unreadable: int = 0

    def read(self, stream: IO[bytes]) -> Iterator[LogEvent]:
        """Yield the events of a binary stream in the order of its lines."""
        in_long_line = False
        while line := stream.readline(MAX_LINE_BYTES):
            self.on_progress(len(line))
            goes_on = not line.endswith(b'\n') and len(line) == MAX_LINE_BYTES
            if goes_on or in_long_line:
                self.unreadable += not in_long_line
                in_long_line = goes_on
                continue
            event = parse_line(line)
            if event is None:
                self.unreadable += bool(line.strip())
                continue
            self.events += 1
            yield event

    def read_files(self, paths: Iterable[str], stdin: IO[bytes]) -> Iterator[LogEvent]:
        """Yield the events of files, one file after the other.

        :param paths: files; ``-`` stands for *stdin*.
        :raises OSError: a file cannot be opened or read.
        """
        for path in paths:
            if path == STDIN:
                yield from self.read(stdin)
                continue
            with Path(path).open('rb') as stream:
                yield from self.read(stream)


def parse_line(line: bytes) -> LogEvent | None:
    """Return the event of a line, or ``None`` if it holds none."""
    start = line.find(b'{"')
    if start < 0:
        return None
    try:
        fields = _decode(line[start:].rstrip())
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    at_s = fields.pop('at_s', None)
    name = fields.pop('event', None)
    instance = fields.pop('instance', '')
    if not isinstance(at_s, int | float) or not isinstance(name, str):
        return None
    return LogEvent(float(at_s), str(instance), name, fields)
