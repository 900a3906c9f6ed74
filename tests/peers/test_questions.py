"""Queries to peers return their answers; a peer that does not answer is avoided for a while."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.peers.questions import Questions

PEER = '10.0.0.2:7001'


class Node:
    """Answers each query at once if ``queries`` is set, otherwise never."""

    def __init__(self) -> None:
        self.queries: Questions[str] | None = None

    def send(self, address: str, message: Any) -> None:
        if self.queries is not None:
            asyncio.get_running_loop().call_soon(self.queries.answer, message, 'yes')


def test_answer_is_returned_for_its_query() -> None:
    async def scenario() -> None:
        node: Any = Node()
        timed_out: list[str] = []
        node.queries = queries = Questions(node, timed_out.append)
        assert await queries.ask(PEER, 'q-1', 'q-1') == 'yes'
        queries.answer('q-1', 'late')
        assert timed_out == []
        assert not queries.is_avoided(PEER)

    asyncio.run(scenario())


def test_peer_without_answer_is_reported_and_avoided() -> None:
    async def scenario() -> None:
        node: Any = Node()
        timed_out: list[str] = []
        queries: Questions[str] = Questions(node, timed_out.append)
        assert await queries.ask(PEER, 'q-1', 'q-1') is None
        assert timed_out == [PEER]
        assert queries.is_avoided(PEER)

    asyncio.run(scenario())
