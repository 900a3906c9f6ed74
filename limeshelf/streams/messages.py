"""Messages about where streams began.

Field names are part of the wire format and must not change.
"""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.peers.messages import add_message


class StreamRecord(msgspec.Struct, array_like=True):
    """Where one stream began.

    :ivar stream_id: id of the call that brought the first event.
    :ivar version: software version of the replica.
    """

    stream_id: str
    service: str
    version: str


@add_message('stream-records')
@attrs.frozen
class StreamsBegun:
    """Tells a recorder where streams began."""

    records: list[StreamRecord]


@add_message('stream-query')
@attrs.frozen
class StreamQuery:
    """Asks a recorder where a stream began.

    :param query_id: chosen by the asking gateway.
    :param services: services at which it may have begun.
    """

    query_id: str
    stream_id: str
    services: list[str]


@add_message('stream-answer')
@attrs.frozen
class StreamAnswer:
    """Answers a query.

    :param record: where the stream began; ``None`` if the recorder does not know it.
    :param versions: by service asked for, the versions that its replicas have had lately.
    """

    query_id: str
    record: StreamRecord | None
    versions: dict[str, list[str]]
