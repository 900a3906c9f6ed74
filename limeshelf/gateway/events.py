"""Splits a stream of server-sent events into complete events.

Owns the position in one call's stream across its attempts; a resumed stream continues after
the last complete event.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import attrs

from limeshelf.errors import LimeshelfError

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id: ?([^\r\n]*)', re.MULTILINE)
#: Largest incomplete event that is buffered. Events of the users' streams carry a few tokens.
MAX_EVENT_BYTES = 1 << 20


@dataclass(eq=False)
class EventTooLong(LimeshelfError):
    """An incomplete event exceeded its size limit.

    :param size_bytes: bytes of the event received so far.
    """

    size_bytes: int


@attrs.define
class EventSplitter:
    """Buffers the incomplete end of a stream until its event is complete.

    :ivar last_id: id of the last complete event.
    :ivar events: number of complete events so far.
    """

    last_id: str | None = None
    events: int = 0
    _partial_event: bytes = b''

    def feed(self, data: bytes) -> bytes:
        """Return the events that *data* completes.

        :raises EventTooLong: the incomplete event after them is too long; none of them is returned
            or counted, so that a resumed stream sends them again.
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
        complete, self._partial_event = text[:end], text[end:]
        self.events += count
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return complete

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event that is buffered."""
        return len(self._partial_event)

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial_event.strip())

    def discard_partial_event(self) -> None:
        """Discard the incomplete event; another replica sends it from its start."""
        self._partial_event = b''
