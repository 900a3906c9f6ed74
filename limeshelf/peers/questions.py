"""Questions to peers, each with one answer; who is silent is not asked for a while.

Owns the questions that wait for an answer, and who fell silent. Relies on the node to carry
questions, which may get lost as their answers may.
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

#: A peer that does not answer within this time is silent, in seconds.
ANSWER_TIMEOUT_S = 0.08
#: A silent peer is not asked for this long, in seconds.
AVOID_S = 0.4


class Questions(Generic[AnswerT]):
    """Asks peers, and hands each answer to the question that waits for it.

    :param on_silence: called with the address of a peer that did not answer in time.
    """

    def __init__(self, node: PeerNode, on_silence: Callable[[str], None]) -> None:
        self._node = node
        self._on_silence = on_silence
        self._waiting: dict[str, asyncio.Future[AnswerT]] = {}
        self._avoid_until_s: dict[str, float] = {}

    def is_avoided(self, address: str) -> bool:
        """Return whether a peer was silent a short time ago."""
        return boottime_s() < self._avoid_until_s.get(address, 0.0)

    async def ask(self, address: str, question_id: str, message: Any) -> AnswerT | None:
        """Return the answer of a peer, ``None`` if it is silent."""
        answered: asyncio.Future[AnswerT] = asyncio.get_running_loop().create_future()
        self._waiting[question_id] = answered
        self._node.send(address, message)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await answered
        except TimeoutError:
            self._avoid_until_s[address] = boottime_s() + AVOID_S
            self._on_silence(address)
            return None
        finally:
            del self._waiting[question_id]

    def answer(self, question_id: str, value: AnswerT) -> None:
        """Hand over the answer to a question, if it still waits."""
        answered = self._waiting.get(question_id)
        if answered is not None and not answered.done():
            answered.set_result(value)
