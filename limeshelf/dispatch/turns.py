"""Gets turns for calls at replicas that take only so many calls a second.

Asks the pacer of the replica (:mod:`limeshelf.dispatch.pace`), and is it for others. Where the
pacer is silent or unknown there is no turn: whatever each gateway might take by itself, all of
them together would take that many times.
Owns when the next turns are, as pacers said; relies on :mod:`limeshelf.peers.questions` for the
messages.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.dispatch.messages import TurnQuery, TurnVerdict
from limeshelf.dispatch.pace import Turn
from limeshelf.membership.member import LOCAL
from limeshelf.metrics.event_log import log_change
from limeshelf.peers.questions import AVOID_S, Questions
from limeshelf.util.clock import MS_PER_S, boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from limeshelf.dispatch.pace import ReplicaPaces
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.notices import NoticeTaker
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart

#: No pacer is known or answers.
_NO_PACER = Turn(False, AVOID_S)


@attrs.frozen
class _NextTurn:
    """When the next turn at a replica is, as its pacer said.

    :ivar rate_per_s: of the replica then; at another rate it comes at another time.
    :ivar at_s: on the boot clock.
    """

    rate_per_s: float | None
    at_s: float


class TurnExchange:
    """Asks for turns, and gives them."""

    def __init__(
        self,
        node: PeerNode,
        directory: ReplicaDirectory,
        notices: NoticeTaker,
        paces: ReplicaPaces,
    ) -> None:
        self._node = node
        self._directory = directory
        self._notices = notices
        self._paces = paces
        self._questions: Questions[Turn] = Questions(node, _log_silent)
        self._next_turns: dict[ReplicaStart, _NextTurn] = {}

    def start(self) -> None:
        """Take messages."""
        self._node.add_handler(TurnQuery, self._take_query)
        self._node.add_handler(TurnVerdict, self._take_verdict)

    async def get(self, replica: Replica, patience_s: float) -> Turn:
        """Return a turn once it has come, or that there is none in time.

        :param patience_s: how long the call can wait for it, in seconds.
        """
        rate_per_s = replica.backpressure.rate_per_s
        known = self._next_turns.get(replica.start)
        if known is not None and known.rate_per_s == rate_per_s:
            wait_s = known.at_s - boottime_s()
            if wait_s > patience_s:
                return Turn(False, wait_s)
        turn = await self._ask(replica, patience_s)
        if not turn.is_granted:
            self._next_turns[replica.start] = _NextTurn(rate_per_s, boottime_s() + turn.wait_s)
        elif turn.wait_s:
            await asyncio.sleep(turn.wait_s)
        return turn

    async def _ask(self, replica: Replica, patience_s: float) -> Turn:
        pacer = self._paces.pacer_of(replica)
        if pacer is None or self._questions.is_avoided(pacer):
            return _NO_PACER
        if pacer == LOCAL:
            return self._paces.try_take(replica, patience_s, boottime_s()) or _NO_PACER
        query = _query_of(replica, patience_s)
        return await self._questions.ask(pacer, query.query_id, query) or _NO_PACER

    def _take_query(self, envelope: Envelope) -> None:
        query: TurnQuery = envelope.message
        turn = self._give(query)
        verdict = TurnVerdict(query.query_id, turn.is_granted, int(turn.wait_s * MS_PER_S))
        self._node.send(envelope.sender, verdict)

    def _give(self, query: TurnQuery) -> Turn:
        replica = self._directory.get(query.replica_id)
        if replica is None or replica.known_start.born_ms != query.born_ms:
            return _NO_PACER
        # The asker may have heard of the rate before this process did.
        heard_s = boottime_s() - query.heard_ms_ago / MS_PER_S
        self._notices.take_rate_of_peer(replica, query.rate_per_s, heard_s)
        patience_s = query.patience_ms / MS_PER_S
        return self._paces.try_take(replica, patience_s, boottime_s()) or _NO_PACER

    def _take_verdict(self, envelope: Envelope) -> None:
        verdict: TurnVerdict = envelope.message
        turn = Turn(verdict.granted, verdict.wait_ms / MS_PER_S)
        self._questions.answer(verdict.query_id, turn)


def _query_of(replica: Replica, patience_s: float) -> TurnQuery:
    backpressure = replica.backpressure
    return TurnQuery(
        query_id=new_id('u'),
        replica_id=replica.replica_id,
        born_ms=replica.known_start.born_ms,
        rate_per_s=backpressure.rate_per_s or 0.0,
        heard_ms_ago=int((boottime_s() - backpressure.heard_s) * MS_PER_S),
        patience_ms=int(patience_s * MS_PER_S),
    )


def _log_silent(address: str) -> None:
    log_change('pacer_silent', pacer=address, avoided_s=AVOID_S)
