"""Registers this gateway in the members table of the store, and adds the registered gateways.

Writes this gateway's row, and updates the member list from the rows of other gateways and from
the messages with which they announce their shutdown.
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
from limeshelf.util.addresses import is_ip_address_and_port
from limeshelf.util.backoff import full_jitter_s
from limeshelf.util.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from limeshelf.feeds.position import Position
    from limeshelf.feeds.rows import Row, RowStore
    from limeshelf.feeds.table_copy import TableCopy
    from limeshelf.membership.leader import LeaderView
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: Base and limit of the exponential back-off after failed writes of the row.
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 2.0
#: Longest random pause before the row is written again after the store lost it; it spreads the
#: writes of hundreds of gateways.
REWRITE_SPREAD_S = 1.2

_value_decoder = msgspec.json.Decoder(MemberValue)


def _decode_value(value: bytes) -> MemberValue | None:
    """Decode the value of a row; ``None`` if it is not a valid row of a gateway."""
    try:
        member = _value_decoder.decode(value)
    except DECODE_ERRORS:
        return None
    return member if is_ip_address_and_port(member.address) else None


@attrs.define
class Registration:
    """Writes this gateway's row and applies the rows of the others."""

    instance_id: str
    node: PeerNode
    members: Members
    leader: LeaderView
    _row_lost: asyncio.Event = attrs.field(factory=asyncio.Event)
    _written: Position | None = None

    def start(self) -> None:
        """Register the message handler."""
        self.node.add_handler(GatewayLeaving, self._handle_leaving)

    async def keep_row(self, store: RowStore) -> None:
        """Write this gateway's row, by which others find it; again whenever the store loses it."""
        while True:
            await self.write_row(store)
            await self._row_lost.wait()
            self._row_lost.clear()
            await asyncio.sleep(random.uniform(0.0, REWRITE_SPREAD_S))
            log_change('member_row_lost')

    async def write_row(self, store: RowStore) -> None:
        """Write this gateway's row; retry until the write succeeds."""
        value = self._own_value()
        attempt = 0
        while True:
            try:
                self._written = await store.write(MEMBER_TABLE, self.instance_id, value, None)
                return
            except (PlatformUnavailable, PlatformUnknown, ConditionFailed) as error:
                # Until the row is written, relays discover this gateway by its digests.
                attempt += 1
                if attempt == 1:
                    log_change('member_row_not_written', reason=repr(error))
                await asyncio.sleep(full_jitter_s(attempt, RETRY_BASE_S, RETRY_LIMIT_S))

    def _own_value(self) -> bytes:
        own = self.members.own
        forward_port = own.forward_port or msgspec.UNSET
        value = MemberValue(own.address, own.data_centre, own.weight, forward_port)
        return msgspec.json.encode(value)

    def rewrite_if_lost(self, copy: TableCopy) -> None:
        """Have this gateway's row written again if a restore of the store lost or reverted it."""
        era = copy.position.era
        is_written = self._written is not None and self._written.era >= era
        if not is_written and copy.current_era_value(self.instance_id) != self._own_value():
            self._row_lost.set()

    def apply_row(self, row: Row) -> bool:
        """Apply a row of the members table; return whether it could be decoded.

        A deleted row has no effect: gateways that stopped are found by becoming inactive.
        """
        if row.gone:
            return True
        value = _decode_value(row.value)
        if value is None:
            # The relays of its data centre still discover the gateway by its digests.
            log_change('member_row_invalid', key=row.key)
            return False
        member = self.members.add(value.address, value.data_centre, value.weight)
        if member is not self.members.own:
            member.forward_port = value.forward_port or 0
        self.members.has_member_rows = True
        return True

    def announce_leaving(self) -> None:
        """Announce to all other gateways that this one is shutting down."""
        addresses = [member.address for member in self.members.others()]
        self.node.send_all(addresses, GatewayLeaving(self.instance_id))

    def _handle_leaving(self, envelope: Envelope) -> None:
        self.members.mark_leaving(envelope.sender)
        self.leader.mark_leaving(envelope.sender)
