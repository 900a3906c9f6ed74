"""News is gathered before it is sent, also while the processor is short."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from limeshelf.membership.broadcast_queue import MAX_BATCH_WINDOWS, BroadcastQueue
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from tests.support.clock import VirtualLoop, run_virtual

GATHER_S = 0.05


def news_that_is_sent(sent: list[list[str]]) -> BroadcastQueue[str]:
    members = Members(Member('10.0.0.1:7001', 'z1', 1.0))
    members.add('10.0.0.2:7001', 'z1', 1.0)
    members.note_message('10.0.0.2:7001', 'z1')
    return BroadcastQueue(
        members, GATHER_S, lambda addresses, items: sent.append(items) if items else None
    )


def sent_by_a_late_loop(
    late: Callable[[VirtualLoop, BroadcastQueue[str]], None],
) -> list[list[str]]:
    """Return what is sent of one item that is noted at once, and of what *late* notes."""
    sent: list[list[str]] = []

    async def play() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        news = news_that_is_sent(sent)
        task = asyncio.create_task(news.run())
        news.publish('first', 'first')
        late(loop, news)
        await asyncio.sleep(4 * MAX_BATCH_WINDOWS * GATHER_S)
        task.cancel()

    run_virtual(play())
    return sent


def test_news_that_a_late_loop_has_not_read_yet_goes_in_the_same_message() -> None:
    def late(loop: VirtualLoop, news: BroadcastQueue[str]) -> None:
        def hold_up() -> None:
            loop.hold_up(1.5 * GATHER_S)
            loop.call_later(0.2 * GATHER_S, news.publish, 'second', 'second')

        loop.call_later(0.5 * GATHER_S, hold_up)

    sent = sent_by_a_late_loop(late)
    assert sent and all(items == ['first', 'second'] for items in sent)


def test_news_is_sent_at_last_by_a_loop_that_is_always_late() -> None:
    def late(loop: VirtualLoop, news: BroadcastQueue[str]) -> None:
        loop.hold_up(2 * GATHER_S)
        loop.call_later(0.1 * GATHER_S, late, loop, news)

    assert ['first'] in sent_by_a_late_loop(late)
