"""Reads events from the log lines of gateways.

Owns only the counts of read and unreadable lines. A line may have any prefix before its JSON, as
log shippers add one; files may be rotated, truncated or out of order.
"""

from __future__ import annotations

from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

#: Name of standard input among the inputs.
STDIN = '-'
#: Maximum length of a line; a longer one cannot be an event and is skipped.
MAX_LINE_BYTES = 1 << 16

_decode = msgspec.json.Decoder(dict[str, Any]).decode


@attrs.frozen
class LogEvent:
    """One line of a gateway's log.

    :param at_s: wall clock, in seconds since the epoch.
    :param instance: the gateway that wrote it.
    :param name: name of the event.
    :param fields: remaining fields of the line.
    """

    at_s: float
    instance: str
    name: str
    fields: dict[str, Any]


@attrs.define
class LogReader:
    """Reads events one by one and skips all other lines.

    :param on_progress: called with the length of each line read, in bytes.
    :ivar events: number of lines with an event.
    :ivar unreadable: number of other lines, except blank ones.
    """

    on_progress: Callable[[int], None] = lambda size_bytes: None
    events: int = 0
    unreadable: int = 0

    def read(self, stream: IO[bytes]) -> Iterator[LogEvent]:
        """Yield the events of a binary stream in the order of its lines."""
        skips_long_line = False
        while line := stream.readline(MAX_LINE_BYTES):
            self.on_progress(len(line))
            is_truncated = not line.endswith(b'\n') and len(line) == MAX_LINE_BYTES
            if is_truncated or skips_long_line:
                self.unreadable += not skips_long_line
                skips_long_line = is_truncated
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
    """Return the event of a line, or ``None`` if it contains none."""
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
