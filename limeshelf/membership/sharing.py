"""Rows of the store that gateways tell one another, so that few ask the store."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.feeds.rows import Row
from limeshelf.membership import audience
from limeshelf.membership.messages import RowsQuery, TableRow, TableWord, TableWords
from limeshelf.util.backoff import jittered_s

if TYPE_CHECKING:
    from limeshelf.feeds.mirror import TableMirror
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: A relay says at least this often how new its rows are.
CONFIRM_S = 0.3
#: A gateway gives those of lower rank in its data centre this much time each to
#: ask the store before it does so itself.
PATIENCE_STEP_S = 0.08
PATIENCE_LIMIT_S = 1.5


@attrs.define
class RowSharing:
    """Tells the gateways of this data centre what is new in the store.

    The first relay of a data centre follows the store. The others go by its
    words, and ask the store themselves as soon as these are old.
    """

    node: PeerNode
    members: Members
    mirrors: dict[str, TableMirror] = attrs.field(factory=dict)

    def start(self) -> None:
        """Take messages."""
        self.node.add_handler(RowsQuery, self._answer_query)
        self.node.add_handler(TableWords, self._take_words)

    def is_due(self) -> bool:
        """Return whether this gateway follows the store itself now.

        One table that is old is a sign that the others may be, too.
        """
        if self.members.is_first_relay:
            return True
        overdue_s = max(mirror.overdue_s for mirror in self.mirrors.values())
        return overdue_s > self.patience_s()

    def patience_s(self) -> float:
        """Return how long the words of others may fail before we ask the store."""
        return min(PATIENCE_LIMIT_S, PATIENCE_STEP_S * self.members.own_rank())

    def tell_page(self, mirror: TableMirror, after: int) -> None:
        """Tell the gateways of this data centre what a page of the store brought."""
        if mirror.version > after:
            self._tell_mates([_word(mirror, after)])

    def _tell_mates(self, words: list[TableWord]) -> None:
        mates = audience.own_centre(self.members)
        self.node.send_all(mates, TableWords(words))

    async def run(self) -> None:
        """Say how new the rows are, and ask others while they are stale."""
        while True:
            await asyncio.sleep(jittered_s(CONFIRM_S))
            if self.members.is_first_relay:
                self._tell_mates([_word(one, one.version) for one in self.mirrors.values()])
            if any(mirror.is_stale for mirror in self.mirrors.values()):
                self._ask_somebody()

    def _ask_somebody(self) -> None:
        # At a start nobody was heard yet; the seeds may know.
        peers = self.members.active() or self.members.others()
        if peers:
            versions = {name: mirror.version for name, mirror in self.mirrors.items()}
            self.node.send(random.choice(peers).address, RowsQuery(versions))

    def _answer_query(self, envelope: Envelope) -> None:
        query: RowsQuery = envelope.message
        words = [
            _word(mirror, query.versions[name])
            for name, mirror in self.mirrors.items()
            if mirror.version >= query.versions.get(name, mirror.version + 1)
        ]
        self.members.add(envelope.sender, envelope.data_centre)
        if words:
            self.node.send(envelope.sender, TableWords(words))

    def _take_words(self, envelope: Envelope) -> None:
        self.members.note_message(envelope.sender, envelope.data_centre)
        missing: dict[str, int] = {}
        for word in envelope.message.words:
            mirror = self.mirrors.get(word.table)
            if mirror is None:
                continue
            rows = [Row(row.key, row.value, row.version, row.gone) for row in word.rows]
            if not mirror.take_word(rows, word.after, word.upto, word.age_ms / 1000):
                missing[word.table] = mirror.version
        if missing:
            self.node.send(envelope.sender, RowsQuery(missing))


def _word(mirror: TableMirror, after: int) -> TableWord:
    rows = [
        TableRow(row.key, row.value, row.version, row.gone) for row in mirror.rows_after(after)
    ]
    return TableWord(mirror.table, after, mirror.version, int(mirror.age_s * 1000), rows)
