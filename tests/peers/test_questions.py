"""A peer that answers is heard; one that is silent is left alone for a while."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.peers.questions import Questions

PEER = '10.0.0.2:7001'


class Node:
    """Answers each question at once, or never."""

    def __init__(self) -> None:
        self.questions: Questions[str] | None = None

    def send(self, address: str, message: Any) -> None:
        if self.questions is not None:
            asyncio.get_running_loop().call_soon(self.questions.answer, message, 'yes')


def test_answer_reaches_its_question() -> None:
    async def play() -> None:
        node: Any = Node()
        silent: list[str] = []
        node.questions = questions = Questions(node, silent.append)
        assert await questions.ask(PEER, 'q-1', 'q-1') == 'yes'
        questions.answer('q-1', 'late')
        assert silent == []
        assert not questions.is_avoided(PEER)

    asyncio.run(play())


def test_silent_peer_is_reported_and_avoided() -> None:
    async def play() -> None:
        node: Any = Node()
        silent: list[str] = []
        questions: Questions[str] = Questions(node, silent.append)
        assert await questions.ask(PEER, 'q-1', 'q-1') is None
        assert silent == [PEER]
        assert questions.is_avoided(PEER)

    asyncio.run(play())
