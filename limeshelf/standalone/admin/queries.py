"""Asks entry and placer processes questions over the peer sockets.

Owns the questions under way. Relies on the peers; one that does not answer in time is
left out.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from limeshelf.standalone.messages import (
    ExplainQuery,
    ExplainReply,
    SamplesQuery,
    SamplesReply,
)
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.standalone.membership.processes import ProcessDirectory

#: Time that peers have to answer a question.
ANSWER_TIMEOUT_S = 1.0


class PeerQueries:
    """Sends a question to several peers and gathers the answers that come in time."""

    def __init__(self, processes: ProcessDirectory, node: PeerNode) -> None:
        self._processes = processes
        self._node = node
        self._open: dict[str, list[Any]] = {}
        self._arrived: dict[str, asyncio.Event] = {}
        node.add_handler(ExplainReply, self._take)
        node.add_handler(SamplesReply, self._take)

    def _take(self, envelope: Envelope) -> None:
        query_id: str = envelope.message.query_id
        if query_id in self._open:
            self._open[query_id].append(envelope.message)
            self._arrived[query_id].set()

    async def explain(self, subject: str) -> list[str]:
        """Return the decision lines about a request or a model."""
        query_id = new_id('query')
        addresses = self._addresses('entry', 'placer')
        replies = await self._ask(query_id, addresses, ExplainQuery(query_id, subject))
        return [line for reply in replies for line in reply.lines]

    async def samples(self) -> list[SamplesReply]:
        """Return the samples of all entry instances that answer."""
        query_id = new_id('query')
        addresses = self._addresses('entry')
        return await self._ask(query_id, addresses, SamplesQuery(query_id))

    def _addresses(self, *programs: str) -> list[str]:
        """Return addresses of the named programs, in all data centres."""
        near = self._processes.centre_addresses(*programs)
        return sorted(set(near) | set(self._processes.listed_addresses(*programs)))

    async def _ask(self, query_id: str, addresses: list[str], message: Any) -> list[Any]:
        self._open[query_id] = []
        self._arrived[query_id] = asyncio.Event()
        try:
            self._node.send_all(addresses, message)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while len(self._open[query_id]) < len(addresses):
                    self._arrived[query_id].clear()
                    await self._arrived[query_id].wait()
        except TimeoutError:
            # Those that are cut off or down do not answer; the caller says how
            # many did.
            pass
        finally:
            del self._arrived[query_id]
            answers = self._open.pop(query_id)
        return answers
