"""Records this gateway for the others, and takes in which others there are.

Owns nothing; writes this gateway's row in the store, and keeps the table of gateways
up to date from the rows of the others and from their notice that they stop.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.feeds.rows import ConditionFailed
from limeshelf.membership.member import MEMBER_TABLE, MemberValue
from limeshelf.membership.messages import GatewayLeaving
from limeshelf.metrics.event_log import log_change
from limeshelf.util.backoff import full_jitter_s
from limeshelf.util.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from limeshelf.feeds.position import Position
    from limeshelf.feeds.rows import Row, RowTable
    from limeshelf.feeds.table_copy import TableCopy
    from limeshelf.membership.leader import LeaderView
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: Pause after a failed write of the own row: bound of the first, and the largest.
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 2.0
#: Longest pause before the own row is written again once the store has lost it, in seconds: it
#: spreads the writes of hundreds of gateways.
RETURN_SPREAD_S = 1.2

_values = msgspec.json.Decoder(MemberValue)


def _read_value(value: bytes) -> MemberValue | None:
    """Return what a row says; ``None`` if it is not a gateway's."""
    try:
        member = _values.decode(value)
    except DECODE_ERRORS:
        return None
    host, _, port = member.address.rpartition(':')
    return member if host and port.isascii() and port.isdigit() else None


@attrs.define
class Registration:
    """Writes this gateway's row and reads those of the others."""

    instance_id: str
    node: PeerNode
    members: Members
    leader: LeaderView
    _is_lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    _written: Position | None = None

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(GatewayLeaving, self._take_leaving)

    async def keep_row(self, store: RowTable) -> None:
        """Write this gateway's row, so that the others find it; again when the store loses it."""
        while True:
            await self.write_row(store)
            await self._is_lost.wait()
            self._is_lost.clear()
            await asyncio.sleep(random.uniform(0.0, RETURN_SPREAD_S))
            log_change('member_row_lost')

    async def write_row(self, store: RowTable) -> None:
        """Write this gateway's row; repeat until it is there."""
        value = self._own_value()
        attempt = 0
        while True:
            try:
                self._written = await store.write(MEMBER_TABLE, self.instance_id, value, None)
                return
            except (PlatformUnavailable, PlatformUnknown, ConditionFailed) as error:
                # Until the row is there, relays learn of this gateway by its digests.
                attempt += 1
                if attempt == 1:
                    log_change('member_row_not_written', reason=repr(error))
                await asyncio.sleep(full_jitter_s(attempt, RETRY_BASE_S, RETRY_LIMIT_S))

    def _own_value(self) -> bytes:
        own = self.members.own
        return msgspec.json.encode(MemberValue(own.address, own.data_centre, own.weight))

    def note_return(self, copy: TableCopy) -> None:
        """Have the own row written again if the store has lost it, or an older one is back."""
        era = copy.position.era
        is_written = self._written is not None and self._written.era >= era
        if not is_written and copy.value_of_this_era(self.instance_id) != self._own_value():
            self._is_lost.set()

    def take_row(self, row: Row) -> bool:
        """Take a row of the table of members; return whether it could be read.

        A row that went says nothing: gateways that stopped are silent.
        """
        if row.gone:
            return True
        value = _read_value(row.value)
        if value is None:
            # The relays of its data centre still learn of the gateway by its digests.
            log_change('member_row_invalid', key=row.key)
            return False
        self.members.add(value.address, value.data_centre, value.weight)
        self.members.are_listed = True
        return True

    def announce_leaving(self) -> None:
        """Send all other gateways the message that this one stops."""
        addresses = [member.address for member in self.members.others()]
        self.node.send_all(addresses, GatewayLeaving(self.instance_id))

    def _take_leaving(self, envelope: Envelope) -> None:
        self.members.note_leaving(envelope.sender)
        self.leader.note_leaving(envelope.sender)
