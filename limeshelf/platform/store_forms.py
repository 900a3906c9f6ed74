"""What is said to the platform's store and by it: transactions, answers and the rows in them.

Owns the formats. The comments stand where the platform's name misleads.
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

#: Name of the store in errors and log lines.
STORE = 'store'
#: The group of all rows of the product.
NO_PART = ''
STATUS_OK = 200
#: A row of the condition has another version; nothing was written.
STATUS_CONDITION = 412
#: The feed no longer has the changes after the asked version.
STATUS_HISTORY_GONE = 410
#: Refused before anything was done: too many calls, or the store is not available.
STATUS_NOT_DONE = frozenset({429, 503})


class StoredRow(msgspec.Struct, rename={'key': 'Key', 'value': 'Value'}):
    """A row in an answer."""

    key: str
    #: From one counter of the whole store, not one a row.
    ver: int
    #: A text in base64, if a program that knows the store has written it.
    value: Any = ''
    #: The row was deleted at this version; only the feed has such rows.
    gone: bool = False


class StoreAnswer(msgspec.Struct, rename={'rows': 'Rows'}):
    """The answer to any call that was done."""

    #: Version of the whole store when it answered.
    ver: int = 0
    #: Each is decoded by itself, so that one that cannot be read leaves the others.
    rows: list[msgspec.Raw] = []
    #: The answer was cut; the next one begins behind its last row.
    more: bool = False
    #: The store's steady clock, not the time of day.
    now_ms: float = 0
    #: Of all of the above; stands in the head.
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position of the store when it answered."""
        return Position(self.era, self.ver)


class RowKey(msgspec.Struct, rename={'key': 'Key'}):
    """Names a row."""

    table: str
    #: Groups rows that are written together; the product uses one group, without a name.
    part: str
    key: str


class RowCondition(RowKey):
    """What must hold of a row for a transaction to be done."""

    #: Version that the row must have; 0 for none.
    ver: int


class Put(RowKey, rename={'value': 'Value'}):
    """A row to write."""

    #: Encoded in base64.
    value: bytes


class Transaction(msgspec.Struct, rename={'conditions': 'ExpectedRevision', 'drop': 'Delete'}):
    """All of it is done, or nothing; the fields are encoded in this sequence."""

    #: Not one revision: the rows of the condition with their versions.
    conditions: list[RowCondition]
    put: list[Put]
    drop: list[RowKey]


_answers = msgspec.json.Decoder(StoreAnswer)
_row_decoder = msgspec.json.Decoder(StoredRow)


def read_rows(body: bytes, table: str) -> tuple[Row, ...]:
    """Return the rows in the body of an answer that states no era.

    :raises PlatformUnknown: it is no answer.
    """
    return rows_of(_decode(body), table)


def _decode(body: bytes) -> StoreAnswer:
    try:
        return _answers.decode(body)
    except DECODE_ERRORS:
        raise PlatformUnknown(STORE) from None


def rows_of(answer: StoreAnswer, table: str) -> tuple[Row, ...]:
    """Return the rows of an answer that can be read."""
    rows = (_read_row(encoded, table, answer.era) for encoded in answer.rows)
    return tuple(row for row in rows if row is not None)


def _read_row(encoded: msgspec.Raw, table: str, era: int) -> Row | None:
    """Return a row, without a value if that cannot be read; ``None`` without key or version.

    Whoever takes the row finds that it says nothing. Were the whole answer unusable for one such
    row, the gateway would know no replica at all.
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


def read_answer(status: int, body: bytes, era: int, query: dict[str, str] | None) -> StoreAnswer:
    """Return the answer of a call that was done; raises what any other one means."""
    if status == STATUS_HISTORY_GONE and query is not None and 'after' in query:
        raise HistoryGone(query['table'])
    if status in STATUS_NOT_DONE or status == STATUS_HISTORY_GONE:
        raise PlatformUnavailable(STORE)
    if status not in (STATUS_OK, STATUS_CONDITION):
        raise PlatformUnknown(STORE)
    answer = _decode(body)
    answer.era = era
    if status == STATUS_CONDITION:
        raise ConditionFailed(rows_of(answer, ''))
    return answer
