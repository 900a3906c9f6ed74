"""Message formats of the platform's store: transactions, responses and the rows in them.

Owns the formats. Comments explain fields whose platform name is misleading.
"""

from __future__ import annotations

import base64
from typing import Any

import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import ConditionFailed, HistoryGone, Row
from limeshelf.metrics.event_log import log_change
from limeshelf.util.decoding import DECODE_ERRORS

#: Service name of the store in errors and log lines.
STORE = 'store'
#: The partition that holds all rows of this product: the one without a name.
UNNAMED_PARTITION = ''
STATUS_OK = 200
#: A row of the condition has a different version; nothing was written.
STATUS_CONDITION_FAILED = 412
#: The feed no longer holds all changes since the requested version.
STATUS_HISTORY_GONE = 410
#: Refused before execution: rate limit exceeded, or the store is unavailable.
NOT_EXECUTED_STATUSES = frozenset({429, 503})


class StoredRow(msgspec.Struct, rename={'key': 'Key', 'value': 'Value'}):
    """A row in a response."""

    key: str
    #: Taken from one counter for the whole store, not from one per row.
    ver: int
    #: Base64 text if the writer followed the store's format; other writers may store any JSON.
    value: Any = ''
    #: Whether the row was deleted at this version; set only in responses of the feed.
    gone: bool = False


class StoreResponse(msgspec.Struct, rename={'rows': 'Rows'}):
    """The response to any request that the store executed."""

    #: Version of the whole store at the time of the response.
    ver: int = 0
    #: Each row is decoded separately, so that a malformed one does not affect the others.
    rows: list[msgspec.Raw] = []
    #: The response is a partial page; the next page starts after its last row.
    more: bool = False
    #: The store's monotonic clock, not the time of day.
    now_ms: float = 0
    #: Store era to which the fields above belong; taken from a response header.
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position of the store at the time of the response."""
        return Position(self.era, self.ver)


class RowKey(msgspec.Struct, rename={'key': 'Key'}):
    """Identifies a row."""

    table: str
    #: Partition: groups rows that are written together; this product uses only the unnamed one.
    part: str
    key: str


class RowCondition(RowKey):
    """A precondition of a transaction on the version of one row."""

    #: Version that the row must have; 0 if the row must not exist.
    ver: int


class Put(RowKey, rename={'value': 'Value'}):
    """A row to write."""

    #: Encoded in base64.
    value: bytes


class Transaction(msgspec.Struct, rename={'conditions': 'ExpectedRevision', 'drop': 'Delete'}):
    """An atomic set of writes and deletions; the fields are encoded in this order."""

    #: Not a single revision: a list of rows with the version that each must have.
    conditions: list[RowCondition]
    put: list[Put]
    drop: list[RowKey]


_response_decoder = msgspec.json.Decoder(StoreResponse)
_row_decoder = msgspec.json.Decoder(StoredRow)


def read_rows(body: bytes, table: str) -> tuple[Row, ...]:
    """Return the rows in the body of a response without an era.

    :raises PlatformUnknown: the body is not a valid response.
    """
    return decode_rows(_decode(body), table)


def _decode(body: bytes) -> StoreResponse:
    try:
        return _response_decoder.decode(body)
    except DECODE_ERRORS:
        raise PlatformUnknown(STORE) from None


def decode_rows(response: StoreResponse, table: str) -> tuple[Row, ...]:
    """Return the rows of a response, without those that cannot be decoded."""
    rows = (_decode_row(encoded, table, response.era) for encoded in response.rows)
    return tuple(row for row in rows if row is not None)


def _decode_row(encoded: msgspec.Raw, table: str, era: int) -> Row | None:
    """Return a row, or ``None`` if its key or version cannot be decoded.

    A row whose value cannot be decoded gets an empty value, which its consumer rejects as
    invalid. Rejecting the whole response because of one such row would leave the gateway
    without any replica.
    """
    try:
        row = _row_decoder.decode(encoded)
    except DECODE_ERRORS as error:
        log_change('row_unreadable', table=table, problem=str(error))
        return None
    try:
        value = base64.b64decode(row.value, validate=True)
    except (TypeError, ValueError):
        log_change('row_unreadable', table=table, key=row.key, version=row.ver)
        value = b''
    return Row(row.key, value, Position(era, row.ver), row.gone)


def read_response(
    status: int, body: bytes, era: int, query: dict[str, str] | None
) -> StoreResponse:
    """Return the response to a request that was executed.

    :raises HistoryGone: the feed no longer holds the requested changes.
    :raises PlatformUnavailable: the request was not executed.
    :raises PlatformUnknown: the request may have been executed.
    :raises ConditionFailed: a precondition does not hold; nothing was written.
    """
    if status == STATUS_HISTORY_GONE and query is not None and 'after' in query:
        raise HistoryGone(query['table'])
    if status in NOT_EXECUTED_STATUSES or status == STATUS_HISTORY_GONE:
        raise PlatformUnavailable(STORE)
    if status not in (STATUS_OK, STATUS_CONDITION_FAILED):
        raise PlatformUnknown(STORE)
    response = _decode(body)
    response.era = era
    if status == STATUS_CONDITION_FAILED:
        raise ConditionFailed(decode_rows(response, ''))
    return response
