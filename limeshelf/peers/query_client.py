"""Sends queries to peers and matches the answers; avoids peers that did not answer recently.

Owns the pending queries, and which peers to avoid. Queries and answers are messages of
:class:`~limeshelf.peers.node.PeerNode`, which may be lost.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from limeshelf.peers.node import PeerNode

AnswerT = TypeVar('AnswerT')

#: Time-out for the answer to a query.
ANSWER_TIMEOUT_S = 0.08
#: How long a peer is avoided after it did not answer a query in time.
AVOID_S = 0.4


class QueryClient(Generic[AnswerT]):
    """Sends queries to peers, and passes each answer to its pending query.

    :param on_timeout: called with the address of a peer that did not answer in time.
    """

    def __init__(self, node: PeerNode, on_timeout: Callable[[str], None]) -> None:
        self._node = node
        self._on_timeout = on_timeout
        self._pending: dict[str, asyncio.Future[AnswerT]] = {}
        self._avoid_until_s: dict[str, float] = {}

    def is_avoided(self, address: str) -> bool:
        """Return whether a peer recently did not answer, and must not be queried now."""
        return boottime_s() < self._avoid_until_s.get(address, 0.0)

    async def send_query(self, address: str, query_id: str, message: Any) -> AnswerT | None:
        """Send a query and return the answer; ``None`` if the peer does not answer in time."""
        future: asyncio.Future[AnswerT] = asyncio.get_running_loop().create_future()
        self._pending[query_id] = future
        self._node.send(address, message)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await future
        except TimeoutError:
            self._avoid_until_s[address] = boottime_s() + AVOID_S
            self._on_timeout(address)
            return None
        finally:
            del self._pending[query_id]

    def handle_answer(self, query_id: str, value: AnswerT) -> None:
        """Pass on the answer to a query, if the query is still pending."""
        future = self._pending.get(query_id)
        if future is not None and not future.done():
            future.set_result(value)
