"""Messages in which gateways pass rows of the store to each other.

Field names and field order are part of the wire format and must not change. Conversion to and
from the types of :mod:`limeshelf.feeds` is in :mod:`limeshelf.membership.row_conversion`.
"""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.peers.messages import add_message

#: Era in a message from a release that does not send eras.
NO_ERA = -1
#: Version in a message from a release that does not send it.
NO_VERSION = -1


class TableRow(msgspec.Struct, array_like=True):
    """The latest version of a store row that the sender has.

    :ivar value: value of the row; for a deleted row, the last value before deletion if known.
    :ivar version: version of the row's last change, within *era*.
    :ivar gone: whether that change deleted the row.
    :ivar era: store era of that change.
    """

    key: str
    value: bytes
    version: int
    gone: bool
    era: int = NO_ERA


class TableUpdate(msgspec.Struct, array_like=True):
    """All changes of a table in a range of store versions.

    :ivar after: store version at which the range starts, exclusive.
    :ivar upto: store version at which the range ends, inclusive.
    :ivar age_ms: time between the store's last confirmation of the table and the sending of
        the update.
    :ivar confirmed_ms: time of that confirmation on the store's clock; 0 from a release that
        does not send it.
    :ivar after_era: store era of ``after``.
    :ivar upto_era: store era of ``upto``.
    :ivar seen_from: store version from which on the sender knows all deletions;
        :data:`NO_VERSION` from a release that does not send it.
    :ivar seen_from_era: store era of ``seen_from``.
    :ivar omits_rows: whether the sender has more rows than it sends, because they are large. The
        range is empty then, and begins where those rows end; receivers read them from the store.
    """

    table: str
    after: int
    upto: int
    age_ms: int
    rows: list[TableRow]
    confirmed_ms: int = 0
    after_era: int = NO_ERA
    upto_era: int = NO_ERA
    seen_from: int = NO_VERSION
    seen_from_era: int = NO_ERA
    omits_rows: bool = False


@add_message('rows-query')
@attrs.frozen
class RowsQuery:
    """Requests rows of the store that the sender lacks from a peer.

    :param versions: by table, the version after which changes are requested.
    :param asked_ms: the sender's boot clock when it sends the query; 0 from a release that
        does not send it.
    :param eras: by table, the store era of that version.
    """

    versions: dict[str, int]
    asked_ms: int = 0
    eras: dict[str, int] = attrs.field(factory=dict)


@add_message('table-words')
@attrs.frozen
class TableUpdates:
    """Updates of tables, sent unsolicited or in answer to a :class:`RowsQuery`.

    :param words: the updates; the field keeps its name on the wire.
    :param asked_ms: in an answer, ``asked_ms`` of the query; otherwise 0.
    :param store_ms: in an answer, upper bound of the store's clock when the answer is sent; 0 if
        unknown.
    :param store_era: store era to which that clock belongs.
    """

    words: list[TableUpdate]
    asked_ms: int = 0
    store_ms: int = 0
    store_era: int = NO_ERA
