"""Passes rows of the store on between gateways, so that few ask the store.

Owns nothing; brings updates of other gateways into the copies of tables and sends the
gateways of this data centre what the store answered. Who asks the store is decided in
:mod:`~limeshelf.membership.store_polling`.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.feeds.continuity import Continuity
from limeshelf.feeds.rows import Row
from limeshelf.membership import receivers
from limeshelf.membership.messages import RowsQuery, TableRow, TableUpdate, TableUpdates
from limeshelf.membership.store_polling import overdue_limit_s, polls_store
from limeshelf.util.backoff import jittered_s

if TYPE_CHECKING:
    from limeshelf.feeds.table_copy import TableCopy
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: The first relay sends this often how new its rows are, and a gateway with stale rows asks
#: another one. Chosen, not measured.
CONFIRM_INTERVAL_S = 0.3


@attrs.define
class RowExchange:
    """Sends updates of tables and takes those of other gateways.

    :param copies: this gateway's copies, by the name of the table.
    """

    node: PeerNode
    members: Members
    copies: dict[str, TableCopy] = attrs.field(factory=dict)

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(RowsQuery, self._answer_query)
        self.node.add_handler(TableUpdates, self._take_updates)

    def is_due(self) -> bool:
        """Return whether this gateway asks the store itself now."""
        return polls_store(
            is_first_relay=self.members.is_first_relay,
            rank=self.members.own_rank(),
            overdue_s=max(copy.overdue_s for copy in self.copies.values()),
        )

    def overdue_limit_s(self) -> float:
        """Return how long copies may be overdue before this gateway asks the store, in seconds."""
        return overdue_limit_s(self.members.own_rank())

    def announce_page(self, copy: TableCopy, after: int) -> None:
        """Send the gateways of this data centre what an answer of the store brought.

        :param after: the version of the copy before.
        """
        if copy.version > after:
            self._send_to_own_centre([_update_of(copy, after)])

    def _send_to_own_centre(self, updates: list[TableUpdate]) -> None:
        self.node.send_all(receivers.own_centre(self.members), TableUpdates(updates))

    async def run(self) -> None:
        """As first relay, send how new the rows are; while they are stale, ask others."""
        while True:
            await asyncio.sleep(jittered_s(CONFIRM_INTERVAL_S))
            if self.members.is_first_relay:
                copies = self.copies.values()
                self._send_to_own_centre([_update_of(copy, copy.version) for copy in copies])
            if any(copy.is_stale for copy in self.copies.values()):
                self._ask_another()

    def _ask_another(self) -> None:
        # At a start nobody has sent anything yet; the seeds may have rows.
        members = self.members.active() or self.members.others()
        if members:
            versions = {name: copy.version for name, copy in self.copies.items()}
            self.node.send(random.choice(members).address, RowsQuery(versions))

    def _answer_query(self, envelope: Envelope) -> None:
        query: RowsQuery = envelope.message
        updates = [
            _update_of(copy, query.versions[name])
            for name, copy in self.copies.items()
            if copy.version >= query.versions.get(name, copy.version + 1)
        ]
        self.members.add(envelope.sender, envelope.data_centre)
        if updates:
            self.node.send(envelope.sender, TableUpdates(updates))

    def _take_updates(self, envelope: Envelope) -> None:
        self.members.note_message(envelope.sender, envelope.data_centre)
        missing: dict[str, int] = {}
        for update in envelope.message.words:
            copy = self.copies.get(update.table)
            if copy is None:
                # A table that only another version of the gateway follows.
                continue
            rows = [Row(row.key, row.value, row.version, row.gone) for row in update.rows]
            continuity = copy.take_update(rows, update.after, update.upto, update.age_ms / 1000)
            if continuity is Continuity.GAP:
                missing[update.table] = copy.version
        if missing:
            self.node.send(envelope.sender, RowsQuery(missing))


def _update_of(copy: TableCopy, after: int) -> TableUpdate:
    rows = [TableRow(row.key, row.value, row.version, row.gone) for row in copy.rows_after(after)]
    return TableUpdate(copy.table, after, copy.version, int(copy.age_s * 1000), rows)
