"""At which service and software version streams began."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.streams.versions import VERSION_MEMORY_S
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Records that one gateway keeps at most; the oldest ones are dropped first.
MAX_RECORDS = 20_000


@attrs.frozen
class StreamOrigin:
    """Where a stream began.

    :param version: software version of the replica.
    """

    service: str
    version: str


class StreamRecords:
    """The origins of streams by the id of the call that brought the first event."""

    def __init__(self) -> None:
        self._records: dict[str, tuple[float, StreamOrigin]] = {}

    def add(self, stream_id: str, origin: StreamOrigin) -> None:
        """Keep the origin of a stream; a later one replaces it."""
        now_s = boottime_s()
        self._records.pop(stream_id, None)
        self._records[stream_id] = (now_s, origin)
        self._drop_old(now_s)

    def _drop_old(self, now_s: float) -> None:
        while self._records:
            oldest = next(iter(self._records))
            is_old = now_s - self._records[oldest][0] > VERSION_MEMORY_S
            if not is_old and len(self._records) <= MAX_RECORDS:
                return
            del self._records[oldest]

    def get(self, stream_id: str) -> StreamOrigin | None:
        """Return the origin of a stream; ``None`` if it is not known."""
        record = self._records.get(stream_id)
        return record[1] if record is not None else None

    def of_service(self, service: str) -> Iterator[tuple[str, StreamOrigin]]:
        """Yield the streams that began at a service."""
        for stream_id, (_, origin) in self._records.items():
            if origin.service == service:
                yield stream_id, origin
