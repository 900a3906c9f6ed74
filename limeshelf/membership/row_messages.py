"""The messages in which gateways pass rows of the store on.

Their fields are the form on the wire: names and order stay, also where the name is poor. What
stands in them is read by :mod:`limeshelf.membership.row_forms`.
"""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.peers.messages import add_message

#: Stands for an era in a message of a release that states none.
NO_ERA = -1


class TableRow(msgspec.Struct, array_like=True):
    """A row of the store, as new as the sender has it.

    :ivar value: of a row that was deleted, the last one before, as far as that is known.
    :ivar version: of the row's last change, in its era.
    :ivar gone: whether it was deleted then.
    :ivar era: of the store, in which that was.
    """

    key: str
    value: bytes
    version: int
    gone: bool
    era: int = NO_ERA


class TableUpdate(msgspec.Struct, array_like=True):
    """What changed in a table between two positions, as far as the sender has it.

    :ivar after: version of the store after which all changes are in the update.
    :ivar upto: version of the store up to which they are.
    :ivar age_ms: how long before the update was sent the store last confirmed it.
    :ivar confirmed_ms: the same moment on the store's clock; 0 from a release that does not
        say.
    :ivar after_era: of the store, to which ``after`` belongs.
    :ivar upto_era: the same for ``upto``.
    """

    table: str
    after: int
    upto: int
    age_ms: int
    rows: list[TableRow]
    confirmed_ms: int = 0
    after_era: int = NO_ERA
    upto_era: int = NO_ERA


@add_message('rows-query')
@attrs.frozen
class RowsQuery:
    """Asks a peer for its rows of the store.

    :param versions: table to the highest version that the asker has.
    :param asked_ms: the asker's steady clock as it asks; 0 from a release that does not say.
    :param eras: table to the era of the store to which that version belongs.
    """

    versions: dict[str, int]
    asked_ms: int = 0
    eras: dict[str, int] = attrs.field(factory=dict)


@add_message('table-words')
@attrs.frozen
class TableUpdates:
    """Updates of tables, sent unasked or as the answer to a query.

    :param words: the updates; the name is the one on the wire.
    :param asked_ms: in an answer, what the query said; otherwise 0.
    :param store_ms: in an answer, what the store's clock shows at the most as it is given; 0
        where that is unknown.
    :param store_era: the era of the store whose clock that is.
    """

    words: list[TableUpdate]
    asked_ms: int = 0
    store_ms: int = 0
    store_era: int = NO_ERA
