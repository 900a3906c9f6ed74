"""Tells other gateways of calls at which replicas ended, and takes in what they tell.

They go as :mod:`~limeshelf.membership.news`. A gateway that hears no other learns of a call once
it rests, by its row in the store (:mod:`limeshelf.crashes.keeper`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.suspects import NewsSource, ReplicaEnd, SuspectState, ToldEnd
from limeshelf.membership.messages import CrashSuspects, EndedReplica
from limeshelf.membership.news import News

if TYPE_CHECKING:
    from collections.abc import Iterator

    from limeshelf.crashes.suspects import Suspects
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: After the first news, in seconds, others that come with it go in the same message: a replica
#: that ends breaks off its calls within 3 ms at all gateways, and a relay hears of them one by
#: one.
GATHER_S = 0.05
#: Suspects in one message, some 10 bytes each.
MAX_IN_MESSAGE = 200


@attrs.define
class CrashExchange:
    """Sends and takes news of suspects."""

    node: PeerNode
    members: Members
    suspects: Suspects
    _news: News[SuspectState] = attrs.field(init=False)
    _teller_centre: str = ''

    def __attrs_post_init__(self) -> None:
        self._news = News(self.members, GATHER_S, self._send_to)

    def start(self) -> None:
        """Take messages, and note what this gateway learns itself."""
        self.suspects.add_listener(self._note_change)
        self.node.add_handler(CrashSuspects, self._take)

    def _note_change(self, state: SuspectState, source: NewsSource) -> None:
        if source is NewsSource.OWN:
            self._news.note_own(state.fingerprint, state)
        elif source is NewsSource.PEER:
            self._news.note_told(state.fingerprint, state, self._teller_centre)

    def _take(self, envelope: Envelope) -> None:
        self._teller_centre = envelope.data_centre
        for state in _states_of(envelope.message):
            self.suspects.merge(state, NewsSource.PEER)

    async def run(self) -> None:
        """Send news as it comes."""
        await self._news.run()

    def _send_to(self, addresses: list[str], states: list[SuspectState]) -> None:
        for first in range(0, len(states), MAX_IN_MESSAGE):
            self.node.send_all(addresses, _message_of(states[first : first + MAX_IN_MESSAGE]))


def _message_of(states: list[SuspectState]) -> CrashSuspects:
    groups: dict[ToldEnd, list[bytes]] = {}
    for state in states:
        for told in state.told_ends():
            groups.setdefault(told, []).append(bytes.fromhex(state.fingerprint))
    return CrashSuspects([_ended_replica(told, calls) for told, calls in groups.items()])


def _ended_replica(told: ToldEnd, calls: list[bytes]) -> EndedReplica:
    end = told.end
    return EndedReplica(end.replica_id, end.born_ms, told.is_cleared, told.is_coincident, calls)


def _states_of(message: CrashSuspects) -> Iterator[SuspectState]:
    """Yield what is told of each call, one end at a time."""
    for group in message.ends:
        end = ReplicaEnd(group.replica_id, group.born_ms)
        told = ToldEnd(end, group.cleared, group.coincident)
        for call in group.calls:
            yield SuspectState.from_ends(Fingerprint(call.hex()), [told])
