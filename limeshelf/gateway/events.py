"""Splits a stream of server-sent events at the ends of whole events.

Owns the unfinished rest of one call's stream, across its attempts; a resumed stream goes
on behind the last whole event.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import attrs

from limeshelf.errors import LimeshelfError

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)
#: Most bytes that are kept of an event without an end. Events of the users' streams carry a few
#: tokens.
MAX_EVENT_BYTES = 1 << 20


@dataclass(eq=False)
class EventTooLong(LimeshelfError):
    """An event grew beyond its bound without an end.

    :param size_bytes: what of it has come.
    """

    size_bytes: int


@attrs.define
class EventSplitter:
    """Keeps the unfinished rest of a stream back until its event is whole.

    :ivar last_id: id of the last whole event.
    :ivar events: whole events so far.
    """

    last_id: str | None = None
    events: int = 0
    _partial_event: bytes = b''

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that *data* completes.

        :raises EventTooLong: what follows them is too long; none of them is returned or
            counted, so that a resumed stream brings them again.
        """
        text = self._partial_event + data
        end = 0
        count = 0
        for found in _EVENT_END.finditer(text):
            end = found.end()
            count += 1
        if len(text) - end > MAX_EVENT_BYTES:
            raise EventTooLong(len(text) - end)
        if not end:
            self._partial_event = text
            return b''
        whole, self._partial_event = text[:end], text[end:]
        self.events += count
        ids = _EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return whole

    @property
    def has_partial_event(self) -> bool:
        """Return whether the stream stands in the middle of an event."""
        return bool(self._partial_event.strip())

    def discard_partial_event(self) -> None:
        """Forget the unfinished event; another replica sends it whole."""
        self._partial_event = b''
