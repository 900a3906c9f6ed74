"""Queries to peers return their answers; a peer that does not answer is avoided for a while."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.peers.query_client import QueryClient

PEER = '10.0.0.2:7001'


class Node:
    """Answers each query at once if ``client`` is set, otherwise never."""

    def __init__(self) -> None:
        self.client: QueryClient[str] | None = None

    def send(self, address: str, message: Any) -> None:
        if self.client is not None:
            asyncio.get_running_loop().call_soon(self.client.handle_answer, message, 'yes')


def test_answer_is_returned_for_its_query() -> None:
    async def scenario() -> None:
        node: Any = Node()
        timed_out: list[str] = []
        node.client = client = QueryClient(node, timed_out.append)
        assert await client.send_query(PEER, 'q-1', 'q-1') == 'yes'
        client.handle_answer('q-1', 'late')
        assert timed_out == []
        assert not client.is_avoided(PEER)

    asyncio.run(scenario())


def test_peer_without_answer_is_reported_and_avoided() -> None:
    async def scenario() -> None:
        node: Any = Node()
        timed_out: list[str] = []
        client: QueryClient[str] = QueryClient(node, timed_out.append)
        assert await client.send_query(PEER, 'q-1', 'q-1') is None
        assert timed_out == [PEER]
        assert client.is_avoided(PEER)

    asyncio.run(scenario())
